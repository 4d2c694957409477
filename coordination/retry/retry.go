// Package retry decides what becomes of a request whose attempt at an upstream
// has failed.
package retry

import (
	"time"

	"samphirehead/state/id"
)

// Action is what to do next.
type Action string

// The actions.
const (
	// Elsewhere runs the whole request again, at another upstream.
	Restart Action = "elsewhere"
	// Resume goes on at the delivered offset, at another upstream.
	Resume Action = "resume"
	// Fail ends the request with an error.
	Fail Action = "fail"
)

// Reason says why a request fails for good.
type Reason string

// The reasons.
const (
	// NotRepeatable work may have run and must not run again.
	NotRepeatable Reason = "not_repeatable"
	// NotResumable answers were delivered in part and can't be continued.
	NotResumable Reason = "not_resumable"
	// TooManyAttempts were made.
	TooManyAttempts Reason = "too_many_attempts"
	// TooLate means that the deadline allows no further attempt.
	TooLate Reason = "too_late"
	// NoBudget means that the retries of the class are used up.
	NoBudget Reason = "no_budget"
	// IsQuarantined means that the request has crashed upstreams.
	Quarantined Reason = "quarantined"
)

// Evidence is what is known of the failed attempt and of its request.
type FailedAttempt struct {
	// NothingSent is set only when the connection carried no byte of the
	// request.
	NothingSent bool
	// EarlierSent is set when an earlier attempt of the request sent bytes.
	EarlierAttemptSent bool
	// Delivered is the answer tokens that the caller has received; above 0
	// nothing may be delivered again.
	TokensDelivered id.Tokens
	// BytesDelivered is set when any byte of the answer's body, counted in
	// tokens or not, has gone to the caller.
	BytesDelivered bool
	// Resumable says that another upstream can go on at an offset.
	Resumable bool
	// Idempotent work may run more than once: generations, and calls of
	// routes that are declared so.
	Idempotent bool
	// Preempted attempts ended because the slot was wanted for other work: not a
	// failure, free of budget and not counted as an attempt.
	Preempted bool
	// Quarantined is the verdict on the request's fingerprint.
	Quarantined bool
	// Attempts counts the attempts made so far that were not preempted.
	Attempts int
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// Verdict is the decision on a failed attempt.
type Decision struct {
	Action Action
	// Reason is set for Fail.
	Reason Reason
	// NotRun is true for Fail only if no attempt sent a byte.
	NotRun bool
}

const (
	defaultAttemptLimit = 4
	// leastTime is what must be left until the deadline.
	minTimeLeft = 20 * time.Millisecond
)

// Key names one budget.
type Key struct {
	Class id.Class
	Pool  id.Pool
}

// Policy decides on failed attempts. Its zero value is ready for use; exported
// fields are set before first use. It is not safe for concurrent use.
type Policy struct {
	// Share of recent successes that may be spent on retries; 0 means 0.2.
	RetryRatio float64
	// Floor is the retries that are allowed without any success, regained
	// at one a second; 0 means 3.
	Floor float64
	// AttemptLimit bounds the attempts of one request; 0 means 4.
	AttemptLimit int

	budgets map[Key]*budget
}

// Succeeded credits the budget of k.
func (p *Policy) RecordSuccess(now time.Time, k Key) {
	p.budget(now, k).recordSuccess(now, p.retryRatio())
}

// Decide returns the verdict on a failed attempt and, for a retry that is not
// free, takes it from the budget of k.
func (p *Policy) Decide(now time.Time, k Key, attempt FailedAttempt) Decision {
	decision := p.decide(now, attempt)
	if decision.Action == Fail || attempt.Preempted {
		return decision
	}
	if !p.budget(now, k).spend(now) {
		return failDecision(NoBudget, attempt)
	}
	return decision
}

// allowed decides without the budget.
func (p *Policy) decide(now time.Time, attempt FailedAttempt) Decision {
	switch {
	case attempt.Quarantined:
		return failDecision(Quarantined, attempt)
	case !attempt.NothingSent && !attempt.Idempotent:
		return failDecision(NotRepeatable, attempt)
	case !attempt.Preempted && attempt.Attempts >= p.attemptLimit():
		return failDecision(TooManyAttempts, attempt)
	case attempt.Deadline.Sub(now) < minTimeLeft:
		return failDecision(TooLate, attempt)
	case attempt.TokensDelivered == 0 && !attempt.BytesDelivered:
		return Decision{Action: Restart}
	case attempt.TokensDelivered > 0 && attempt.Resumable:
		return Decision{Action: Resume}
	default:
		return failDecision(NotResumable, attempt)
	}
}

func failDecision(reason Reason, attempt FailedAttempt) Decision {
	notRun := attempt.NothingSent && !attempt.EarlierAttemptSent && attempt.TokensDelivered == 0 && !attempt.BytesDelivered
	return Decision{Action: Fail, Reason: reason, NotRun: notRun}
}

func (p *Policy) attemptLimit() int {
	if p.AttemptLimit > 0 {
		return p.AttemptLimit
	}
	return defaultAttemptLimit
}

func (p *Policy) retryRatio() float64 {
	if p.RetryRatio > 0 {
		return p.RetryRatio
	}
	return defaultRetryRatio
}

func (p *Policy) floor() float64 {
	if p.Floor > 0 {
		return p.Floor
	}
	return defaultFloor
}

func (p *Policy) budget(now time.Time, k Key) *budget {
	if p.budgets == nil {
		p.budgets = map[Key]*budget{}
	}
	b := p.budgets[k]
	if b == nil {
		b = &budget{floor: p.floor(), floorLeft: p.floor(), updatedAt: now}
		p.budgets[k] = b
	}
	return b
}
