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
	unacknowledged = 1500 * time.Millisecond
	keepAlive      = time.Second
	keepAliveCount = 2
	// idleTimeout is shorter than that of upstreams, which would close a
	// connection just as a request is sent on it.
	idleTimeout      = 4 * time.Second
	idlePerUpstream  = 24
	bufferBytes      = 4 << 10
	maxHeaderBytes   = 64 << 10
	tcpUserTimeout   = 0x12
	maxAnswerBytes   = 32 << 20
	drainedBodyBytes = 64 << 10
)

// ErrNotSent marks errors of requests of which no byte reached the upstream.
var ErrNotSent = errors.New("not sent")

// ErrForeign marks answers that belong to another request or upstream.
var ErrForeign = errors.New("answer does not belong to the request")

// ErrTooLong says that an upstream sent more than is kept of an answer or event.
var ErrTooLong = errors.New("answer too long")

// Client sends requests to upstreams. Its exported fields are set before first
// use. It is safe for concurrent use.
type Client struct {
	Dialect call.Dialect

	once sync.Once
	// kept reuses connections, fresh opens one for each request.
	kept, fresh *http.Transport
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
func (c *Client) Send(ctx context.Context, r *call.Request, s call.Send) (*Response, error) {
	c.once.Do(c.init)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	answer, err := c.transport(s).RoundTrip(c.request(ctx, r, s))
	if err != nil {
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, fault.Wrap("send request", s.Address, err)
	}
	reply := c.Dialect.Reply(answer)
	if reply.ID != r.ID && !reply.NotRun {
		_ = answer.Body.Close()
		return nil, fault.Wrap("read answer", s.Address, ErrForeign)
	}
	return &Response{Reply: reply, Status: answer.StatusCode, Header: answer.Header, Body: answer.Body}, nil
}

func (c *Client) request(ctx context.Context, r *call.Request, s call.Send) *http.Request {
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
func (c *Client) transport(s call.Send) *http.Transport {
	if s.Once {
		return c.fresh
	}
	return c.kept
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
	_, _ = io.CopyN(io.Discard, r.Body, drainedBodyBytes)
	_ = r.Body.Close()
}

func (c *Client) init() {
	c.kept = newTransport()
	c.fresh = newTransport()
	c.fresh.DisableKeepAlives = true
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            newDialer().DialContext,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    idlePerUpstream,
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
			Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
			})
			return errors.CombineErrors(err, failed)
		},
	}
}
