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
	// maxAttempts is how often one request is sent at most.
	maxAttempts = 4
	// brokenRetryDelay is the least delay before a retry after a broken
	// connection.
	brokenRetryDelay    = 100 * time.Millisecond
	dialTimeout         = 500 * time.Millisecond
	maxIdleConnsPerHost = 512
	maxAnswerBytes      = 1 << 20
)

// Caller is an HTTP client that sends jobs. Its exported fields must be set
// before the first job is sent.
type Caller struct {
	// Instances are the URLs of the instances from which entries are fetched.
	Instances []string
	// Keys holds the bearer key of each workspace.
	Keys map[id.Workspace]string

	http    *http.Client
	entries entryCache
}

func (c *Caller) prepare() {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c.http = &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	}}
	c.entries = entryCache{http: c.http, seeds: c.Instances, keys: c.Keys}
}

// Send sends the request of a job, up to maxAttempts times within the Timeout
// of its stream, and returns the attempts and their outcome.
func (c *Caller) Send(ctx context.Context, j Job) *Record {
	r := &Record{Job: j, Sent: time.Now(), Outcome: OutcomeFailed}
	ctx, cancel := context.WithTimeout(ctx, j.Stream.Timeout)
	defer cancel()
	var failed []string
	for len(r.Attempts) < maxAttempts {
		entry, ok := c.chooseEntry(ctx, j.Workspace, failed)
		if !ok {
			break
		}
		attempt := c.sendOnce(ctx, r, entry)
		r.Attempts = append(r.Attempts, attempt)
		if !attempt.retryable || !waitBeforeRetry(ctx, attempt) {
			break
		}
		if attempt.Reason != answer.ReasonOverloaded && attempt.Reason != answer.ReasonRateLimited {
			failed = append(failed, entry)
		}
	}
	r.Outcome = r.finalOutcome()
	r.Ended = time.Now()
	return r
}

// chooseEntry picks a random entry, preferring those where this request has
// not failed yet. It reports false when no entry is known.
func (c *Caller) chooseEntry(ctx context.Context, w id.Workspace, failed []string) (string, bool) {
	entries := c.entries.lookup(ctx, w)
	untried := slices.DeleteFunc(slices.Clone(entries), func(e string) bool { return slices.Contains(failed, e) })
	if len(untried) > 0 {
		entries = untried
	}
	if len(entries) == 0 {
		return "", false
	}
	return entries[rand.IntN(len(entries))], true
}

// waitBeforeRetry waits for the delay that the last attempt asks for. It
// reports false, without waiting, when the caller would time out first.
func waitBeforeRetry(ctx context.Context, a Attempt) bool {
	wait := a.RetryAfter
	if a.Broken {
		wait = max(wait, brokenRetryDelay)
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

func (c *Caller) sendOnce(ctx context.Context, r *Record, entry string) Attempt {
	attempt := Attempt{SentAt: time.Now(), Entry: entry, Outcome: OutcomeFailed}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := c.newRequest(ctx, r.Job, entry)
	if err != nil {
		attempt.EndedAt = time.Now()
		return attempt
	}
	response, err := c.http.Do(request)
	if err != nil {
		attempt.EndedAt = time.Now()
		attempt.Unsent = !connected.Load()
		attempt.Broken = ctx.Err() == nil
		attempt.GaveUp = !attempt.Broken
		attempt.retryable = attempt.Unsent || r.safeToRetry()
		return attempt
	}
	defer response.Body.Close()
	attempt.readHeader(response.Header, response.StatusCode)
	if response.StatusCode != http.StatusOK {
		attempt.readErrorBody(response.Body)
	} else {
		r.readAnswer(&attempt, response.Body)
	}
	attempt.EndedAt = time.Now()
	if ctx.Err() != nil {
		attempt.Broken = false
		attempt.GaveUp = attempt.Outcome == OutcomeFailed
	}
	attempt.retryable = r.shouldRetry(&attempt)
	return attempt
}

// safeToRetry reports whether sending the request again does no harm: a
// service call is idempotent or carries a key, and a completion may be sent
// again until the first token of its answer was received.
func (r *Record) safeToRetry() bool {
	return r.Job.Stream.Model == "" || r.Tokens == 0
}

func (r *Record) shouldRetry(a *Attempt) bool {
	switch {
	case a.Outcome == answer.OutcomeCompleted:
		return false
	case a.Outcome == answer.OutcomeNotRun:
		return a.RetryAfter > 0 || a.Status == http.StatusServiceUnavailable
	case a.Broken:
		return r.safeToRetry()
	default:
		return r.safeToRetry() && a.RetryAfter > 0
	}
}

func (c *Caller) newRequest(ctx context.Context, j Job, entry string) (*http.Request, error) {
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
	// Without GetBody, net/http can't read the body again and does not
	// resend a request by itself.
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

// readHeader fills in what the status and the headers of a response say.
func (a *Attempt) readHeader(h http.Header, status int) {
	a.Status = status
	a.RequestID = h.Get(caller.HeaderRequestID)
	a.ManifestVersion, _ = strconv.ParseUint(h.Get(caller.HeaderManifestVersion), 10, 64)
	if seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err == nil {
		a.RetryAfter = time.Duration(seconds * float64(time.Second))
	}
	if o := h.Get(caller.HeaderOutcome); o != "" {
		a.Outcome = answer.Outcome(o)
	}
}

// errorBody is the error object in the body of an error response or in the
// error event that ends a stream.
type errorBody struct {
	Error struct {
		Code answer.Reason `json:"code"`
	} `json:"error"`
	Outcome      answer.Outcome `json:"outcome"`
	RetryAfterMS int64          `json:"retry_after_ms"`
}

func (a *Attempt) readErrorBody(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		a.Broken = true
		a.Outcome = OutcomeFailed
		return
	}
	a.parseError(data)
}

func (a *Attempt) parseError(data []byte) {
	var body errorBody
	if err := json.Unmarshal(data, &body); err != nil {
		return
	}
	a.Reason = body.Error.Code
	if body.Outcome != "" {
		a.Outcome = body.Outcome
	}
	if body.RetryAfterMS > 0 {
		a.RetryAfter = time.Duration(body.RetryAfterMS) * time.Millisecond
	}
}

// readAnswer reads and checks the body of a 200 response: the stream of a
// completion, or the answer of a service.
func (r *Record) readAnswer(a *Attempt, body io.Reader) {
	if r.Job.Stream.Model != "" {
		r.readStream(a, body)
		return
	}
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		a.Broken = true
		a.Outcome = OutcomeFailed
		return
	}
	if !strings.Contains(string(data), r.Job.expectedDigest()) {
		r.Crossed = true
	}
	if r.FirstToken == 0 {
		r.FirstToken = time.Since(r.Sent)
	}
}
