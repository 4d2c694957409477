package retry_test

import (
	"testing"
	"time"

	"samphirehead/coordination/retry"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func failedAttempt(modify func(*retry.FailedAttempt)) retry.FailedAttempt {
	attempt := retry.FailedAttempt{Idempotent: true, Resumable: true, Attempts: 1, Deadline: now.Add(time.Minute)}
	modify(&attempt)
	return attempt
}

func TestDecide(t *testing.T) {
	tests := map[string]struct {
		modify func(*retry.FailedAttempt)
		want   retry.Decision
	}{
		"a generation before its first byte": {
			func(*retry.FailedAttempt) {}, retry.Decision{Action: retry.Restart}},
		"an answer in progress": {
			func(a *retry.FailedAttempt) { a.TokensDelivered = 9; a.BytesDelivered = true },
			retry.Decision{Action: retry.Resume}},
		"an answer in progress that can't be resumed": {
			func(a *retry.FailedAttempt) { a.TokensDelivered = 9; a.BytesDelivered = true; a.Resumable = false },
			retry.Decision{Action: retry.Fail, Reason: retry.NotResumable}},
		"bytes delivered without a token": {
			func(a *retry.FailedAttempt) { a.BytesDelivered = true },
			retry.Decision{Action: retry.Fail, Reason: retry.NotResumable}},
		"a call that isn't idempotent and was not sent": {
			func(a *retry.FailedAttempt) { a.Idempotent = false; a.NothingSent = true },
			retry.Decision{Action: retry.Restart}},
		"a call that isn't idempotent and was sent": {
			func(a *retry.FailedAttempt) { a.Idempotent = false },
			retry.Decision{Action: retry.Fail, Reason: retry.NotRepeatable}},
		"nothing sent and no attempt left": {
			func(a *retry.FailedAttempt) { a.NothingSent = true; a.Attempts = 4 },
			retry.Decision{Action: retry.Fail, Reason: retry.TooManyAttempts, NotRun: true}},
		"nothing sent in this attempt but in an earlier one": {
			func(a *retry.FailedAttempt) { a.NothingSent = true; a.EarlierAttemptSent = true; a.Attempts = 4 },
			retry.Decision{Action: retry.Fail, Reason: retry.TooManyAttempts}},
		"deadline reached": {
			func(a *retry.FailedAttempt) { a.Deadline = now },
			retry.Decision{Action: retry.Fail, Reason: retry.TooLate}},
		"quarantined": {
			func(a *retry.FailedAttempt) { a.Quarantined = true },
			retry.Decision{Action: retry.Fail, Reason: retry.Quarantined}},
		"preempted many times": {
			func(a *retry.FailedAttempt) { a.Preempted = true; a.TokensDelivered = 5; a.Attempts = 9 },
			retry.Decision{Action: retry.Resume}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := (&retry.Policy{}).Decide(now, retry.Key{Class: "quick"}, failedAttempt(tt.modify))
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
			attempt := failedAttempt(func(attempt *retry.FailedAttempt) {
				attempt.Preempted = preempted
				attempt.Deadline = now.Add(time.Minute)
			})
			if p.Decide(now, k, attempt).Action == retry.Restart {
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
		t.Errorf("%d retries after 100 successes, want a fifth, 19 or 20", n)
	}
	if n := retries(now, k, true); n != 1000 {
		t.Errorf("%d of 1000 preempted attempts were retried, want all", n)
	}
	if n := retries(now, retry.Key{Class: "dossier", Pool: "model:m"}, false); n != 3 {
		t.Errorf("%d retries of another class, want its floor of 3", n)
	}
	if n := retries(now.Add(time.Hour), k, false); n != 3 {
		t.Errorf("%d retries an hour later, want the floor of 3", n)
	}
}
