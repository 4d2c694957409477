// Package answer defines how a caller's request can end, and makes it
// impossible to say "not run" of a request that may have been sent.
package answer

import (
	"net/http"
	"time"
)

// Outcome is what a caller is told of the running of its request.
type Outcome string

// The outcomes.
const (
	// OutcomeCompleted: the answer is whole.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun: nothing was sent to an upstream, nor will be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown: the request may have run, wholly or in part.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a request was not completed, in a form for programs.
type Reason string

// The reasons.
const (
	ReasonBadRequest       Reason = "bad_request"
	ReasonUnauthorized     Reason = "unauthorized"
	ReasonForbidden        Reason = "forbidden"
	ReasonNotFound         Reason = "not_found"
	ReasonTooLarge         Reason = "too_large"
	ReasonKeyReused        Reason = "idempotency_key_reused"
	ReasonKeyMissing       Reason = "idempotency_key_missing"
	ReasonRateLimited      Reason = "rate_limited"
	ReasonOverloaded       Reason = "overloaded"
	ReasonDeadline         Reason = "deadline_exceeded"
	ReasonNoUpstream       Reason = "no_upstream"
	ReasonQuarantined      Reason = "quarantined"
	ReasonDraining         Reason = "instance_leaving"
	ReasonNotReady         Reason = "instance_not_ready"
	ReasonPlatformDown     Reason = "platform_unavailable"
	ReasonUpstreamFailed   Reason = "upstream_failed"
	ReasonUpstreamRejected Reason = "upstream_rejected"
	ReasonCancelled        Reason = "cancelled"
	ReasonInProgress       Reason = "in_progress"
	ReasonInternal         Reason = "internal_error"
)

// Status returns the HTTP status that goes with r.
func (r Reason) Status() int {
	switch r {
	case ReasonBadRequest, ReasonKeyMissing, ReasonUpstreamRejected:
		return http.StatusBadRequest
	case ReasonUnauthorized:
		return http.StatusUnauthorized
	case ReasonForbidden:
		return http.StatusForbidden
	case ReasonNotFound:
		return http.StatusNotFound
	case ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case ReasonKeyReused, ReasonQuarantined:
		return http.StatusUnprocessableEntity
	case ReasonInProgress:
		return http.StatusConflict
	case ReasonRateLimited, ReasonOverloaded:
		return http.StatusTooManyRequests
	case ReasonDeadline:
		return http.StatusGatewayTimeout
	case ReasonUpstreamFailed:
		return http.StatusBadGateway
	case ReasonInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusServiceUnavailable
	}
}

// Result is the end of a request: Completed, NotRun or Unknown.
type Result interface{ result() }

// Completed says that the whole answer was delivered.
type Completed struct{}

// NotRun says that nothing was sent. Only Progress.End makes one.
type NotRun struct{ failure Failure }

// Unknown says that the request may have run, wholly or in part.
type Unknown struct{ Failure }

func (Completed) result() {}
func (NotRun) result()    {}
func (Unknown) result()   {}

// Failure explains an end without a whole answer.
type Failure struct {
	Reason  Reason
	Message string
	// RetryAfter tells the caller when to come back; 0 when coming back
	// would not help.
	RetryAfter time.Duration
}

// Failure returns why nothing was run.
func (n NotRun) Failure() Failure { return n.failure }

// Progress remembers whether a request may have left for an upstream. The zero
// value has sent nothing. It belongs to one goroutine.
type Progress struct {
	// sent is never reset.
	possiblySent bool
}

// MayHaveSent must be called after each attempt, unless it is certain that the
// attempt sent no byte to an upstream.
func (p *Progress) MarkPossiblySent() { p.possiblySent = true }

// End ends the request with f: as NotRun if nothing was sent, else as Unknown.
func (p *Progress) Fail(f Failure) Result {
	if p.possiblySent {
		return Unknown{f}
	}
	return NotRun{f}
}
