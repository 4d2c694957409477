package forward

import (
	"context"
	"io"
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

// exchange follows one request and the head of its answer on a connection.
type exchange struct {
	cancel context.CancelCauseFunc

	mu sync.Mutex
	// conn is the connection that the request was last assigned to; nil before.
	conn   *conn
	reused bool
	// headTimer cancels the request if the head of the answer does not end.
	headTimer *time.Timer
}

func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.conn, _ = info.Conn.(*conn)
			e.reused = info.Reused
			e.conn.assign()
		},
		GotFirstResponseByte: func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.conn.answerBegun()
			e.stopHeadTimer()
			e.headTimer = time.AfterFunc(headTimeout, func() { e.cancel(ErrSlowHead) })
		},
	}
}

// headEnded stops the timer of the head.
func (e *exchange) headEnded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopHeadTimer()
}

// stopHeadTimer stops the timer, if it runs. e.mu must be held.
func (e *exchange) stopHeadTimer() {
	if e.headTimer != nil {
		e.headTimer.Stop()
	}
}

// answered reports whether a reply belongs to the request. A reply without an id
// may state that a request did not run, but not on a reused connection, where it
// may be meant for another request.
func (e *exchange) answered(reply call.Reply, request id.Request) bool {
	if e.conn.hasUnsolicited() {
		return false
	}
	return reply.ID == request || reply.ID == "" && reply.NotRun && !e.reused
}

// classify marks the error of a request of which nothing was sent with ErrNotSent,
// and with errStaleConnection if the connection was a reused one. cancelled is why
// the request was cancelled, if it was.
func (e *exchange) classify(err, cancelled error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.conn == nil:
		return errors.Mark(err, ErrNotSent)
	case e.conn.abandon():
		err = errors.Mark(err, ErrNotSent)
		if e.reused {
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
