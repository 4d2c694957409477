package atmostonce_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/coordination/claim"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/internal/memstore"
	"samphirehead/state/record"
)

// service answers after a delay and counts how often it has run.
type service struct {
	runs  atomic.Int32
	delay time.Duration
}

func (s *service) send(context.Context, *claim.Permit) claim.Evidence {
	s.runs.Add(1)
	time.Sleep(s.delay)
	return claim.Answered{Answer: claim.Answer{Status: 201, Body: []byte("slot 7")}}
}

func callOf(s *service, deadline time.Duration) atmostonce.Call {
	return atmostonce.Call{Key: "claims/k", Digest: "d", Deadline: time.Now().Add(deadline), Send: s.send}
}

func outcomeName(o claim.Outcome) string {
	switch o := o.(type) {
	case claim.Completed:
		return "completed"
	case claim.NotRun:
		return "not_run " + string(o.Reason())
	}
	return "unknown"
}

func TestOneCallUnderFaults(t *testing.T) {
	cases := []struct {
		name        string
		inject      func(*memstore.Table)
		evidence    claim.Evidence
		want        string
		maxDuration time.Duration
		repeated    string
	}{
		{"no faults", nil, nil, "completed", 0, "completed"},
		{"store down", func(m *memstore.Table) { m.SetFaults(memstore.Faults{Down: true}) }, nil, "not_run store_unavailable", 0, "completed"},
		{"store hangs", func(m *memstore.Table) { m.SetFaults(memstore.Faults{Hung: true}) }, nil, "not_run store_unavailable", time.Second, "completed"},
		{"answer to the claim lost", func(m *memstore.Table) { m.SetFaults(memstore.Faults{LoseWriteResponses: 1}) }, nil, "completed", 0, "completed"},
		{"answers to the claim and the sent mark lost", func(m *memstore.Table) { m.SetFaults(memstore.Faults{LoseWriteResponses: 2}) }, nil, "completed", 0, "completed"},
		{"nothing sent", nil, claim.NothingSent{}, "not_run upstream_unavailable", 0, "completed"},
		{"answer of the upstream lost", nil, claim.MayHaveSent{}, "unknown", 0, "unknown"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, s := &memstore.Table{}, &service{}
				if tc.inject != nil {
					tc.inject(m)
				}
				calls := &atmostonce.Calls{Table: m}
				call := callOf(s, 10*time.Second)
				if tc.evidence != nil {
					call.Send = func(context.Context, *claim.Permit) claim.Evidence { return tc.evidence }
				}
				start := time.Now()
				if got := outcomeName(calls.Do(t.Context(), call)); got != tc.want {
					t.Fatalf("got %s, want %s", got, tc.want)
				}
				if took := time.Since(start); took > tc.maxDuration {
					t.Errorf("took %v of fake time, want at most %v", took, tc.maxDuration)
				}
				m.SetFaults(memstore.Faults{})
				if got := outcomeName(calls.Do(t.Context(), callOf(s, 10*time.Second))); got != tc.repeated {
					t.Errorf("repeat: got %s, want %s", got, tc.repeated)
				}
				if err := calls.Wait(t.Context()); err != nil {
					t.Error(err)
				}
			})
		})
	}
}

func TestDuplicatesOnFourInstancesRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s := &memstore.Table{}, &service{delay: 300 * time.Millisecond}
		outcomes := make(chan claim.Outcome)
		for range 4 {
			calls := &atmostonce.Calls{Table: m}
			go func() { outcomes <- calls.Do(t.Context(), callOf(s, 10*time.Second)) }()
		}
		replayed := 0
		for range 4 {
			o, ok := (<-outcomes).(claim.Completed)
			if !ok || string(o.Answer.Body) != "slot 7" {
				t.Fatalf("got %+v", o)
			}
			if o.Replayed {
				replayed++
			}
		}
		if s.runs.Load() != 1 || replayed != 3 {
			t.Fatalf("%d runs, %d replays", s.runs.Load(), replayed)
		}
	})
}

func TestLateAnswerIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s := &memstore.Table{}, &service{delay: 5 * time.Second}
		calls := &atmostonce.Calls{Table: m}
		start := time.Now()
		if got := outcomeName(calls.Do(t.Context(), callOf(s, time.Second))); got != "unknown" || time.Since(start) != time.Second {
			t.Fatalf("got %s after %v", got, time.Since(start))
		}
		time.Sleep(10 * time.Second)
		found, err := calls.Find(t.Context(), "claims/k")
		known, ok := found.(claim.Known)
		if err != nil || !ok || outcomeName(known.Outcome) != "completed" {
			t.Fatalf("found %+v, %v", found, err)
		}
	})
}

func TestOutcomeIsRecordedAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s := &memstore.Table{}, &service{}
		calls := &atmostonce.Calls{Table: m}
		call := callOf(s, 10*time.Second)
		call.Send = func(ctx context.Context, p *claim.Permit) claim.Evidence {
			m.SetFaults(memstore.Faults{Down: true})
			return s.send(ctx, p)
		}
		ctx, cancelCaller := context.WithCancel(t.Context())
		if got := outcomeName(calls.Do(ctx, call)); got != "completed" {
			t.Fatalf("got %s", got)
		}
		cancelCaller()
		time.Sleep(time.Minute)
		m.SetFaults(memstore.Faults{})
		if err := calls.Wait(t.Context()); err != nil {
			t.Fatal(err)
		}
		o, ok := calls.Do(t.Context(), callOf(s, 10*time.Second)).(claim.Completed)
		if !ok || !o.Replayed || s.runs.Load() != 1 {
			t.Fatalf("got %+v after %d runs", o, s.runs.Load())
		}
	})
}

// TestStopAbortsPendingRecordWrites checks that Stop ends the retries of a record
// that the platform does not accept, and leaves no goroutine behind.
func TestStopAbortsPendingRecordWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s := &memstore.Table{}, &service{}
		calls := &atmostonce.Calls{Table: m}
		call := callOf(s, 10*time.Second)
		call.Send = func(ctx context.Context, p *claim.Permit) claim.Evidence {
			m.SetFaults(memstore.Faults{Down: true})
			return s.send(ctx, p)
		}
		calls.Do(t.Context(), call)
		start := time.Now()
		calls.Stop()
		if took := time.Since(start); took > time.Second {
			t.Errorf("Stop took %v", took)
		}
		// synctest.Test fails if a goroutine is left.
	})
}

func TestCallerDisconnectDoesNotCancelCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s := &memstore.Table{}, &service{delay: time.Second}
		calls := &atmostonce.Calls{Table: m}
		ctx, cancelCaller := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancelCaller()
		calls.Do(ctx, callOf(s, 10*time.Second))
		if got := outcomeName(calls.Do(t.Context(), callOf(s, 10*time.Second))); got != "completed" || s.runs.Load() != 1 {
			t.Fatalf("got %s after %d runs", got, s.runs.Load())
		}
	})
}

func TestExpiryDeletesOnlyExpiredClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, s := &memstore.Table{}, &service{}
		calls := &atmostonce.Calls{Table: m}
		calls.Do(t.Context(), callOf(s, time.Second))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			atmostonce.Expire(ctx, m)
		}()
		time.Sleep(claim.Retention - time.Hour)
		if rows, _ := m.Read(t.Context(), []record.Key{"claims/k"}); len(rows) != 1 {
			t.Error("a claim was deleted before its retention had passed")
		}
		time.Sleep(2 * time.Hour)
		if rows, _ := m.Read(t.Context(), []record.Key{"claims/k"}); len(rows) != 0 {
			t.Error("a claim was not deleted after its retention had passed")
		}
		cancel()
		<-ended
	})
}
