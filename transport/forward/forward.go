// Package forward sends requests to upstreams over HTTP. Its errors distinguish
// requests that were certainly not sent from those that may have run.
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
	// unacknowledgedTimeout is how long sent bytes may stay unacknowledged
	// before the connection fails.
	unacknowledgedTimeout = 1500 * time.Millisecond
	keepAliveInterval     = time.Second
	maxKeepAliveProbes    = 2
	// idleTimeout is shorter than the idle timeout of upstreams. Otherwise an
	// upstream could close a connection just as a request is sent on it.
	idleTimeout          = 4 * time.Second
	maxIdlePerUpstream   = 24
	bufferBytes          = 4 << 10
	maxHeaderBytes       = 64 << 10
	tcpUserTimeoutOption = 0x12
	maxAnswerBytes       = 32 << 20
	maxDiscardBytes      = 64 << 10
)

// ErrNotSent marks the errors of requests of which no byte reached the upstream.
var ErrNotSent = errors.New("not sent")

// ErrMismatchedAnswer is the cause of the error for an answer to another request
// or from another upstream.
var ErrMismatchedAnswer = errors.New("answer does not belong to the request")

// ErrTooLong means that an answer or event is longer than its size limit.
var ErrTooLong = errors.New("answer or event too long")

// Client sends requests to upstreams. Set the exported fields before first use.
// It is safe for concurrent use.
type Client struct {
	Dialect call.Dialect

	once sync.Once
	// pooled reuses connections; unpooled opens one for each request.
	pooled, unpooled *http.Transport
}

// Response is an upstream's answer. Its body must be closed, which ReadWhole and
// Discard do.
type Response struct {
	call.Reply
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Send sends a request and returns its answer with an unread body. If an error
// is not marked with ErrNotSent, the request may run.
func (c *Client) Send(ctx context.Context, r *call.Request, options call.SendOptions) (*Response, error) {
	c.once.Do(c.init)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	response, err := c.transport(options).RoundTrip(c.request(ctx, r, options))
	if err != nil {
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, fault.Wrap("send request", options.Address, err)
	}
	reply := c.Dialect.ParseReply(response)
	if reply.ID != r.ID && !reply.NotRun {
		_ = response.Body.Close()
		return nil, fault.Wrap("read answer", options.Address, ErrMismatchedAnswer)
	}
	return &Response{Reply: reply, Status: response.StatusCode, Header: response.Header, Body: response.Body}, nil
}

func (c *Client) request(ctx context.Context, r *call.Request, options call.SendOptions) *http.Request {
	header := r.Header.Clone()
	c.Dialect.SetHeaders(header, options)
	target := *r.URL
	target.Scheme, target.Host = "http", options.Address
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

// transport returns a transport that opens a new connection for requests that
// must not run twice, because the upstream may be closing a reused one.
func (c *Client) transport(options call.SendOptions) *http.Transport {
	if options.NewConnection {
		return c.unpooled
	}
	return c.pooled
}

// ReadWhole reads the whole body of an answer and closes it. A body longer than
// maxAnswerBytes is an error, because a truncated one would look complete to the
// caller.
func (r *Response) ReadWhole() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = ErrTooLong
	}
	return body, errors.CombineErrors(err, r.Body.Close())
}

// Discard closes an answer that is not forwarded. It reads the rest of a short
// body, so that the connection can be reused.
func (r *Response) Discard() {
	// The answer is not used any more, so errors of reading it do not matter.
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

// newDialer returns a dialer whose connections fail soon if the peer stops
// responding. Keep-alives detect this on idle connections, TCP_USER_TIMEOUT when
// bytes were sent.
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
