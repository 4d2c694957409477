// Package forward sends requests to upstreams over HTTP and tells what is
// certain about whether they ran.
package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/protocol/call"
	"samphirehead/state/fault"
)

const (
	dialTimeout = 400 * time.Millisecond
	// unacknowledged bounds the time that sent bytes stay unacknowledged.
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveInterval     = time.Second
	maxKeepAliveProbes    = 2
	// idleTimeout is shorter than that of upstreams, which would close a
	// connection just as a request is sent on it.
	idleTimeout          = 4 * time.Second
	maxIdlePerUpstream   = 24
	bufferBytes          = 4 << 10
	maxHeaderBytes       = 64 << 10
	tcpUserTimeoutOption = 0x12
	maxAnswerBytes       = 32 << 20
	maxDiscardBytes      = 64 << 10
)

// ErrNotSent marks errors of requests of which no byte reached the upstream.
var ErrNotSent = errors.New("not sent")

// ErrForeign marks answers that belong to another request or upstream.
var ErrMismatchedAnswer = errors.New("answer does not belong to the request")

// ErrTooLong says that an upstream sent more than is kept of an answer or event.
var ErrTooLong = errors.New("answer too long")

// Client sends requests to upstreams. Its exported fields are set before first
// use. It is safe for concurrent use.
type Client struct {
	Dialect call.Dialect

	once sync.Once
	// kept reuses connections, fresh opens one for each request.
	pooled, unpooled *http.Transport
}

// Response is an upstream's answer, whose body its owner closes.
type Response struct {
	call.Reply
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Send sends a request and returns the head of its answer. Errors that are not
// marked ErrNotSent leave open whether the request runs.
func (c *Client) Send(ctx context.Context, r *call.Request, s call.SendOptions) (*Response, error) {
	c.once.Do(c.init)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.transport(s).RoundTrip(c.request(ctx, r, s))
	if err != nil {
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, fault.Wrap("send request", s.Address, err)
	}
	reply := c.Dialect.Reply(response)
	if reply.ID != r.ID && !reply.NotRun {
		_ = response.Body.Close()
		return nil, fault.Wrap("read answer", s.Address, ErrMismatchedAnswer)
	}
	return &Response{Reply: reply, Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

func (c *Client) request(ctx context.Context, r *call.Request, s call.SendOptions) *http.Request {
	header := r.Header.Clone()
	c.Dialect.Send(header, s)
	target := *r.URL
	target.Scheme, target.Host = "http", s.Address
	out := &http.Request{
		Method:        r.Method,
		URL:           &target,
		Host:          r.Host,
		Header:        header,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return out.WithContext(ctx)
}

// transport keeps requests that must not run twice off connections that the
// upstream may be closing.
func (c *Client) transport(s call.SendOptions) *http.Transport {
	if s.NewConnection {
		return c.unpooled
	}
	return c.pooled
}

// ReadWhole reads the whole body of an answer and closes it. A longer one than
// maxAnswerBytes is an error: a part of it would look whole to the caller.
func (r *Response) ReadWhole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = ErrTooLong
	}
	return body, errors.CombineErrors(err, r.Body.Close())
}

// Discard closes an answer that is not passed on. A short rest is read, so
// that the connection can be used again.
func (r *Response) Discard() {
	// The answer is of no use any more, and neither is an error of it.
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
	_ = r.Body.Close()
}

func (c *Client) init() {
	c.pooled = newTransport()
	c.unpooled = newTransport()
	c.unpooled.DisableKeepAlives = true
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            newDialer().DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// newDialer makes connections that notice a silent peer.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: maxKeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unacknowledgedTimeout.Milliseconds()))
			})
			return errors.CombineErrors(err, optionErr)
		},
	}
}
