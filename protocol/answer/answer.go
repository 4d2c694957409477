// Package answer defines the results of a caller's request. Its types ensure
// that a request which may have been sent to an upstream is never reported as
// not run.
package answer

import (
	"net/http"
	"time"
)

// Outcome tells a caller whether its request ran, as encoded in responses.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeCompleted means that the answer is complete.
	OutcomeCompleted Outcome = "completed"
	// OutcomeNotRun means that nothing was sent to an upstream, and nothing
	// will be.
	OutcomeNotRun Outcome = "not_run"
	// OutcomeUnknown means that the request may have run, wholly or in part.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the machine-readable cause of a request that was not completed, as
// encoded in responses.
type Reason string

// Reasons for a request that was not completed.
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

// Status returns the HTTP status code of responses with reason r.
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

// Result is the result of a request: Completed, NotRun or Unknown.
type Result interface{ result() }

// Completed means that the whole answer was delivered.
type Completed struct{}

// NotRun means that nothing was sent to an upstream. Only Progress.Fail creates
// one.
type NotRun struct{ failure Failure }

// Unknown means that the request may have run, wholly or in part.
type Unknown struct{ Failure }

func (Completed) result() {}
func (NotRun) result()    {}
func (Unknown) result()   {}

// Failure describes why a request has no complete answer.
type Failure struct {
	Reason  Reason
	Message string
	// RetryAfter is how long the caller should wait before a retry; 0 if a
	// retry would not help.
	RetryAfter time.Duration
}

// Failure returns why the request was not run.
func (n NotRun) Failure() Failure { return n.failure }

// Progress records whether a request may have been sent to an upstream. The zero
// value means that nothing was sent. It is not safe for concurrent use.
type Progress struct {
	// possiblySent is never reset.
	possiblySent bool
}

// MarkPossiblySent must be called after each attempt, unless it is certain that
// the attempt sent no byte to an upstream.
func (p *Progress) MarkPossiblySent() { p.possiblySent = true }

// Fail returns the result of a request that ends with f: NotRun if nothing was
// sent, otherwise Unknown.
func (p *Progress) Fail(f Failure) Result {
	if p.possiblySent {
		return Unknown{f}
	}
	return NotRun{f}
}
