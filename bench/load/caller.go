package load

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"samphirehead/protocol/answer"
	"samphirehead/state/id"
	"samphirehead/transport/caller"
)

const (
	// maxSends bounds how often one request is sent.
	maxSends = 4
	// brokenPause is the wait after a broken connection.
	brokenPause      = 100 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	idleConnsPerHost = 512
	largestAnswer    = 1 << 20
)

// Caller sends jobs. Its exported fields are set before the first one.
type Caller struct {
	// Instances are the URLs known to the callers beforehand.
	Instances []string
	// Keys holds the bearer key of each workspace.
	Keys map[id.Workspace]string

	http *http.Client
	book entryBook
}

func (c *Caller) prepare() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnsPerHost,
		DisableCompression:  true,
	}}
	c.book = entryBook{http: c.http, seeds: c.Instances, keys: c.Keys}
}

// Send carries out a job: it sends the request, and again while it may.
func (c *Caller) Send(ctx context.Context, j Job) *Record {
	r := &Record{Job: j, Sent: time.Now(), Outcome: OutcomeFailed}
	ctx, cancel := context.WithTimeout(ctx, j.Stream.Patience)
	defer cancel()
	var avoid []string
	for len(r.Told) < maxSends {
		entry, ok := c.choose(ctx, j.Workspace, avoid)
		if !ok {
			break
		}
		told := c.sendOnce(ctx, r, entry)
		r.Told = append(r.Told, told)
		if !told.retry || !pause(ctx, told) {
			break
		}
		if told.Reason != answer.ReasonOverloaded && told.Reason != answer.ReasonRateLimited {
			avoid = append(avoid, entry)
		}
	}
	r.Outcome = r.belief()
	r.Ended = time.Now()
	return r
}

// choose picks one of the entries that have not failed this request yet.
func (c *Caller) choose(ctx context.Context, w id.Workspace, avoid []string) (string, bool) {
	entries := c.book.entries(ctx, w)
	fresh := slices.DeleteFunc(slices.Clone(entries), func(e string) bool { return slices.Contains(avoid, e) })
	if len(fresh) > 0 {
		entries = fresh
	}
	if len(entries) == 0 {
		return "", false
	}
	return entries[rand.IntN(len(entries))], true
}

// pause waits as the caller was told; it reports false when the caller's
// patience ends first.
func pause(ctx context.Context, t Told) bool {
	wait := t.RetryAfter
	if t.Broken {
		wait = max(wait, brokenPause)
	}
	deadline, _ := ctx.Deadline()
	if time.Until(deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *Caller) sendOnce(ctx context.Context, r *Record, entry string) Told {
	told := Told{SentAt: time.Now(), Entry: entry, Outcome: OutcomeFailed}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.request(ctx, r.Job, entry)
	if err != nil {
		told.EndedAt = time.Now()
		return told
	}
	response, err := c.http.Do(request)
	if err != nil {
		told.EndedAt = time.Now()
		told.Unsent = !connected.Load()
		told.Broken = ctx.Err() == nil
		told.GaveUp = !told.Broken
		told.retry = told.Unsent || r.mayRepeat()
		return told
	}
	defer response.Body.Close()
	told.read(response.Header, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		told.readError(response.Body)
	} else {
		r.readAnswer(&told, response.Body)
	}
	told.EndedAt = time.Now()
	if ctx.Err() != nil {
		told.Broken = false
		told.GaveUp = told.Outcome == OutcomeFailed
	}
	told.retry = r.worthRetrying(&told)
	return told
}

// mayRepeat reports whether sending the request again is harmless: its call
// is idempotent or has a key, or no token of its answer has come.
func (r *Record) mayRepeat() bool {
	return r.Job.Stream.Model == "" || r.Tokens == 0
}

func (r *Record) worthRetrying(t *Told) bool {
	switch {
	case t.Outcome == answer.OutcomeCompleted:
		return false
	case t.Outcome == answer.OutcomeNotRun:
		return t.RetryAfter > 0 || t.Status == http.StatusServiceUnavailable
	case t.Broken:
		return r.mayRepeat()
	default:
		return r.mayRepeat() && t.RetryAfter > 0
	}
}

func (c *Caller) request(ctx context.Context, j Job, entry string) (*http.Request, error) {
	method, path, body := http.MethodPost, "/v1/chat/completions", j.chatBody()
	if j.Stream.Model == "" {
		method, path, body = j.Stream.Method, "/v1/services/"+string(j.Stream.Service)+j.Path, j.Body
	}
	if method == http.MethodGet {
		body = ""
	}
	r, err := http.NewRequestWithContext(ctx, method, entry+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without a way to read the body again, net/http does not repeat a
	// request by itself.
	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+c.Keys[j.Workspace])
	r.Header.Set("Content-Type", "application/json")
	if j.Stream.Model != "" {
		r.Header.Set(caller.HeaderClass, string(j.Stream.Class))
	}
	if j.Key != "" {
		r.Header.Set(caller.HeaderIdempotencyKey, j.Key)
	}
	return r, nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (j Job) chatBody() string {
	if j.Stream.Model == "" {
		return ""
	}
	messages := []chatMessage{{"user", j.Prompt}}
	if j.Prefix != "" {
		messages = []chatMessage{{"system", j.Prefix}, {"user", j.Prompt}}
	}
	body, err := json.Marshal(struct {
		Model    id.Model      `json:"model"`
		Messages []chatMessage `json:"messages"`
		Stream   bool          `json:"stream"`
	}{j.Stream.Model, messages, true})
	if err != nil {
		panic(err) // strings always marshal
	}
	return string(body)
}

// read takes over what the headers say.
func (t *Told) read(h http.Header, status int) {
	t.Status = status
	t.Request = h.Get(caller.HeaderRequestID)
	t.Version, _ = strconv.ParseUint(h.Get(caller.HeaderManifestVersion), 10, 64)
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil {
		t.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if o := h.Get(caller.HeaderOutcome); o != "" {
		t.Outcome = answer.Outcome(o)
	}
}

// failureBody is the error object of a refusal or of a broken-off stream.
type failureBody struct {
	Error struct {
		Code answer.Reason `json:"code"`
	} `json:"error"`
	Outcome      answer.Outcome `json:"outcome"`
	RetryAfterMS int64          `json:"retry_after_ms"`
}

func (t *Told) readError(body io.Reader) {
	all, err := io.ReadAll(io.LimitReader(body, largestAnswer))
	if err != nil {
		t.Broken = true
		t.Outcome = OutcomeFailed
		return
	}
	t.takeFailure(all)
}

func (t *Told) takeFailure(data []byte) {
	var f failureBody
	if err := json.Unmarshal(data, &f); err != nil {
		return
	}
	t.Reason = f.Error.Code
	if f.Outcome != "" {
		t.Outcome = f.Outcome
	}
	if f.RetryAfterMS > 0 {
		t.RetryAfter = time.Duration(f.RetryAfterMS) * time.Millisecond
	}
}

// readAnswer reads the answer of a service or the stream of a completion.
func (r *Record) readAnswer(t *Told, body io.Reader) {
	if r.Job.Stream.Model != "" {
		r.readStream(t, body)
		return
	}
	all, err := io.ReadAll(io.LimitReader(body, largestAnswer))
	if err != nil {
		t.Broken = true
		t.Outcome = OutcomeFailed
		return
	}
	if !strings.Contains(string(all), r.Job.expectedDigest()) {
		r.Crossed = true
	}
	if r.FirstToken == 0 {
		r.FirstToken = time.Since(r.Sent)
	}
}
