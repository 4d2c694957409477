// Package claim implements at-most-once calls as a state machine. An attempt
// claims the call's idempotency key in the platform's table, marks the claim as
// sent, sends the call and records the answer, which is replayed to later calls
// with the same key.
package claim

import (
	"net/http"
	"time"
)

// Outcome is the outcome of a call as reported to its caller: Completed, NotRun
// or Unknown.
type Outcome interface{ outcome() }

// Completed means that the call ran, and contains its answer.
type Completed struct {
	Answer Answer
	// Replayed is set when the answer comes from the record of an earlier
	// call with the same key.
	Replayed bool
}

// Unknown means that the call may have run. It is never sent again.
type Unknown struct {
	// RetryAfter is how long to wait before asking for the outcome again.
	RetryAfter time.Duration
}

// NotRun means that nothing of the call was sent or will be sent. Only
// Unsent.NotRun creates one.
type NotRun interface {
	Outcome
	// Reason returns why the call was given up.
	Reason() Reason
	// RetryAfter returns how long the caller should wait before a retry.
	RetryAfter() time.Duration
	// Cause returns the error that led to the reason, or nil. It is for the
	// log and not for the caller.
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

// Reason is why a call was not run.
type Reason string

// Reasons for which a call is not run. Other packages may define further ones.
const (
	// StoreUnavailable calls could not be claimed. This says nothing about
	// earlier calls with the same key, whose records could not be read.
	StoreUnavailable Reason = "store_unavailable"
	// KeyReused calls have the key of an earlier call with a different digest.
	KeyReused Reason = "key_reused"
	// UpstreamUnavailable calls failed before a byte of them was sent.
	UpstreamUnavailable Reason = "upstream_unavailable"
	// DeadlinePassed calls could not be sent before their deadline.
	DeadlinePassed Reason = "deadline_passed"
	// CallerGone calls were cancelled by their caller.
	CallerGone Reason = "caller_gone"
)

// Unsent is a proof that nothing of a request was sent. It can be used once:
// either by NotRun, after which the request can't be sent, or by Send, after
// which the outcome can't be NotRun. It is not safe for concurrent use.
type Unsent struct {
	// used is set by the first use and never reset.
	used bool
}

// NewUnsent returns the proof for a request that has just been received.
func NewUnsent() *Unsent { return &Unsent{} }

// NotRun uses the proof and returns a NotRun outcome. If the proof was used
// before, it returns Unknown.
func (u *Unsent) NotRun(reason Reason, retryAfter time.Duration, cause error) Outcome {
	if u.used {
		return Unknown{RetryAfter: retryAfter}
	}
	u.used = true
	return notRun{reason: reason, retryAfter: retryAfter, cause: cause}
}

// Send uses the proof and returns a permit to send the request. It returns nil
// if the proof was used before.
func (u *Unsent) Send() *Permit {
	if u.used {
		return nil
	}
	u.used = true
	return &Permit{}
}

// Permit allows one request to be sent. A transport that sends without a permit
// breaks the guarantee of NotRun.
type Permit struct {
	returned bool
}

// Return exchanges the permit for a new proof after the transport reported that
// nothing was sent. It returns nil if the permit was returned before.
func (p *Permit) Return(NothingSent) *Unsent {
	if p.returned {
		return nil
	}
	p.returned = true
	return &Unsent{}
}

// Answer is an upstream's complete response.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// BodyOmitted is set on a replay whose body was too large to record.
	BodyOmitted bool
}

// Evidence is a transport's result of sending a request: NothingSent,
// MayHaveSent or Answered.
type Evidence interface{ evidence() }

// NothingSent reports that no byte of the request was sent: no connection was
// made, or the request was rejected before one was tried.
type NothingSent struct {
	// Reason defaults to UpstreamUnavailable.
	Reason     Reason
	RetryAfter time.Duration
	Err        error
}

// MayHaveSent reports that bytes may have been sent and that no complete answer
// was received.
type MayHaveSent struct{ Err error }

// Answered reports the upstream's complete answer.
type Answered struct{ Answer Answer }

func (NothingSent) evidence() {}
func (MayHaveSent) evidence() {}
func (Answered) evidence()    {}
