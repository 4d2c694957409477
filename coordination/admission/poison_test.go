package admission_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

const poison = id.Fingerprint(13)

// crashes plays callers that send a poisonous request again and again beside
// innocent ones, at one entry.
type crashes struct {
	*entry
	now     time.Time
	next    int
	waiting map[admission.Ticket]admission.Request
	granted map[admission.Ticket]admission.Request
	at      map[admission.Ticket]id.Upstream
	// open has the requests without a final answer.
	open  map[id.Request]bool
	count int
	// quarantined has the fingerprints that were refused.
	quarantined map[id.Fingerprint]bool
}

func newCrashes(tracker *suspect.Tracker) *crashes {
	c := &crashes{
		now: start, waiting: map[admission.Ticket]admission.Request{}, granted: map[admission.Ticket]admission.Request{},
		at: map[admission.Ticket]id.Upstream{}, open: map[id.Request]bool{},
		quarantined: map[id.Fingerprint]bool{},
	}
	c.entry = newEntry(newEngines(3, 3, 3, 3), class("quick", 1, 0))
	c.Suspects = tracker
	return c
}

func (c *crashes) take(effects []admission.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case admission.Granted:
			c.granted[e.Ticket] = c.waiting[e.Ticket]
			c.at[e.Ticket] = e.Upstream
			delete(c.waiting, e.Ticket)
		case admission.Refused:
			a := c.waiting[e.Ticket]
			if e.Reason == admission.Quarantined {
				c.quarantined[a.Fingerprint] = true
			}
			delete(c.waiting, e.Ticket)
			delete(c.open, a.Request)
		}
	}
}

func (c *crashes) add(a admission.Request) {
	c.next++
	a.Ticket = admission.Ticket(c.next)
	c.waiting[a.Ticket] = a
	c.take(c.arrive(c.now, a))
}

func (c *crashes) send(f id.Fingerprint) {
	a := request(c.next, "quick", "w")
	a.Request = id.Request(fmt.Sprintf("q%d", c.next))
	a.Fingerprint = f
	a.FirstTokenBy = c.now.Add(time.Hour)
	c.open[a.Request] = true
	c.add(a)
}

// end releases one request; a poisonous one crashes its upstream, and all
// that ran there comes back.
func (c *crashes) end(t *rapid.T, name admission.Ticket) {
	a := c.granted[name]
	if a.Fingerprint != poison {
		delete(c.granted, name)
		delete(c.open, a.Request)
		c.take(c.step(c.now, released(name, 10)))
		return
	}
	c.count++
	var lost []admission.Ticket
	for _, r := range slices.Sorted(maps.Keys(c.granted)) {
		if c.at[r] == c.at[name] {
			lost = append(lost, r)
		}
	}
	for _, r := range rapid.Permutation(lost).Draw(t, "lost") {
		again := c.granted[r]
		delete(c.granted, r)
		c.take(c.step(c.now, admission.Released{Ticket: r, Outcome: admission.Crashed}))
		again.Attempt++
		again.Excluded = []id.Upstream{c.at[r]}
		c.add(again)
	}
}

func (c *crashes) tick() { c.take(c.step(c.now, admission.Ticked{})) }

func (c *crashes) play(t *rapid.T) {
	innocents := id.Fingerprint(100)
	for range 120 {
		c.now = c.now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
		c.tick()
		switch rapid.IntRange(0, 3).Draw(t, "do") {
		case 0:
			c.send(poison)
		case 1:
			innocents++
			c.send(innocents)
		default:
			if len(c.granted) > 0 {
				c.end(t, rapid.SampledFrom(slices.Sorted(maps.Keys(c.granted))).Draw(t, "ends"))
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
		c.tick()
		if names := slices.Sorted(maps.Keys(c.granted)); len(names) > 0 {
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
		if c.count > suspect.DefaultCrashLimit {
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
	if worst <= suspect.DefaultCrashLimit {
		t.Fatalf("at most %d crashes without protection", worst)
	}
}
