package retry_test

import (
	"testing"
	"time"

	"samphirehead/coordination/retry"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func evidence(change func(*retry.FailedAttempt)) retry.FailedAttempt {
	e := retry.FailedAttempt{Idempotent: true, Resumable: true, Attempts: 1, Deadline: now.Add(time.Minute)}
	change(&e)
	return e
}

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		change func(*retry.FailedAttempt)
		want   retry.Decision
	}{
		"a generation before its first byte": {
			func(*retry.FailedAttempt) {}, retry.Decision{Action: retry.Restart}},
		"an answer in progress": {
			func(e *retry.FailedAttempt) { e.TokensDelivered = 9; e.BytesDelivered = true },
			retry.Decision{Action: retry.Resume}},
		"an answer in progress that nothing resumes": {
			func(e *retry.FailedAttempt) { e.TokensDelivered = 9; e.BytesDelivered = true; e.Resumable = false },
			retry.Decision{Action: retry.Fail, Reason: retry.NotResumable}},
		"bytes without a token": {
			func(e *retry.FailedAttempt) { e.BytesDelivered = true },
			retry.Decision{Action: retry.Fail, Reason: retry.NotResumable}},
		"a booking of which nothing was sent": {
			func(e *retry.FailedAttempt) { e.Idempotent = false; e.NothingSent = true },
			retry.Decision{Action: retry.Restart}},
		"a booking that was sent": {
			func(e *retry.FailedAttempt) { e.Idempotent = false },
			retry.Decision{Action: retry.Fail, Reason: retry.NotRepeatable}},
		"nothing sent and no attempt left": {
			func(e *retry.FailedAttempt) { e.NothingSent = true; e.Attempts = 4 },
			retry.Decision{Action: retry.Fail, Reason: retry.TooManyAttempts, NotRun: true}},
		"nothing sent now but earlier": {
			func(e *retry.FailedAttempt) { e.NothingSent = true; e.EarlierAttemptSent = true; e.Attempts = 4 },
			retry.Decision{Action: retry.Fail, Reason: retry.TooManyAttempts}},
		"too late": {
			func(e *retry.FailedAttempt) { e.Deadline = now },
			retry.Decision{Action: retry.Fail, Reason: retry.TooLate}},
		"quarantined": {
			func(e *retry.FailedAttempt) { e.Quarantined = true },
			retry.Decision{Action: retry.Fail, Reason: retry.Quarantined}},
		"preempted many times": {
			func(e *retry.FailedAttempt) { e.Preempted = true; e.TokensDelivered = 5; e.Attempts = 9 },
			retry.Decision{Action: retry.Resume}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&retry.Policy{}).Decide(now, retry.Key{Class: "quick"}, evidence(tt.change))
			if got != tt.want {
				t.Errorf("got %+v, want %+v", got, tt.want)
			}
		})
	}
}

func TestBudget(t *testing.T) {
	p := &retry.Policy{}
	k := retry.Key{Class: "quick", Pool: "model:m"}
	retries := func(now time.Time, k retry.Key, preempted bool) int {
		n := 0
		for range 1000 {
			e := evidence(func(e *retry.FailedAttempt) { e.Preempted = preempted; e.Deadline = now.Add(time.Minute) })
			if p.Decide(now, k, e).Action == retry.Restart {
				n++
			}
		}
		return n
	}
	if n := retries(now, k, false); n != 3 {
		t.Errorf("%d retries without a success, want the floor of 3", n)
	}
	for range 100 {
		p.RecordSuccess(now, k)
	}
	if n := retries(now, k, false); n < 19 || n > 20 {
		t.Errorf("%d retries after 100 successes, want a fifth", n)
	}
	if n := retries(now, k, true); n != 1000 {
		t.Errorf("%d of 1000 preemptions were free", n)
	}
	if n := retries(now, retry.Key{Class: "dossier", Pool: "model:m"}, false); n != 3 {
		t.Errorf("%d retries of another class, want its own floor of 3", n)
	}
	if n := retries(now.Add(time.Hour), k, false); n != 3 {
		t.Errorf("%d retries an hour later, want the floor of 3", n)
	}
}
