package leave_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/leave"
)

// TestPhases walks through a shutdown and checks each answer on the way.
func TestPhasesInOrder(t *testing.T) {
	start := time.Unix(1000, 0)
	m := &leave.Machine{}
	for _, c := range []struct {
		after time.Duration
		event leave.Event
		want  leave.Phase
	}{
		{0, leave.Ticked{}, leave.Serving},
		{0, leave.InFlight{}, leave.Serving},
		{0, leave.DrainRequested{}, leave.Announced},
		{2 * time.Second, leave.InFlight{}, leave.Announced},
		{2400 * time.Millisecond, leave.DrainRequested{}, leave.Announced},
		{2500 * time.Millisecond, leave.InFlight{}, leave.Refusing},
		{2501 * time.Millisecond, leave.Ticked{}, leave.Refusing},
		{2600 * time.Millisecond, leave.InFlight{Requests: 1}, leave.Refusing},
		{time.Hour, leave.InFlight{Requests: 1}, leave.Refusing},
		{time.Hour, leave.DrainRequested{}, leave.Refusing},
		{time.Hour, leave.InFlight{}, leave.Done},
		{time.Hour, leave.InFlight{Requests: 1}, leave.Done},
	} {
		m.Step(start.Add(c.after), c.event)
		if m.Phase() != c.want {
			t.Fatalf("after %s and %T: %s, want %s", c.after, c.event, m.Phase(), c.want)
		}
	}
}

// An instance whose platform ends it after a while is done before, with what it
// has in progress, and not before its callers can have gone.
func TestGraceEndsDrain(t *testing.T) {
	start := time.Unix(1000, 0)
	m := &leave.Machine{EntryLifetime: 2 * time.Second, Margin: time.Second, Grace: 7 * time.Second}
	if got := m.RemainingGrace(start); got != 7*time.Second || m.Started() {
		t.Errorf("before the shutdown %s are left", got)
	}
	for _, c := range []struct {
		after time.Duration
		event leave.Event
		want  leave.Phase
	}{
		{0, leave.DrainRequested{}, leave.Announced},
		{2900 * time.Millisecond, leave.InFlight{}, leave.Announced},
		{3 * time.Second, leave.InFlight{Requests: 1}, leave.Refusing},
		{6900 * time.Millisecond, leave.InFlight{Requests: 1}, leave.Refusing},
		{7 * time.Second, leave.InFlight{Requests: 1}, leave.Done},
	} {
		m.Step(start.Add(c.after), c.event)
		if m.Phase() != c.want {
			t.Fatalf("after %s: %s, want %s", c.after, m.Phase(), c.want)
		}
		if got := m.RemainingGrace(start.Add(c.after)); got != 7*time.Second-c.after {
			t.Errorf("after %s: %s left", c.after, got)
		}
	}
}

// TestPromises checks after each of many random events that no request is
// cut, no new work is taken after 3 s, and no phase is undone.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	order := map[leave.Phase]int{leave.Serving: 0, leave.Announced: 1, leave.Refusing: 2, leave.Done: 3}
	rapid.Check(t, func(t *rapid.T) {
		m := &leave.Machine{}
		now := time.Unix(1000, 0)
		var drainStart time.Time
		last, requests := leave.Serving, 0
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if m.Accepting() {
				requests += rapid.IntRange(0, 2).Draw(t, "arrived")
			}
			requests -= rapid.IntRange(0, requests).Draw(t, "ended")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				m.Step(now, leave.DrainRequested{})
				if drainStart.IsZero() {
					drainStart = now
				}
			case 1:
				m.Step(now, leave.Ticked{})
			default:
				m.Step(now, leave.InFlight{Requests: requests})
			}
			if m.Done() && requests > 0 {
				t.Fatalf("done with %d requests in progress", requests)
			}
			if !drainStart.IsZero() && m.Advertised() {
				t.Fatal("named after it was asked to leave")
			}
			m.Step(now, leave.Ticked{})
			if !drainStart.IsZero() && m.Accepting() && now.Sub(drainStart) >= 3*time.Second {
				t.Fatalf("accepts %s after it was asked", now.Sub(drainStart))
			}
			if order[m.Phase()] < order[last] {
				t.Fatalf("from %s back to %s", last, m.Phase())
			}
			last = m.Phase()
		}
	})
}
