// Package service implements the HTTP client for plain services.
package service

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"samphirehead/coordination/claim"
	"samphirehead/state/fault"
	"samphirehead/transport/bound"
)

const (
	dialTimeout    = 500 * time.Millisecond
	maxAnswerBytes = 4 << 20
	// maxReadingBytes bounds the bodies that are being read at the same time.
	maxReadingBytes     = 64 << 20
	maxIdleConnsPerHost = 64
)

// Call is one attempt to call a plain service.
type Call struct {
	// Address is the worker's IP address and port.
	Address string
	Method  string
	// Target is the path and query.
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
	memory   bound.Memory
}

func (c *Client) init() {
	c.memory.Limit = maxReadingBytes
	c.pooled = &http.Client{Transport: newTransport(false), CheckRedirect: returnRedirect}
	c.unpooled = &http.Client{Transport: newTransport(true), CheckRedirect: returnRedirect}
}

// newTransport returns a transport that reuses connections, or one that opens a
// connection for each call. The latter is for calls that must not be repeated, as the
// service may be closing a reused one.
func newTransport(disableKeepAlives bool) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		DisableKeepAlives:   disableKeepAlives,
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		DisableCompression:  true,

		MaxResponseHeaderBytes: bound.MaxHeaderBytes,
	}
}

func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// SendOnce sends the call that a permit allows, at most once.
func (c *Client) SendOnce(ctx context.Context, _ *claim.Permit, call Call) claim.Evidence {
	c.once.Do(c.init)
	return c.send(ctx, c.unpooled, call)
}

// SendRepeatable sends a call that may run more than once; it is sent once here, too.
func (c *Client) SendRepeatable(ctx context.Context, call Call) claim.Evidence {
	c.once.Do(c.init)
	return c.send(ctx, c.pooled, call)
}

func (c *Client) send(ctx context.Context, client *http.Client, call Call) claim.Evidence {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	answer, err := c.roundTrip(ctx, client, call)
	switch {
	case err == nil:
		return claim.Answered{Answer: answer}
	case !connected.Load():
		return claim.NothingSent{Err: err}
	default:
		return claim.MayHaveSent{Err: err}
	}
}

func (c *Client) roundTrip(ctx context.Context, client *http.Client, call Call) (claim.Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Address+call.Target, bytes.NewReader(call.Body))
	if err != nil {
		return claim.Answer{}, fault.Wrap("make request", call.Address, err)
	}
	req.Header = call.Header.Clone()
	forbidReplay(req)
	resp, err := client.Do(req)
	if err != nil {
		return claim.Answer{}, fault.Wrap("call service", call.Address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.readBody(resp.Body)
	if err != nil {
		return claim.Answer{}, fault.Wrap("read answer", call.Address, err)
	}
	return claim.Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// forbidReplay keeps net/http from sending a request again by itself, uncounted, if a reused
// connection breaks. It does that for some methods, and with an Idempotency-Key header, where
// it can read the body again.
func forbidReplay(req *http.Request) {
	_, hasKey := req.Header["Idempotency-Key"]
	_, hasOtherKey := req.Header["X-Idempotency-Key"]
	if !hasKey && !hasOtherKey && !slices.Contains(replayedMethods, req.Method) {
		return
	}
	req.GetBody = nil
	if req.ContentLength == 0 {
		req.Body = emptyBody{}
	}
}

// replayedMethods are the methods of requests that net/http sends again without a header
// that says so.
var replayedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

// emptyBody is a body without bytes that net/http can't tell from others before it reads it.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }

// readBody reads a whole body. The memory for bodies is shared by those that are
// being read.
func (c *Client) readBody(r io.Reader) ([]byte, error) {
	buffer := bound.Buffer{Memory: &c.memory, Limit: maxAnswerBytes}
	defer buffer.Release()
	if err := buffer.ReadAll(r); err != nil {
		return nil, err
	}
	return buffer.Data, nil
}
