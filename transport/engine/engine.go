// Package engine implements the HTTP client for model engines.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"samphirehead/protocol/openai"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/transport/bound"
)

const (
	dialTimeout         = 500 * time.Millisecond
	maxIdleConnsPerHost = 256
	idleConnTimeout     = 60 * time.Second
	maxErrorBytes       = 4 << 10
	doneMarker          = "[DONE]"
)

// Errors of Client.Stream, besides those of the context and of deliver.
var (
	// ErrNotSent means that no byte reached the engine.
	ErrNotSent = errors.New("nothing was sent")
	// ErrStatus means that the engine answered with a status other than 200.
	ErrStatus = errors.New("engine returned an error status")
	// ErrRejected marks an ErrStatus for an invalid request, which every
	// other engine would reject too.
	ErrRejected = errors.New("engine rejected the request")
	// ErrBroken means that the stream ended before the answer was complete.
	ErrBroken = errors.New("stream ended early")
	// ErrStalled means that no event was received within the timeout.
	ErrStalled = errors.New("stream stalled")
)

// Client sends requests to engines over pooled connections. It is safe for
// concurrent use.
type Client struct {
	// HTTP must not be nil. NewHTTPClient returns a suitable client.
	HTTP *http.Client
}

// NewHTTPClient returns an HTTP client whose connection pools are sized for
// engines.
func NewHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Client{Transport: &http.Transport{
		DialContext:           dialer.DialContext,
		MaxIdleConnsPerHost:   maxIdleConnsPerHost,
		IdleConnTimeout:       idleConnTimeout,
		DisableCompression:    true,
		ResponseHeaderTimeout: 0,

		MaxResponseHeaderBytes: bound.MaxHeaderBytes,
	}}
}

// Request is one attempt to generate an answer.
type Request struct {
	// Address is the engine's IP address and port.
	Address string
	// ID is repeated by the engine in each chunk.
	ID id.Request
	// Attempt counts from 1.
	Attempt int
	Tier    id.Tier
	// Offset is the number of tokens that the caller already received.
	Offset id.Tokens
	Body   []byte
	// FirstTokenTimeout bounds the wait for the first event, TokenTimeout the
	// wait for each later one.
	FirstTokenTimeout time.Duration
	TokenTimeout      time.Duration
}

// Result counts the events of a stream.
type Result struct {
	// Next is the offset at which another attempt would resume.
	Next id.Tokens
	// Dropped counts events that are malformed, out of order or duplicate, or
	// that belong to another request.
	Dropped int
}

// Stream runs one attempt and passes each event to deliver, in order and once.
// The error is nil only if the answer is complete.
func (c *Client) Stream(ctx context.Context, r Request, deliver func(openai.Event) error) (Result, error) {
	result := Result{Next: r.Offset}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stallTimer := time.AfterFunc(r.FirstTokenTimeout, func() { cancel(ErrStalled) })
	defer stallTimer.Stop()

	resp, err := c.open(ctx, r)
	if err != nil {
		return result, fault.Wrap("open stream", r.Address, contextCause(ctx, err))
	}
	defer func() { _ = resp.Body.Close() }()

	finished := false
	for ev, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return result, fault.Wrap("read stream", r.Address, contextCause(ctx, markBroken(err)))
		}
		if ev.Data == doneMarker {
			return result, fault.Wrap("read stream", r.Address, endError(finished))
		}
		parsed, ok := parseEvent(r, result.Next, ev)
		if !ok {
			result.Dropped++
			continue
		}
		stallTimer.Reset(r.TokenTimeout)
		if err := deliver(parsed); err != nil {
			return result, err
		}
		finished = finished || parsed.FinishReason != ""
		if parsed.Content != "" {
			result.Next++
		}
	}
	return result, fault.Wrap("read stream", r.Address, contextCause(ctx, endError(finished)))
}

func (c *Client) open(ctx context.Context, r Request) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Address+"/v1/chat/completions", bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "text/event-stream")
	req.Header.Set("X-Request-Id", string(r.ID))
	req.Header.Set("X-Attempt", strconv.Itoa(r.Attempt))
	req.Header.Set("X-Priority", strconv.Itoa(int(r.Tier)))
	if r.Offset > 0 {
		req.Header.Set("X-Resume-Offset", strconv.FormatInt(int64(r.Offset), 10))
	}
	resp, err := c.HTTP.Do(req)
	if err != nil {
		return nil, classify(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	// The error body may contain the prompt, so it must not reach the log.
	_, _ = io.CopyN(io.Discard, resp.Body, maxErrorBytes)
	_ = resp.Body.Close()
	err = errors.Mark(errors.Newf("status %d", resp.StatusCode), ErrStatus)
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return nil, errors.Mark(err, ErrRejected)
	}
	return nil, err
}

// parseEvent parses an event and checks that it is the next one of the request.
func parseEvent(r Request, next id.Tokens, ev sse.Event) (openai.Event, bool) {
	var chunk openai.Chunk
	if err := json.Unmarshal([]byte(ev.Data), &chunk); err != nil {
		return openai.Event{}, false
	}
	if chunk.ID != string(r.ID) {
		return openai.Event{}, false
	}
	out := openai.Event{Sequence: next, Data: ev.Data, Usage: chunk.Usage}
	if len(chunk.Choices) > 0 {
		out.Content = chunk.Choices[0].Delta.Content
		if f := chunk.Choices[0].FinishReason; f != nil {
			out.FinishReason = *f
		}
	}
	if out.Content == "" || ev.LastEventID == "" {
		return out, true
	}
	sequence, err := strconv.ParseInt(ev.LastEventID, 10, 64)
	if err != nil {
		return openai.Event{}, false
	}
	return out, id.Tokens(sequence) == next
}

// classify marks an error with ErrNotSent if certainly no byte reached the
// engine, otherwise with ErrBroken.
func classify(err error) error {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return errors.Mark(err, ErrNotSent)
	}
	return markBroken(err)
}

func markBroken(err error) error { return errors.Mark(err, ErrBroken) }

func endError(finished bool) error {
	if finished {
		return nil
	}
	return ErrBroken
}

// contextCause returns the cause of the cancellation if ctx was cancelled,
// otherwise err. It returns nil for a nil err.
func contextCause(ctx context.Context, err error) error {
	if err == nil || ctx.Err() == nil {
		return err
	}
	return context.Cause(ctx)
}

// ConnectionRefused reports whether err was caused by a refused connection: no
// process listens at the address.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
