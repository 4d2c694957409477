package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// caller sends requests over kept connections.
var caller = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}}

// get fetches a page of the system itself.
func get(ctx context.Context, url string) ([]byte, int) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, 0
	}
	answer, err := caller.Do(r)
	if err != nil {
		return nil, 0
	}
	defer func() { _ = answer.Body.Close() }()
	body, _ := io.ReadAll(answer.Body)
	return body, answer.StatusCode
}

// request is one request of a caller.
type request struct {
	kind, id, method, path string
	at                     instance
	budget                 time.Duration
	header                 map[string]string
	body                   io.Reader
}

// result is what its caller got.
type result struct {
	request
	sent time.Time
	// took is the time to the final answer.
	took   time.Duration
	status int
	body   []byte
	err    error
	// kept is set if the request was sent on a channel that had been used before.
	kept bool
}

// patience is how much longer than its budget a caller here waits, to see when an answer comes.
const patience = 6 * time.Second

// send sends a request, and waits for its final answer, or until the patience ends.
func (b *bed) send(ctx context.Context, q request) result {
	ctx, cancel := context.WithTimeout(ctx, q.budget+patience)
	defer cancel()
	out := result{request: q, sent: time.Now()}
	var kept atomic.Bool
	r, err := http.NewRequestWithContext(ctx, q.method, "http://"+q.at.callers+q.path, q.body)
	if err != nil {
		out.err = err
		return out
	}
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { kept.Store(info.Reused) },
	}))
	r.Host = host
	r.Header.Set("X-Samphirehead-Attempt-Id", q.id)
	r.Header.Set("X-Samphirehead-Time-Budget-Ms", fmt.Sprint(q.budget.Milliseconds()))
	r.Header.Set("X-Samphirehead-Key", key)
	for name, value := range q.header {
		r.Header.Set(name, value)
	}
	answer, err := caller.Do(r)
	if err == nil {
		out.status = answer.StatusCode
		out.body, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
	}
	out.took, out.err, out.kept = time.Since(out.sent), err, kept.Load()
	b.notef("%s %s sent to %s at %.3f: status %d after %.3f s, %d bytes, %v", q.kind, q.id, q.at.name,
		out.sent.Sub(b.started).Seconds(), out.status, out.took.Seconds(), len(out.body), err)
	return out
}
