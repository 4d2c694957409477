// Package retry decides whether and how a request continues after a failed attempt
// at an upstream.
package retry

import (
	"time"

	"samphirehead/state/id"
)

// Action is how a request continues after a failed attempt.
type Action string

// The actions.
const (
	// Restart runs the whole request again at another upstream.
	Restart Action = "elsewhere"
	// Resume continues the answer at another upstream, from the tokens delivered.
	Resume Action = "resume"
	// Fail ends the request with an error.
	Fail Action = "fail"
)

// Reason is why a request is not retried.
type Reason string

// The reasons.
const (
	// NotRepeatable means that the work may have run and must not run again.
	NotRepeatable Reason = "not_repeatable"
	// NotResumable means that a part of the answer was delivered and that it
	// can't be continued.
	NotResumable Reason = "not_resumable"
	// TooManyAttempts means that the limit on attempts is reached.
	TooManyAttempts Reason = "too_many_attempts"
	// TooLate means that the deadline leaves no time for another attempt.
	TooLate Reason = "too_late"
	// NoBudget means that the retry budget of the class is used up.
	NoBudget Reason = "no_budget"
	// Quarantined means that requests with the fingerprint have crashed upstreams.
	Quarantined Reason = "quarantined"
)

// FailedAttempt describes a failed attempt and its request.
type FailedAttempt struct {
	// NothingSent is set only if no byte of the request was sent in this attempt.
	NothingSent bool
	// EarlierAttemptSent is set if an earlier attempt of the request sent bytes.
	EarlierAttemptSent bool
	// TokensDelivered is the number of answer tokens sent to the caller. If it is
	// above 0, nothing may be sent to the caller twice.
	TokensDelivered id.Tokens
	// BytesDelivered is set if any byte of the answer's body has been sent to the
	// caller, whether or not it counts as a token.
	BytesDelivered bool
	// Resumable is set if another upstream can continue the answer at an offset.
	Resumable bool
	// Idempotent work may run more than once: generations, and calls of routes
	// that are declared idempotent.
	Idempotent bool
	// Preempted is set if the slot was needed for other work. That is not a
	// failure: the retry costs no budget and does not count as an attempt.
	Preempted bool
	// Quarantined is set if the request's fingerprint is quarantined.
	Quarantined bool
	// Attempts is the number of attempts so far, without preempted ones.
	Attempts int
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Decision is how to proceed after a failed attempt.
type Decision struct {
	Action Action
	// Reason is set for Fail only.
	Reason Reason
	// NotRun is set for Fail, and only if no attempt of the request sent a byte.
	NotRun bool
}

const (
	defaultAttemptLimit = 4
	// minTimeLeft is the least time to the deadline with which a request is retried.
	minTimeLeft = 20 * time.Millisecond
)

// Key identifies a retry budget.
type Key struct {
	Class id.Class
	Pool  id.Pool
}

// Policy decides on failed attempts. Its zero value is ready for use. Set its
// exported fields before the first use. It is not safe for concurrent use.
type Policy struct {
	// RetryRatio is the number of retries allowed for each recent success; 0
	// means 0.2.
	RetryRatio float64
	// Floor is the number of retries allowed without any success, refilled at
	// one a second; 0 means 3.
	Floor float64
	// AttemptLimit limits the attempts of one request; 0 means 4.
	AttemptLimit int

	budgets map[Key]*budget
}

// RecordSuccess credits the budget of k with one success.
func (p *Policy) RecordSuccess(now time.Time, k Key) {
	p.budget(now, k).recordSuccess(now, p.retryRatio())
}

// Decide returns the decision on a failed attempt. A retry is taken from the
// budget of k, unless the attempt was preempted.
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

// decide is Decide without the budget.
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
