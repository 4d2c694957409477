package load

import (
	"time"

	"samphirehead/protocol/answer"
)

// OutcomeFailed is the outcome of a request whose caller was told nothing
// whole: the connection broke, or the answer was none.
const OutcomeFailed answer.Outcome = "failed"

// Told is what a caller learned from sending a request once.
type Attempt struct {
	SentAt, EndedAt time.Time
	// Entry is the address that the request was sent to.
	Entry string
	// Request is the id that the instance gave it; empty if none came back.
	RequestID string
	// Status is 0 when no answer came.
	Status  int
	Outcome answer.Outcome
	// Reason is the error code of an answer that is not completed.
	Reason answer.Reason
	// Version is the manifest version that the answer carried; 0 for none.
	ManifestVersion uint64
	// Unsent says that no connection was made, so that nothing was sent.
	Unsent bool
	// Broken says that the connection ended before the answer did.
	Broken bool
	// GaveUp says that the caller's patience ended first.
	GaveUp bool
	// RetryAfter is when the caller was told to come back.
	RetryAfter time.Duration
	// retry says that the caller may send the request again.
	retryable bool
}

// Record is the whole history of one job.
type Record struct {
	Job  Job
	Sent time.Time
	// Told has one entry for each time that the request was sent.
	Attempts []Attempt
	// Outcome is what the caller believes in the end.
	Outcome answer.Outcome
	// FirstToken is the time from Sent to the first token or the whole
	// answer of a service; 0 when none came.
	FirstToken time.Duration
	// Tokens counts the delivered tokens that were right.
	Tokens int
	// TokenTimes holds when each token came.
	TokenTimes []time.Time
	// Truncated says that an answer was called whole and was not.
	Truncated bool
	// Crossed says that something came that belongs to another answer or
	// place.
	Crossed bool
	Ended   time.Time
}

// Completed reports whether the caller has its whole, right answer.
func (r *Record) Completed() bool {
	return r.Outcome == answer.OutcomeCompleted && !r.Truncated && !r.Crossed
}

// belief is what the caller knows after the last answer. A request that was
// not run the last time may still have run before.
func (r *Record) finalOutcome() answer.Outcome {
	if len(r.Attempts) == 0 {
		return OutcomeFailed
	}
	last := r.Attempts[len(r.Attempts)-1]
	if last.Outcome != answer.OutcomeNotRun {
		return last.Outcome
	}
	for _, a := range r.Attempts {
		if a.Outcome != answer.OutcomeNotRun && !a.Unsent {
			return answer.OutcomeUnknown
		}
	}
	return answer.OutcomeNotRun
}

// MeanGap is the mean time between two tokens; 0 for fewer than two.
func (r *Record) MeanTokenInterval() time.Duration {
	n := len(r.TokenTimes)
	if n < 2 {
		return 0
	}
	return r.TokenTimes[n-1].Sub(r.TokenTimes[0]) / time.Duration(n-1)
}

// Attained reports whether the request was completed within its targets.
func (r *Record) Attained() bool {
	s := r.Job.Stream
	firstTokenInTime := r.FirstToken <= s.FirstToken
	intervalInTime := s.BetweenTokens == 0 || r.MeanTokenInterval() <= s.BetweenTokens
	return r.Completed() && firstTokenInTime && intervalInTime
}
