// Package claim decides how a call that must run at most once is claimed in
// the platform's table, sent, recorded and replayed.
package claim

import (
	"net/http"
	"time"
)

// Outcome is what a caller is told of its call: Completed, NotRun or Unknown.
type Outcome interface{ outcome() }

// Completed says that the call ran and carries its answer.
type Completed struct {
	Answer Answer
	// Replayed is set when the answer comes from the record of an earlier
	// call with the same key.
	Replayed bool
}

// Unknown says that the call may have run. It is never sent again.
type Unknown struct {
	// RetryAfter is when asking for the outcome again is worthwhile.
	RetryAfter time.Duration
}

// NotRun says that nothing of the call was sent, and nothing will be. Only
// Unsent.NotRun makes one.
type NotRun interface {
	Outcome
	// Reason says why the call was given up.
	Reason() Reason
	// RetryAfter is when the caller may come back.
	RetryAfter() time.Duration
	// Cause is the error behind the reason, or nil. It is for the log and
	// not for the caller.
	Cause() error
}

type notRun struct {
	reason     Reason
	retryAfter time.Duration
	cause      error
}

func (Completed) outcome() {}
func (Unknown) outcome()   {}
func (notRun) outcome()    {}

func (n notRun) Reason() Reason            { return n.reason }
func (n notRun) RetryAfter() time.Duration { return n.retryAfter }
func (n notRun) Cause() error              { return n.cause }

// Reason says why a call was not run.
type Reason string

// The reasons for which a call is not run. Callers of this package may add
// reasons of their own.
const (
	// StoreUnavailable calls could not be claimed. It speaks of this call
	// only: the records of earlier calls with the same key could not be
	// read.
	StoreUnavailable Reason = "store_unavailable"
	// KeyReused calls carry the key of a call with another body.
	KeyReused Reason = "key_reused"
	// NothingReached calls were refused before a byte of them left.
	UpstreamUnavailable Reason = "upstream_unavailable"
	// DeadlinePassed calls had no time left when they could be sent.
	DeadlinePassed Reason = "deadline_passed"
	// CallerGone calls were given up by their caller.
	CallerGone Reason = "caller_gone"
)

// Unsent proves that nothing of a request was sent. It is used once: by
// NotRun, after which nothing can be sent, or by Send, after which NotRun can
// no longer be said. It is not safe for use by several goroutines.
type Unsent struct {
	// used is set for good by the first use.
	used bool
}

// Receive returns the proof for a request that has just been received.
func NewUnsent() *Unsent { return &Unsent{} }

// NotRun uses up the proof. Where it was used up before, the outcome is
// Unknown.
func (u *Unsent) NotRun(reason Reason, retryAfter time.Duration, cause error) Outcome {
	if u.used {
		return Unknown{RetryAfter: retryAfter}
	}
	u.used = true
	return notRun{reason: reason, retryAfter: retryAfter, cause: cause}
}

// Send uses up the proof in exchange for a permit to send. It returns nil
// where the proof was used up before.
func (u *Unsent) Send() *Permit {
	if u.used {
		return nil
	}
	u.used = true
	return &Permit{}
}

// Permit allows one request to be sent. A transport that sends without one
// breaks the promise behind NotRun.
type Permit struct {
	returned bool
}

// Return gives the proof back after a transport found that nothing was sent.
// It returns nil when the permit was returned before.
func (p *Permit) Return(NothingSent) *Unsent {
	if p.returned {
		return nil
	}
	p.returned = true
	return &Unsent{}
}

// Answer is the final answer of an upstream.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyOmitted is set on a replay whose body was too large to record.
	BodyOmitted bool
}

// Evidence is what a transport knows after it tried to send a request:
// NothingSent, MayHaveSent or Answered.
type Evidence interface{ evidence() }

// NothingSent reports that no byte of the request left: no connection was
// made, or the request was refused before one was tried.
type NothingSent struct {
	// Reason is NothingReached when empty.
	Reason     Reason
	RetryAfter time.Duration
	Err        error
}

// MayHaveSent reports that bytes left and no whole answer came back.
type MayHaveSent struct{ Err error }

// Answered reports the whole answer of the upstream.
type Answered struct{ Answer Answer }

func (NothingSent) evidence() {}
func (MayHaveSent) evidence() {}
func (Answered) evidence()    {}
