// Package forward sends requests to upstreams over HTTP. Its errors distinguish
// requests that were certainly not sent from those that may have run.
package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/protocol/call"
	"samphirehead/state/fault"
	"samphirehead/transport/bound"
	"samphirehead/transport/dial"
	"samphirehead/transport/framing"
)

const (
	dialTimeout = 400 * time.Millisecond
	// maxSilence is for how long an upstream may send nothing at all, not even
	// acknowledgements, and go on.
	maxSilence = 1800 * time.Millisecond
	// idleTimeout is shorter than the idle timeout of upstreams. Otherwise an
	// upstream could close a connection just as a request is sent on it.
	idleTimeout        = 4 * time.Second
	maxIdlePerUpstream = 24
	bufferBytes        = 4 << 10
	// headTimeout bounds the time from the first byte of an answer to the end of
	// its head: an upstream may be silent for a second or so and go on. discardTimeout bounds
	// the reading of an answer that is not used.
	headTimeout     = 2500 * time.Millisecond
	discardTimeout  = 100 * time.Millisecond
	maxDiscardBytes = 64 << 10
	// maxAnswerBytes bounds a whole answer, and maxEventBytes one event.
	maxAnswerBytes = 32 << 20
	maxEventBytes  = 256 << 10
	// defaultMemory is the memory for answers if Client.Memory is 0.
	defaultMemory = 256 << 20
)

// ErrNotSent marks the errors of requests of which no byte reached the upstream.
var ErrNotSent = errors.New("not sent")

// ErrMismatchedAnswer is the cause of the error for an answer that does not carry
// the id of the request, as it may belong to another request.
var ErrMismatchedAnswer = errors.New("answer does not belong to the request")

// ErrNoConnection is the cause of the error for a request that no connection of before
// SendOptions.ConnectedBefore could take.
var ErrNoConnection = errors.New("no connection that is old enough")

// ErrSlowHead is the cause of the error for an answer whose head does not end.
var ErrSlowHead = errors.New("head of the answer does not end")

// ErrNotSealed is the error for an answer without the seal of the upstream.
var ErrNotSealed = errors.New("answer has no upstream seal")

// ErrInvalidStatus is the cause of the error for an answer whose status is none of a final
// answer: from 200 to 599.
var ErrInvalidStatus = errors.New("answer has no valid status")

const (
	minFinalStatus = 200
	maxFinalStatus = 599
)

// LostConnection reports whether the error of an attempt may mean that the upstream ended: the
// request was sent, and the connection was lost before the end of the answer. It did not end if
// it answered something else, or if the answer was given up here.
func LostConnection(err error) bool {
	return err != nil && !errors.IsAny(err, ErrNotSent, ErrMismatchedAnswer, ErrInvalidStatus, ErrSlowHead,
		ErrNotSealed, ErrNotEvents, bound.ErrTooLong, bound.ErrMemory, context.Canceled, context.DeadlineExceeded)
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to upstreams. Set the exported fields before first use.
// It is safe for concurrent use.
type Client struct {
	Dialect call.Dialect
	// Memory bounds the bytes of answers that are buffered at the same time; 0
	// means the default.
	Memory int64
	// Dial opens connections; nil means that of package dial.
	Dial DialFunc

	once   sync.Once
	memory *bound.Memory
	// pooled reuses connections; unpooled opens one for each request.
	pooled, unpooled *http.Transport
}

// Response is an upstream's answer. Its body must be closed, which ReadWhole and
// Discard do, and Release must be called when it is no longer used.
type Response struct {
	call.Reply
	Status  int
	Header  http.Header
	Framing framing.Framing
	Body    io.ReadCloser
	// ConnectedAt is when the connection to the upstream had been opened.
	ConnectedAt time.Time

	whole bound.Buffer
}

// Send sends a request and returns its answer with an unread body. If an error
// is not marked with ErrNotSent, the request may run.
func (c *Client) Send(ctx context.Context, r *call.Request, options call.SendOptions) (*Response, error) {
	c.once.Do(c.init)
	response, err := c.sendOver(ctx, c.transport(options), r, options)
	if errors.Is(err, errStaleConnection) && ctx.Err() == nil && options.ConnectedBefore.IsZero() {
		response, err = c.sendOver(ctx, c.unpooled, r, options)
	}
	return response, err
}

func (c *Client) sendOver(ctx context.Context, transport *http.Transport, r *call.Request, options call.SendOptions) (*Response, error) {
	sendCtx, cancel := context.WithCancelCause(ctx)
	t := roundTrip{cancel: cancel, connectedBefore: options.ConnectedBefore, written: options.Written}
	if !options.ConnectedBefore.IsZero() {
		sendCtx = context.WithValue(sendCtx, noDial{}, true)
	}
	raw, err := transport.RoundTrip(c.request(httptrace.WithClientTrace(sendCtx, t.trace()), r, options))
	t.headEnded()
	if err == nil {
		raw.Body = &cancellingBody{ReadCloser: raw.Body, cancel: cancel}
		if err = t.check(raw, c.Dialect.ParseReply(raw), r.ID); err != nil {
			_ = raw.Body.Close()
			// Without a body, the connection may be in the pool by now.
			_ = t.conn.Close()
		}
	}
	if err != nil {
		err = t.classify(err, context.Cause(sendCtx))
		cancel(nil)
		return nil, fault.Wrap("send request", options.Address, err)
	}
	return &Response{
		Reply: c.Dialect.ParseReply(raw), Status: raw.StatusCode, Header: raw.Header, Framing: framing.Of(raw), Body: raw.Body,
		ConnectedAt: t.conn.openedAt,
		whole:       bound.Buffer{Memory: c.memory},
	}, nil
}

// Probe opens a connection to an upstream and closes it.
func (c *Client) Probe(ctx context.Context, address string) error {
	c.once.Do(c.init)
	connection, err := c.Dial(ctx, "tcp", address)
	if err != nil {
		return fault.Wrap("probe", address, err)
	}
	return fault.Wrap("close probe", address, connection.Close())
}

// Buffered returns the bytes of answers that are reserved now.
func (c *Client) Buffered() int64 {
	c.once.Do(c.init)
	return c.memory.Used()
}

// PeakBuffered returns the most bytes of answers that were reserved at any time.
func (c *Client) PeakBuffered() int64 {
	c.once.Do(c.init)
	return c.memory.Peak()
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
		out.Body = &requestBody{data: r.Body}
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
// the limit is an error, because a truncated one would look complete to the
// caller. The bytes may be used until Release.
func (r *Response) ReadWhole() ([]byte, error) {
	r.whole.Limit = maxAnswerBytes
	if err := r.whole.ReadAll(r.Body); err != nil {
		r.Release()
		return nil, errors.CombineErrors(err, r.Body.Close())
	}
	return r.whole.Data, r.Body.Close()
}

// Events returns a reader of the events of the answer.
func (r *Response) Events() *EventReader {
	return &EventReader{Body: r.Body, Unframed: r.Framing == framing.Connection, pending: bound.Buffer{Memory: r.whole.Memory}}
}

// Release drops the bytes that ReadWhole returned.
func (r *Response) Release() { r.whole.Release() }

// Discard closes an answer that is not forwarded. It reads the rest of a short
// body, so that the connection can be reused.
func (r *Response) Discard() {
	timer := time.AfterFunc(discardTimeout, func() { _ = r.Body.Close() })
	defer timer.Stop()
	// The answer is not used any more, so errors of reading it do not matter.
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)
	_ = r.Body.Close()
}

func (c *Client) init() {
	if c.Memory <= 0 {
		c.Memory = defaultMemory
	}
	c.memory = &bound.Memory{Limit: c.Memory}
	if c.Dial == nil {
		c.Dial = dial.NewDialer(dialTimeout, maxSilence).DialContext
	}
	c.pooled = newTransport(c.Dial)
	c.unpooled = newTransport(c.Dial)
	c.unpooled.DisableKeepAlives = true
}

// noDial is the key of a context value that is set if no connection may be opened.
type noDial struct{}

func newTransport(dial DialFunc) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			if ctx.Value(noDial{}) != nil {
				return nil, ErrNoConnection
			}
			c, err := dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return newConn(c), nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerUpstream,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: bound.MaxHeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}
