package queue_test

import (
	"fmt"
	"math"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// model checks the queue's promises from its events and effects alone.
type model struct {
	q       queue.Queue
	now     time.Time
	classes map[id.Class]manifest.Class
	slots   map[id.Upstream]int
	// resumes says which upstreams resume.
	resumes map[id.Upstream]bool
	waiting map[id.Reservation]queue.Arrived
	running map[id.Reservation]use
	// ended has all reservations that were refused, withdrawn or released.
	ended map[id.Reservation]bool
	// passed counts the pool's grants since a class with waiters last had one.
	passed map[id.Class]int
	// early counts a class's grants ahead of a higher tier, beside the
	// pool's grants since it began to wait.
	early, during map[id.Class]int
	// back has the preempted work that has not come back yet.
	back []queue.Arrived
	next int
}

type use struct {
	queue.Arrived
	upstream   id.Upstream
	preempting bool
	askedAt    time.Time
	// kept is set when a higher tier waited at its grant.
	kept bool
	// early is set when it went ahead of a higher tier.
	early  bool
	tokens id.Tokens
}

func newModel(t *rapid.T) *model {
	m := &model{
		q:   queue.Queue{WithoutSlowing: true},
		now: start, classes: map[id.Class]manifest.Class{}, slots: map[id.Upstream]int{},
		resumes: map[id.Upstream]bool{}, waiting: map[id.Reservation]queue.Arrived{},
		running: map[id.Reservation]use{}, ended: map[id.Reservation]bool{},
		passed: map[id.Class]int{}, early: map[id.Class]int{}, during: map[id.Class]int{},
	}
	shares := []float64{0, 0, 0.1, 0.25}
	var classes []manifest.Class
	for i, name := range []id.Class{"quick", "quote", "note", "dossier"} {
		c := class(name, id.Tier(1+i*3/4), shares[i])
		c.QueueBound = rapid.IntRange(1, 8).Draw(t, "bound")
		classes = append(classes, c)
		m.classes[name] = c
	}
	var upstreams []queue.Upstream
	for i := range rapid.IntRange(1, 3).Draw(t, "upstreams") {
		u := engine(id.Upstream(fmt.Sprintf("e%d", i)), rapid.IntRange(1, 4).Draw(t, "slots"))
		u.Resumes = rapid.Bool().Draw(t, "resumes")
		upstreams = append(upstreams, u)
		m.slots[u.Name] = u.Capacity.Slots
		m.resumes[u.Name] = u.Resumes
	}
	m.step(t, configured(classes, upstreams...))
	return m
}

func (m *model) step(t *rapid.T, ev queue.Event) {
	effects := m.q.Step(m.now, ev)
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Granted:
			m.grant(t, e)
		case queue.Refused:
			m.refuse(t, e)
		case queue.Preempted:
			m.preempt(t, e)
		case queue.Expired:
			t.Fatalf("expired %s although all leases are renewed", e.Reservation)
		}
	}
	m.checkWorkConserved(t)
}

func (m *model) tier(c id.Class) id.Tier { return m.classes[c].Tier }

func (m *model) waits(c id.Class) int {
	n := 0
	for _, a := range m.waiting {
		if a.Class == c {
			n++
		}
	}
	return n
}

func (m *model) placeable(a queue.Arrived) bool {
	for u, slots := range m.slots {
		if m.inUse(u) < slots && (a.ResumeOffset == 0 || m.resumes[u]) {
			return true
		}
	}
	return false
}

func (m *model) inUse(u id.Upstream) int {
	n := 0
	for _, r := range m.running {
		if r.upstream == u {
			n++
		}
	}
	return n
}

func (m *model) grant(t *rapid.T, e queue.Granted) {
	a, ok := m.waiting[e.Reservation]
	if !ok {
		t.Fatalf("granted %s, which does not wait", e.Reservation)
	}
	early := m.jumped(a, e.Upstream)
	m.checkShares(t, a, early)
	kept := m.higherWaits(a)
	delete(m.waiting, e.Reservation)
	m.running[e.Reservation] = use{Arrived: a, upstream: e.Upstream, kept: kept, early: early, tokens: a.ResumeOffset}
	if m.inUse(e.Upstream) > m.slots[e.Upstream] {
		t.Fatalf("%s is over its slots", e.Upstream)
	}
	if a.ResumeOffset > 0 && !m.resumes[e.Upstream] {
		t.Fatalf("%s can't resume %s", e.Upstream, e.Reservation)
	}
}

// jumped reports whether a goes before waiting work of a higher tier that could
// use the slot.
func (m *model) jumped(a queue.Arrived, u id.Upstream) bool {
	for _, w := range m.waiting {
		if m.tier(w.Class) < m.tier(a.Class) && (w.ResumeOffset == 0 || m.resumes[u]) {
			return true
		}
	}
	return false
}

func (m *model) higherWaits(a queue.Arrived) bool {
	for _, w := range m.waiting {
		if m.tier(w.Class) < m.tier(a.Class) {
			return true
		}
	}
	return false
}

// checkShares checks the bounds of the minimum share: how long a class waits,
// and how much it may take from higher tiers.
func (m *model) checkShares(t *rapid.T, a queue.Arrived, jumped bool) {
	withShare := 0
	for name, c := range m.classes {
		if c.MinimumShare > 0 {
			withShare++
		}
		if m.waits(name) > 0 {
			m.passed[name]++
			m.during[name]++
		}
	}
	if jumped {
		m.early[a.Class]++
	}
	m.passed[a.Class] = 0
	for name, c := range m.classes {
		if c.MinimumShare == 0 {
			if m.early[name] > 0 {
				t.Fatalf("%s has no minimum share but went before a higher tier", name)
			}
			continue
		}
		bound := int(math.Ceil(1/c.MinimumShare)) + withShare - 1
		if m.passed[name] > bound && !m.blockedByResume(name) {
			t.Fatalf("%s waited for %d grants; the bound is %d", name, m.passed[name], bound)
		}
		if most := c.MinimumShare*float64(m.during[name]) + 1; float64(m.early[name]) > most {
			t.Fatalf("%s went early %d times of %d", name, m.early[name], m.during[name])
		}
	}
	if m.waits(a.Class) == 1 {
		delete(m.passed, a.Class)
	}
}

// blockedByResume reports whether a class has resumed work only, which may
// have to wait for an upstream that resumes.
func (m *model) blockedByResume(c id.Class) bool {
	for _, a := range m.waiting {
		if a.Class == c && a.ResumeOffset > 0 {
			return true
		}
	}
	return false
}

func (m *model) refuse(t *rapid.T, e queue.Refused) {
	a, ok := m.waiting[e.Reservation]
	if !ok {
		t.Fatalf("refused %s, which does not wait", e.Reservation)
	}
	delete(m.waiting, e.Reservation)
	m.ended[e.Reservation] = true
	if m.waits(a.Class) == 0 {
		delete(m.passed, a.Class)
	}
	if e.Reason == queue.RefusedDeadline {
		return
	}
	if m.waits(a.Class) == 0 && m.classes[a.Class].MinimumShare > 0 {
		t.Fatalf("refused %s (%s), the only waiter of %s", e.Reservation, e.Reason, a.Class)
	}
	for name, c := range m.classes {
		if c.Tier <= m.tier(a.Class) {
			continue
		}
		if n := m.waits(name); n > 1 || (n == 1 && c.MinimumShare == 0) {
			t.Fatalf("refused %s of %s (%s) while %d of %s wait", e.Reservation, a.Class, e.Reason, n, name)
		}
	}
	if e.Reason != queue.RefusedDisplaced {
		m.checkNothingFreeable(t, a)
	}
}

func (m *model) checkNothingFreeable(t *rapid.T, a queue.Arrived) {
	ahead := 1
	for _, w := range m.waiting {
		if m.tier(w.Class) <= m.tier(a.Class) {
			ahead++
		}
	}
	if m.preempting() >= ahead {
		return
	}
	for name, r := range m.running {
		if m.tier(r.Class) > m.tier(a.Class) && m.freeable(r) {
			t.Fatalf("refused %s of %s while %s of %s could be preempted", a.Reservation, a.Class, name, r.Class)
		}
	}
}

// patience is how long a holder has to end preempted work before the queue
// may ask again.
const patience = 2 * time.Second

// forgetPreemptions drops those that the holder has let lapse.
func (m *model) forgetPreemptions() {
	for name, r := range m.running {
		if r.preempting && m.now.Sub(r.askedAt) >= patience {
			r.preempting = false
			m.running[name] = r
		}
	}
}

func (m *model) preempt(t *rapid.T, e queue.Preempted) {
	r, ok := m.running[e.Reservation]
	if !ok || r.preempting || r.early || r.MustNotPreempt || !m.resumes[r.upstream] {
		t.Fatalf("preempted %s: %+v", e.Reservation, r)
	}
	r.preempting = true
	r.askedAt = m.now
	m.running[e.Reservation] = r
	if !m.higherWaits(r.Arrived) {
		t.Fatalf("preempted %s for nothing higher", e.Reservation)
	}
	if n := m.preempting(); n > len(m.waiting) {
		t.Fatalf("%d preemptions for %d waiters", n, len(m.waiting))
	}
	for name, x := range m.running {
		if m.tier(x.Class) > m.tier(r.Class) && m.freeable(x) {
			t.Fatalf("preempted %s before %s of a lower tier", e.Reservation, name)
		}
	}
}

// freeable reports whether running work could still be preempted.
func (m *model) freeable(r use) bool {
	return m.resumes[r.upstream] && !r.preempting && !r.MustNotPreempt && !r.kept
}

func (m *model) preempting() int {
	n := 0
	for _, r := range m.running {
		if r.preempting {
			n++
		}
	}
	return n
}

func (m *model) checkWorkConserved(t *rapid.T) {
	for name, a := range m.waiting {
		if m.placeable(a) {
			t.Fatalf("%s waits beside a free slot", name)
		}
	}
}

func (m *model) arrive(t *rapid.T, a queue.Arrived) {
	m.waiting[a.Reservation] = a
	m.step(t, a)
	_, waits := m.waiting[a.Reservation]
	_, runs := m.running[a.Reservation]
	if !waits && !runs && !m.ended[a.Reservation] {
		t.Fatalf("%s has no answer", a.Reservation)
	}
}
