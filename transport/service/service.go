// Package service is the client of plain services.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/coordination/claim"
	"samphirehead/state/fault"
)

const (
	dialTimeout         = 500 * time.Millisecond
	maxAnswerBytes      = 4 << 20
	maxIdleConnsPerHost = 64
)

// Call is one attempt at a call of a plain service.
type Call struct {
	// Address is the worker's IP number and port.
	Address string
	Method  string
	// Target is the path with its query.
	Target string
	Header http.Header
	Body   []byte
}

// Client calls plain services. Its zero value is ready. It is safe for
// concurrent use.
type Client struct {
	once     sync.Once
	pooled   *http.Client
	unpooled *http.Client
}

func (c *Client) init() {
	c.pooled = &http.Client{Transport: newTransport(false), CheckRedirect: returnRedirect}
	c.unpooled = &http.Client{Transport: newTransport(true), CheckRedirect: returnRedirect}
}

// newTransport returns a pooled transport, or one that makes a connection for
// each call: net/http by itself repeats a call that has an Idempotency-Key
// header when a kept connection breaks.
func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   disableKeepAlives,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,
	}
}

func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Once sends the call that a permit allows, at most once.
func (c *Client) SendOnce(ctx context.Context, _ *claim.Permit, call Call) claim.Evidence {
	c.once.Do(c.init)
	return send(ctx, c.unpooled, call)
}

// Repeatable makes an attempt at a call that may run more than once.
func (c *Client) SendRepeatable(ctx context.Context, call Call) claim.Evidence {
	c.once.Do(c.init)
	return send(ctx, c.pooled, call)
}

func send(ctx context.Context, client *http.Client, call Call) claim.Evidence {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	answer, err := roundTrip(ctx, client, call)
	switch {
	case err == nil:
		return claim.Answered{Answer: answer}
	case !connected.Load():
		return claim.NothingSent{Err: err}
	default:
		return claim.MayHaveSent{Err: err}
	}
}

func roundTrip(ctx context.Context, client *http.Client, call Call) (claim.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return claim.Answer{}, fault.Wrap("make request", call.Address, err)
	}
	req.Header = call.Header.Clone()
	resp, err := client.Do(req)
	if err != nil {
		return claim.Answer{}, fault.Wrap("call service", call.Address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil {
		return claim.Answer{}, fault.Wrap("read answer", call.Address, err)
	}
	if len(body) > maxAnswerBytes {
		return claim.Answer{}, fault.Wrap("read answer", call.Address, errors.New("the answer is larger than 4 MiB"))
	}
	return claim.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
