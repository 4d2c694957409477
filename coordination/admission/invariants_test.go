package admission_test

import (
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/admission"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// model checks the invariants of the queue from its events and effects alone.
type model struct {
	*testQueue
	now     time.Time
	classes map[id.Class]manifest.Class
	waiting map[admission.Ticket]admission.Request
	runs    map[admission.Ticket]admission.Request
	// ended has all requests that were refused, withdrawn or released.
	ended map[admission.Ticket]bool
	// grantsSinceLast counts, for a class with waiters, all grants since its
	// last one.
	grantsSinceLast map[id.Class]int
	// overtakingGrants counts the grants of a class while a higher tier waits,
	// grantsWhileWaiting all grants while the class has waiters.
	overtakingGrants, grantsWhileWaiting map[id.Class]int
	next                                 int
}

func newModel(t *rapid.T) *model {
	m := &model{
		now: start, classes: map[id.Class]manifest.Class{},
		waiting: map[admission.Ticket]admission.Request{}, runs: map[admission.Ticket]admission.Request{},
		ended: map[admission.Ticket]bool{}, grantsSinceLast: map[id.Class]int{},
		overtakingGrants: map[id.Class]int{}, grantsWhileWaiting: map[id.Class]int{},
	}
	shares := []float64{0, 0, 0.1, 0.25}
	var classes []manifest.Class
	for i, name := range []id.Class{"quick", "quote", "note", "dossier"} {
		c := class(name, id.Tier(1+i*3/4), shares[i])
		c.QueueBound = rapid.IntRange(1, 8).Draw(t, "bound")
		classes = append(classes, c)
		m.classes[name] = c
	}
	slots := make([]int, rapid.IntRange(1, 3).Draw(t, "upstreams"))
	for i := range slots {
		slots[i] = rapid.IntRange(1, 4).Draw(t, "slots")
	}
	m.testQueue = newTestQueue(newEngines(slots...), classes...)
	return m
}

func (m *model) apply(t *rapid.T, ev admission.Event) {
	for _, e := range m.step(m.now, ev) {
		switch e := e.(type) {
		case admission.Granted:
			m.grant(t, e)
		case admission.Refused:
			m.refuse(t, e)
		}
	}
	for ticket, r := range m.waiting {
		if m.hasFreeSlot(r) {
			t.Fatalf("%d waits although an upstream has a free slot for it", ticket)
		}
	}
}

func (m *model) waitingCount(c id.Class) int {
	n := 0
	for _, r := range m.waiting {
		if r.Class == c {
			n++
		}
	}
	return n
}

func (m *model) tier(c id.Class) id.Tier { return m.classes[c].Tier }

func (m *model) grant(t *rapid.T, e admission.Granted) {
	r, ok := m.waiting[e.Ticket]
	if !ok {
		t.Fatalf("granted %d, which does not wait", e.Ticket)
	}
	m.checkShares(t, r)
	delete(m.waiting, e.Ticket)
	m.runs[e.Ticket] = r
}

// overtakes reports whether r is granted while a request of a higher tier waits.
func (m *model) overtakes(r admission.Request) bool {
	for _, w := range m.waiting {
		if m.tier(w.Class) < m.tier(r.Class) {
			return true
		}
	}
	return false
}

// checkShares checks the bounds of the minimum share: for how many grants a class
// waits, and how often it may be granted before a higher tier.
func (m *model) checkShares(t *rapid.T, r admission.Request) {
	classesWithShare := 0
	for name, c := range m.classes {
		if c.MinimumShare > 0 {
			classesWithShare++
		}
		if m.waitingCount(name) > 0 {
			m.grantsSinceLast[name]++
			m.grantsWhileWaiting[name]++
		}
	}
	if m.overtakes(r) {
		m.overtakingGrants[r.Class]++
	}
	m.grantsSinceLast[r.Class] = 0
	for name, c := range m.classes {
		if c.MinimumShare == 0 {
			if m.overtakingGrants[name] > 0 {
				t.Fatalf("%s has no minimum share but was granted before a higher tier", name)
			}
			continue
		}
		if bound := int(math.Ceil(1/c.MinimumShare)) + classesWithShare - 1; m.grantsSinceLast[name] > bound {
			t.Fatalf("%s waited for %d grants; the bound is %d", name, m.grantsSinceLast[name], bound)
		}
		if bound := c.MinimumShare*float64(m.grantsWhileWaiting[name]) + 1; float64(m.overtakingGrants[name]) > bound {
			t.Fatalf("%s was granted before a higher tier for %d of %d grants", name, m.overtakingGrants[name], m.grantsWhileWaiting[name])
		}
	}
	if m.waitingCount(r.Class) == 1 {
		delete(m.grantsSinceLast, r.Class)
	}
}

func (m *model) refuse(t *rapid.T, e admission.Refused) {
	r, ok := m.waiting[e.Ticket]
	if !ok {
		t.Fatalf("refused %d, which does not wait", e.Ticket)
	}
	m.end(e.Ticket)
	if e.Reason == admission.Deadline {
		return
	}
	if m.waitingCount(r.Class) == 0 && m.classes[r.Class].MinimumShare > 0 {
		t.Fatalf("refused %d (%s), the only waiter of %s", e.Ticket, e.Reason, r.Class)
	}
	for name, c := range m.classes {
		if c.Tier <= m.tier(r.Class) {
			continue
		}
		if n := m.waitingCount(name); n > 1 || (n == 1 && c.MinimumShare == 0) {
			t.Fatalf("refused %d of %s (%s) while %d of %s wait", e.Ticket, r.Class, e.Reason, n, name)
		}
	}
}

// end removes a waiter and records that it ended.
func (m *model) end(ticket admission.Ticket) {
	c := m.waiting[ticket].Class
	delete(m.waiting, ticket)
	m.ended[ticket] = true
	if m.waitingCount(c) == 0 {
		delete(m.grantsSinceLast, c)
	}
}

func (m *model) arriveNew(t *rapid.T) {
	m.next++
	r := request(m.next, rapid.SampledFrom([]id.Class{"quick", "quote", "note", "dossier"}).Draw(t, "class"),
		rapid.SampledFrom([]id.Workspace{"a", "b", "c"}).Draw(t, "workspace"))
	r.FirstTokenBy = m.now.Add(time.Duration(rapid.IntRange(10, 3000).Draw(t, "target")) * time.Millisecond)
	m.waiting[r.Ticket] = r
	m.apply(t, admission.Arrived{Request: r})
	_, waits := m.waiting[r.Ticket]
	_, runs := m.runs[r.Ticket]
	if !waits && !runs && !m.ended[r.Ticket] {
		t.Fatalf("%d neither waits nor runs, and was not refused", r.Ticket)
	}
}

func (m *model) releaseOne(t *rapid.T) {
	if len(m.runs) == 0 {
		t.Skip("nothing runs")
	}
	ticket := rapid.SampledFrom(slices.Sorted(maps.Keys(m.runs))).Draw(t, "running")
	delete(m.runs, ticket)
	m.ended[ticket] = true
	m.apply(t, released(ticket, id.Tokens(rapid.IntRange(0, 600).Draw(t, "tokens"))))
}

func (m *model) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"arrive": m.arriveNew,
		"burst": func(t *rapid.T) {
			for range 6 {
				m.arriveNew(t)
			}
		},
		"release": m.releaseOne,
		"drain": func(t *rapid.T) {
			for range 6 {
				m.arriveNew(t)
				m.releaseOne(t)
			}
		},
		"withdraw": func(t *rapid.T) {
			if len(m.waiting) == 0 {
				t.Skip("nothing waits")
			}
			ticket := rapid.SampledFrom(slices.Sorted(maps.Keys(m.waiting))).Draw(t, "waiting")
			m.end(ticket)
			m.apply(t, admission.Withdrawn{Ticket: ticket})
		},
		"wait": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			m.apply(t, admission.Ticked{})
		},
		"queued": func(t *rapid.T) {
			queued := m.Queued()
			for name := range m.classes {
				if got, want := queued[name], m.waitingCount(name); got != want {
					t.Fatalf("%d requests of %s wait, want %d", got, name, want)
				}
			}
		},
	}
}

// Tiers are granted in order except for the minimum shares, no request waits while
// a slot is free for it, none is refused while lower tiers wait, and each is granted
// or refused once.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(m.actions())
	})
}

// A request that can never be granted is refused at its arrival, with the reason.
func TestRefusals(t *testing.T) {
	expired := request(1, "quick", "w")
	expired.Deadline = start
	allExcluded := request(1, "quick", "w")
	allExcluded.Excluded = []id.Upstream{"e0"}
	unknown := request(1, "none", "w")
	for name, c := range map[string]struct {
		request admission.Request
		want    admission.Reason
	}{
		"deadline passed": {expired, admission.Deadline},
		"all excluded":    {allExcluded, admission.NoUpstream},
		"unknown class":   {unknown, admission.UnknownClass},
	} {
		q := newTestQueue(newEngines(1), class("quick", 1, 0))
		got := effectsOf[admission.Refused](q.arrive(start, c.request))
		if len(got) != 1 || got[0].Reason != c.want {
			t.Errorf("%s: refused %+v, want %s", name, got, c.want)
		}
		if queued := q.Queued(); len(queued) != 0 {
			t.Errorf("%s: %v wait", name, queued)
		}
	}
}

// After an engine broke, retried requests fill the bound of their class. Another one
// that arrives is refused itself, and none of those that wait in its place.
func TestRequeuedRequestIsNotRefusedForAnother(t *testing.T) {
	c := class("quick", 1, 0)
	c.QueueBound = 2
	q := newTestQueue(newEngines(1), c)
	q.arrive(start, request(0, "quick", "a"))
	var refused []admission.Refused
	for n, w := range []id.Workspace{"a", "a", "b"} {
		r := request(n+1, "quick", w)
		r.Attempt = 1
		refused = append(refused, effectsOf[admission.Refused](q.arrive(start, r))...)
	}
	if len(refused) != 1 || refused[0].Ticket != 3 || refused[0].Reason != admission.QueueFull {
		t.Errorf("refused %+v, want the third for the bound", refused)
	}
}

// Waiters are refused when a manifest removes their class.
func TestWaitersAreRefusedWhenClassIsRemoved(t *testing.T) {
	q := newTestQueue(newEngines(1), class("quick", 1, 0), class("dossier", 2, 0))
	for i := range 3 {
		q.arrive(start, request(i, "dossier", "w"))
	}
	got := effectsOf[admission.Refused](q.step(start, admission.Configured{Classes: []manifest.Class{class("quick", 1, 0)}}))
	if len(got) != 2 {
		t.Errorf("refused %+v, want the two that wait", got)
	}
}
