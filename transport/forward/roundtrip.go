package forward

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/protocol/call"
	"samphirehead/state/id"
)

// errStaleConnection marks the errors of requests that were assigned to a reused
// connection which could not take them any more.
var errStaleConnection = errors.New("stale connection")

// errResent is the cause of the error for a request that net/http was about to write a
// second time. It does so by itself if a reused connection fails before an answer, and the
// method or a header says that requests may be repeated. Only the router knows whether this
// one may, and counts repeats.
var errResent = errors.New("connection failed after the request was written")

// roundTrip follows one request and the head of its answer on a connection. The request is
// written on one connection at most.
type roundTrip struct {
	cancel context.CancelCauseFunc
	// connectedBefore is that of the SendOptions.
	connectedBefore time.Time
	// written is SendOptions.Written.
	written func()

	mu sync.Mutex
	// conn is the connection that the request was last assigned to, or the one that it was
	// written on; nil before.
	conn   *conn
	reused bool
	// headTimer cancels the request if the head of the answer does not end.
	headTimer *time.Timer
}

func (t *roundTrip) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			t.mu.Lock()
			defer t.mu.Unlock()
			next, _ := info.Conn.(*conn)
			next.assign()
			if t.conn != nil && !t.conn.abandon() {
				next.refuse()
				t.cancel(errResent)
				return
			}
			if !t.connectedBefore.IsZero() && next.openedAt.After(t.connectedBefore) {
				next.refuse()
				t.cancel(ErrNoConnection)
				return
			}
			t.conn, t.reused = next, info.Reused
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			t.passed()
			if info.Err == nil && t.written != nil {
				t.written()
			}
		},
		GotFirstResponseByte: func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conn.answerBegun()
			t.stopHeadTimer()
			t.headTimer = time.AfterFunc(headTimeout, func() { t.cancel(ErrSlowHead) })
		},
	}
}

// passed reports to the connection that net/http has passed on the whole request.
func (t *roundTrip) passed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.pass()
	}
}

// headEnded stops the timer of the head.
func (t *roundTrip) headEnded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopHeadTimer()
}

// stopHeadTimer stops the timer, if it runs. t.mu must be held.
func (t *roundTrip) stopHeadTimer() {
	if t.headTimer != nil {
		t.headTimer.Stop()
	}
}

// check returns why a response is no answer to the request; nil if it is one.
func (t *roundTrip) check(response *http.Response, reply call.Reply, request id.Request) error {
	switch {
	case response.StatusCode < minFinalStatus || response.StatusCode > maxFinalStatus:
		return ErrInvalidStatus
	case !t.answered(reply, request):
		return ErrMismatchedAnswer
	}
	return nil
}

// answered reports whether a reply belongs to the request. A reply without an id
// may state that a request did not run, but not on a reused connection, where it
// may be meant for another request.
func (t *roundTrip) answered(reply call.Reply, request id.Request) bool {
	if t.conn.hasUnsolicited() {
		return false
	}
	return reply.ID == request || reply.ID == "" && reply.NotRun && !t.reused
}

// classify marks the error of a request of which nothing was sent with ErrNotSent,
// and with errStaleConnection if the connection was a reused one. cancelled is why
// the request was cancelled, if it was.
func (t *roundTrip) classify(err, cancelled error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case errors.Is(cancelled, errResent):
		return errResent
	case t.conn == nil && errors.Is(cancelled, ErrNoConnection):
		return errors.Mark(ErrNoConnection, ErrNotSent)
	case t.conn == nil:
		return errors.Mark(err, ErrNotSent)
	case t.conn.abandon():
		err = errors.Mark(err, ErrNotSent)
		if t.reused {
			err = errors.Mark(err, errStaleConnection)
		}
	case errors.Is(cancelled, ErrSlowHead):
		return ErrSlowHead
	}
	return err
}

// cancellingBody releases the context of a request when its body is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close closes the body.
func (b *cancellingBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}
