package admission_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

func TestMain(m *testing.M) {
	for name, value := range map[string]string{
		"rapid.seed": "20261204", "rapid.checks": "200", "rapid.steps": "100", "rapid.nofailfile": "true",
	} {
		_ = flag.Set(name, value)
	}
	flag.Parse()
	os.Exit(m.Run())
}

const poolName = id.Pool("model:m")

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func class(name id.Class, tier id.Tier, share float64) manifest.Class {
	return manifest.Class{
		Name: name, Tier: tier, FirstToken: time.Second, TotalDeadline: time.Hour,
		MinimumShare: share, QueueBound: 10000,
	}
}

// request returns a request whose target and deadline are hours away.
func request(n int, c id.Class, w id.Workspace) admission.Request {
	return admission.Request{
		Ticket: admission.Ticket(n), Request: id.Request(fmt.Sprintf("q%d", n)),
		Pool: poolName, Class: c, Workspace: w, PromptTokens: 100,
		FirstTokenBy: start.Add(time.Hour), Deadline: start.Add(2 * time.Hour),
	}
}

func granted(effects []admission.Effect) []admission.Granted {
	return effectsOf[admission.Granted](effects)
}

func effectsOf[E admission.Effect](effects []admission.Effect) []E {
	var found []E
	for _, e := range effects {
		if x, ok := e.(E); ok {
			found = append(found, x)
		}
	}
	return found
}

func released(t admission.Ticket, tokens id.Tokens) admission.Released {
	return admission.Released{Ticket: t, Tokens: tokens, Outcome: admission.Completed, FirstToken: 10 * time.Millisecond}
}

// engines are upstreams with some slots each. A request goes to the first, by name,
// that may serve it and has a free slot.
type engines struct {
	slots map[id.Upstream]int
	// resumes contains the engines that can resume a response; nil means all.
	resumes map[id.Upstream]bool
	running map[admission.Ticket]id.Upstream
	// pools contains the engines that serve each pool; nil means that all
	// engines serve all pools.
	pools map[id.Pool][]id.Upstream
}

func newEngines(slots ...int) *engines {
	e := &engines{slots: map[id.Upstream]int{}, running: map[admission.Ticket]id.Upstream{}}
	for i, n := range slots {
		e.slots[id.Upstream(fmt.Sprintf("e%d", i))] = n
	}
	return e
}

func (e *engines) inUse(u id.Upstream) int {
	n := 0
	for _, at := range e.running {
		if at == u {
			n++
		}
	}
	return n
}

func (e *engines) eligible(r admission.Request, u id.Upstream) bool {
	serves := e.pools == nil || slices.Contains(e.pools[r.Pool], u)
	return serves && !slices.Contains(r.Excluded, u) && (r.ResumeOffset == 0 || e.resumes == nil || e.resumes[u])
}

func (e *engines) hasFreeSlot(r admission.Request) bool {
	for u, slots := range e.slots {
		if e.eligible(r, u) && e.inUse(u) < slots {
			return true
		}
	}
	return false
}

func (e *engines) Place(_ time.Time, r admission.Request, _ id.Tokens, avoid func(id.Upstream) bool) (id.Upstream, admission.Placement) {
	placement := admission.NoneEligible
	for _, u := range slices.Sorted(maps.Keys(e.slots)) {
		if !e.eligible(r, u) {
			continue
		}
		if avoid(u) || e.inUse(u) >= e.slots[u] {
			placement = admission.Busy
			continue
		}
		e.running[r.Ticket] = u
		return u, admission.Placed
	}
	return "", placement
}

func (e *engines) FreeSlots(_ time.Time, p id.Pool) (free, total int) {
	for u, n := range e.slots {
		if e.pools == nil || slices.Contains(e.pools[p], u) {
			total += n
			free += n - e.inUse(u)
		}
	}
	return free, total
}

func (e *engines) Overlapping(p id.Pool) []id.Pool {
	if e.pools == nil {
		return []id.Pool{p}
	}
	return slices.Sorted(maps.Keys(e.pools))
}

func (e *engines) Preemptible(p id.Pool, u id.Upstream) bool {
	serves := e.pools == nil || slices.Contains(e.pools[p], u)
	return serves && (e.resumes == nil || e.resumes[u])
}

func (*engines) PrefillTime(id.Pool, id.Tokens) time.Duration { return 0 }

// testQueue is a queue with its engines.
type testQueue struct {
	admission.Queue
	*engines
}

func newTestQueue(e *engines, classes ...manifest.Class) *testQueue {
	q := &testQueue{Queue: admission.Queue{Upstreams: e}, engines: e}
	q.Step(start, admission.Configured{Classes: classes})
	return q
}

// step frees the slot of a run that ends, then passes the event to the queue.
func (q *testQueue) step(now time.Time, ev admission.Event) []admission.Effect {
	switch ev := ev.(type) {
	case admission.Released:
		delete(q.running, ev.Ticket)
	case admission.Withdrawn:
		delete(q.running, ev.Ticket)
	}
	return q.Step(now, ev)
}

func (q *testQueue) arrive(now time.Time, r admission.Request) []admission.Effect {
	return q.step(now, admission.Arrived{Request: r})
}
