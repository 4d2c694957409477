package bed

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"
)

const (
	// resolveTimeout is how long a requester waits for one node's directory.
	resolveTimeout = time.Second
	// things is the number of different shared parts, as in the site's sheet for
	// tape-notes.
	things    = 210
	firstPart = 0x5c1e0000
)

// Resolve asks the directory of an instance for addresses. It returns none if that
// fails.
func Resolve(ctx context.Context, i *Instance, zone string) []string {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	query := url.Values{"name": {Host}, "region": {"doto"}, "zone": {zone}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.Directory+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	return answer.Addresses
}

// NewAttempt returns the id of a new requester attempt.
func NewAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Attempt is one requester attempt at a stream.
type Attempt struct {
	ID, Address string
	Method      string
	Body        string
	Budget      time.Duration
	// Parts are the parts of the prompt; if empty, there is a shared one and its own.
	Parts string
	// Plain is set for requests without a prompt.
	Plain bool
	// Resumes and LastEvent are set if the attempt goes on with a stream.
	Resumes   string
	LastEvent int
}

// Answer is what the requester got.
type Answer struct {
	// Status is 0 if there was no answer.
	Status int
	// KeptChannel is set if the channel had served a request before.
	KeptChannel bool
	// Complete is set if the channel showed the end of the answer.
	Complete bool
	Err      error
}

// Send sends an attempt, and calls onEvent with the number and the data of each event.
func Send(ctx context.Context, client *http.Client, a Attempt, onEvent func(number int, data string)) Answer {
	ctx, cancel := context.WithTimeout(ctx, a.Budget)
	defer cancel()
	kept := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { kept = info.Reused }})
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+Prefix+"2f", strings.NewReader(a.Body))
	if err != nil {
		return Answer{Err: err}
	}
	request.Host = Host
	headers := map[string]string{
		"X-Samphirehead-Attempt-Id": a.ID, "X-Samphirehead-Time-Budget-Ms": fmt.Sprint(a.Budget.Milliseconds()), "X-Samphirehead-Key": Key,
	}
	if !a.Plain {
		headers["X-Samphirehead-Model"] = "m"
		headers["X-Samphirehead-Token-Counts"] = "715,280"
		headers["X-Samphirehead-Prompt-Prefix"] = cmp.Or(a.Parts, fmt.Sprintf("%08x:172,%s:543", firstPart+rand.N(things), a.ID))
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	if a.Resumes != "" {
		request.Header.Set("Resumes", a.Resumes)
		request.Header.Set("Last-Event-Id", fmt.Sprint(a.LastEvent))
	}
	response, err := client.Do(request)
	if err != nil {
		return Answer{KeptChannel: kept, Err: err}
	}
	defer func() { _ = response.Body.Close() }()
	number := 0
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			_, _ = fmt.Sscan(id, &number)
		}
		if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok && onEvent != nil {
			onEvent(number, data)
		}
	}
	return Answer{Status: response.StatusCode, KeptChannel: kept, Complete: lines.Err() == nil, Err: lines.Err()}
}
