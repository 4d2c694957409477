package queue_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/queue"
	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const poison = id.Fingerprint(13)

// crashes plays callers that send a poisonous request again and again beside
// innocent ones, at one home.
type crashes struct {
	q       queue.Queue
	now     time.Time
	next    int
	waiting map[id.Reservation]queue.Arrived
	running map[id.Reservation]queue.Arrived
	at      map[id.Reservation]id.Upstream
	// open has the requests without a final answer.
	open  map[id.Request]bool
	count int
	// quarantined has the fingerprints that were refused.
	quarantined map[id.Fingerprint]bool
}

func newCrashes(tracker *suspect.Tracker) *crashes {
	c := &crashes{
		now: start, waiting: map[id.Reservation]queue.Arrived{}, running: map[id.Reservation]queue.Arrived{},
		at: map[id.Reservation]id.Upstream{}, open: map[id.Request]bool{},
		quarantined: map[id.Fingerprint]bool{},
	}
	c.q.Suspects = tracker
	c.q.Step(c.now, configured([]manifest.Class{class("quick", 1, 0)},
		engine("e0", 3), engine("e1", 3), engine("e2", 3), engine("e3", 3)))
	return c
}

func (c *crashes) take(effects []queue.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Granted:
			c.running[e.Reservation] = c.waiting[e.Reservation]
			c.at[e.Reservation] = e.Upstream
			delete(c.waiting, e.Reservation)
		case queue.Refused:
			a := c.waiting[e.Reservation]
			if e.Reason == queue.RefusedQuarantined {
				c.quarantined[a.Fingerprint] = true
			}
			delete(c.waiting, e.Reservation)
			delete(c.open, a.Request)
		}
	}
}

func (c *crashes) arrive(a queue.Arrived) {
	c.next++
	a.Reservation = id.Reservation(fmt.Sprintf("r%d", c.next))
	c.waiting[a.Reservation] = a
	c.take(c.q.Step(c.now, a))
}

func (c *crashes) send(f id.Fingerprint) {
	a := request(c.next, "quick", "w")
	a.Request = id.Request(fmt.Sprintf("q%d", c.next))
	a.Fingerprint = f
	a.FirstTokenBy = c.now.Add(time.Hour)
	c.open[a.Request] = true
	c.arrive(a)
}

// end releases one reservation; a poisonous one crashes its upstream, and all
// that ran there comes back.
func (c *crashes) end(t *rapid.T, name id.Reservation) {
	a := c.running[name]
	if a.Fingerprint != poison {
		delete(c.running, name)
		delete(c.open, a.Request)
		c.take(c.q.Step(c.now, released(name, 10)))
		return
	}
	c.count++
	var lost []id.Reservation
	for _, r := range slices.Sorted(maps.Keys(c.running)) {
		if c.at[r] == c.at[name] {
			lost = append(lost, r)
		}
	}
	for _, r := range rapid.Permutation(lost).Draw(t, "lost") {
		again := c.running[r]
		delete(c.running, r)
		c.take(c.q.Step(c.now, queue.Released{Reservation: r, Outcome: queue.Crashed}))
		again.Attempt++
		again.Excluded = []id.Upstream{c.at[r]}
		c.arrive(again)
	}
}

func (c *crashes) renew() {
	for _, r := range slices.Sorted(maps.Keys(c.running)) {
		c.take(c.q.Step(c.now, queue.Progressed{Reservation: r}))
	}
	c.take(c.q.Step(c.now, queue.Ticked{}))
}

func (c *crashes) play(t *rapid.T) {
	innocents := id.Fingerprint(100)
	for range 120 {
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
		c.renew()
		switch rapid.IntRange(0, 3).Draw(t, "do") {
		case 0:
			c.send(poison)
		case 1:
			innocents++
			c.send(innocents)
		default:
			if len(c.running) > 0 {
				c.end(t, rapid.SampledFrom(slices.Sorted(maps.Keys(c.running))).Draw(t, "ends"))
			}
		}
	}
}

// finish lets all that is left run to its end.
func (c *crashes) finish(t *rapid.T) {
	for range 2000 {
		if len(c.open) == 0 {
			return
		}
		c.now = c.now.Add(200 * time.Millisecond)
		c.renew()
		if names := slices.Sorted(maps.Keys(c.running)); len(names) > 0 {
			c.end(t, names[0])
		}
	}
	t.Fatalf("no answer to %v", slices.Sorted(maps.Keys(c.open)))
}

func TestPoisonCrashesTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCrashes(&suspect.Tracker{})
		c.play(t)
		c.finish(t)
		if c.count > suspect.CrashLimit {
			t.Fatalf("%d crashes", c.count)
		}
		delete(c.quarantined, poison)
		if len(c.quarantined) > 0 {
			t.Fatalf("innocents quarantined: %v", c.quarantined)
		}
	})
}

// Without the tracker the same play crashes more upstreams, so that the test
// above can fail.
func TestPoisonWithoutTracker(t *testing.T) {
	worst := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCrashes(nil)
		c.play(t)
		worst = max(worst, c.count)
	})
	if worst <= suspect.CrashLimit {
		t.Fatalf("at most %d crashes without protection", worst)
	}
}
