package drain_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/drain"
)

// The phases must follow in order, repeated requests must have no effect, and
// Done must wait for a count of requests taken after Refusing began.
func TestPhasesInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	m := &drain.Machine{}
	for _, c := range []struct {
		after time.Duration
		event drain.Event
		want  drain.Phase
	}{
		{0, drain.Ticked{}, drain.Serving},
		{0, drain.InFlight{}, drain.Serving},
		{0, drain.Requested{}, drain.Announced},
		{2 * time.Second, drain.InFlight{}, drain.Announced},
		{2400 * time.Millisecond, drain.Requested{}, drain.Announced},
		{2500 * time.Millisecond, drain.InFlight{}, drain.Refusing},
		{2501 * time.Millisecond, drain.Ticked{}, drain.Refusing},
		{2600 * time.Millisecond, drain.InFlight{Requests: 1}, drain.Refusing},
		{time.Hour, drain.InFlight{Requests: 1}, drain.Refusing},
		{time.Hour, drain.Requested{}, drain.Refusing},
		{time.Hour, drain.InFlight{}, drain.Done},
		{time.Hour, drain.InFlight{Requests: 1}, drain.Done},
	} {
		m.Step(start.Add(c.after), c.event)
		if m.Phase() != c.want {
			t.Fatalf("after %s and %T: %s, want %s", c.after, c.event, m.Phase(), c.want)
		}
	}
}

// The platform ends the process after the grace period. The instance must be
// Done by then even if requests are in progress, but must not reject requests
// before the callers' cached answers have expired.
func TestGraceEndsDrain(t *testing.T) {
	start := time.Unix(1000, 0)
	m := &drain.Machine{EntryLifetime: 2 * time.Second, Margin: time.Second, Grace: 7 * time.Second}
	if got := m.RemainingGrace(start); got != 7*time.Second || m.Started() {
		t.Errorf("before the drain %s of the grace period remain", got)
	}
	for _, c := range []struct {
		after time.Duration
		event drain.Event
		want  drain.Phase
	}{
		{0, drain.Requested{}, drain.Announced},
		{2900 * time.Millisecond, drain.InFlight{}, drain.Announced},
		{3 * time.Second, drain.InFlight{Requests: 1}, drain.Refusing},
		{6900 * time.Millisecond, drain.InFlight{Requests: 1}, drain.Refusing},
		{7 * time.Second, drain.InFlight{Requests: 1}, drain.Done},
	} {
		m.Step(start.Add(c.after), c.event)
		if m.Phase() != c.want {
			t.Fatalf("after %s: %s, want %s", c.after, m.Phase(), c.want)
		}
		if got := m.RemainingGrace(start.Add(c.after)); got != 7*time.Second-c.after {
			t.Errorf("after %s: %s of the grace period remain", c.after, got)
		}
	}
}

// After each random event, no request may be interrupted, no new request may be
// accepted 3 s after the drain was requested, and the phase may not go back.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	order := map[drain.Phase]int{drain.Serving: 0, drain.Announced: 1, drain.Refusing: 2, drain.Done: 3}
	rapid.Check(t, func(t *rapid.T) {
		m := &drain.Machine{}
		now := time.Unix(1000, 0)
		var drainStart time.Time
		last, requests := drain.Serving, 0
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if m.Accepting() {
				requests += rapid.IntRange(0, 2).Draw(t, "arrived")
			}
			requests -= rapid.IntRange(0, requests).Draw(t, "ended")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.Step(now, drain.Requested{})
				if drainStart.IsZero() {
					drainStart = now
				}
			case 1:
				m.Step(now, drain.Ticked{})
			default:
				m.Step(now, drain.InFlight{Requests: requests})
			}
			if m.Done() && requests > 0 {
				t.Fatalf("done with %d requests in progress", requests)
			}
			if !drainStart.IsZero() && m.Advertised() {
				t.Fatal("advertised after the drain was requested")
			}
			m.Step(now, drain.Ticked{})
			if !drainStart.IsZero() && m.Accepting() && now.Sub(drainStart) >= 3*time.Second {
				t.Fatalf("accepts requests %s after the drain was requested", now.Sub(drainStart))
			}
			if order[m.Phase()] < order[last] {
				t.Fatalf("phase went back from %s to %s", last, m.Phase())
			}
			last = m.Phase()
		}
	})
}
