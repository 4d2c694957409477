// Package admission decides which waiting request of an instance is granted an
// upstream next, and which requests are refused.
//
// Upstreams are chosen elsewhere; a request waits here while all upstreams that
// may serve it are full. A Queue is a deterministic state machine: events and
// times go in, effects come out. Tiers are served in strict order, except for a
// bounded minimum share of lower classes; the workspaces of one class by the
// tokens that they have used; the requests of one workspace by first-token
// target.
package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/sketch"
)

const (
	// maxCandidates bounds how many workspaces of a class are tried for a
	// slot, and how many requeued requests of each.
	maxCandidates = 8
	// inUseWindow is how long a class counts as in use after an arrival.
	inUseWindow = 10 * time.Second
	// loadTTL is how long the load report of another instance is used.
	loadTTL = 250 * time.Millisecond
)

// Placement is the result of the search for an upstream.
type Placement string

// The placements.
const (
	// Placed means that an upstream was chosen.
	Placed Placement = "placed"
	// Busy means that all upstreams that may serve the request are full.
	Busy Placement = "busy"
	// NoneEligible means that no upstream may serve the request.
	NoneEligible Placement = "barred"
)

// Upstreams chooses upstreams for the requests, and describes what they can run.
type Upstreams interface {
	// Place chooses an upstream for which avoid returns false, with capacity
	// for the remaining output tokens that are expected, and counts the
	// request as running there.
	Place(now time.Time, r Request, remaining id.Tokens, avoid func(id.Upstream) bool) (id.Upstream, Placement)
	// FreeSlots counts the free slots and all slots of a pool. A total of 0
	// limits nothing: Place is called all the same.
	FreeSlots(now time.Time, p id.Pool) (free, total int)
	// Overlapping returns the pools that share upstreams with a pool, the pool
	// itself included.
	Overlapping(p id.Pool) []id.Pool
	// Preemptible reports whether the end of a run at an upstream frees a slot
	// for a pool and the run can be resumed elsewhere.
	Preemptible(p id.Pool, u id.Upstream) bool
	// PrefillTime returns how long an upstream of a pool takes to prefill a
	// prompt; 0 when unknown.
	PrefillTime(p id.Pool, prompt id.Tokens) time.Duration
}

// Queue holds the waiting and running requests of one instance. Its exported
// fields are set before the first Step. It is not safe for concurrent use.
type Queue struct {
	Upstreams Upstreams
	// Headroom is the share of a pool's slots that is kept free for higher
	// tiers while they are in use; from 0, which keeps none, to 1.
	Headroom float64
	// Quarantine limits the requests whose fingerprints may crash upstreams;
	// nil limits none.
	Quarantine *quarantine.Tracker

	classes map[id.Class]*classState
	pools   map[id.Pool]*pool
	// poolOrder contains the pools sorted by name, because the iteration
	// order of a map is not deterministic.
	poolOrder []*pool
	waiters   map[Ticket]*waiter
	running   map[Ticket]*run
	// timers contains the waiters, the earliest timerAt first.
	timers heap[*waiter]
	// copies counts the queued and running requests by fingerprint; parked
	// contains the waiters that must not be queued until one of those ends.
	copies  map[id.Fingerprint]int
	parked  map[id.Fingerprint][]*waiter
	lengths sketch.Lengths
	// peerLoads contains the last load report of each other instance.
	peerLoads map[id.Instance]peerLoad
	// arrivals is the sequence number of the last arrival; lastDue is the last
	// dueSequence that was assigned.
	arrivals uint64
	lastDue  uint64
	// quarantinesChecked is the number of started quarantines that the waiters
	// were checked for.
	quarantinesChecked int
	// effects collects the effects of the current step.
	effects []Effect
}

type peerLoad struct {
	LoadReceived
	receivedAt time.Time
}

// pool is the state of one pool: its requests can be served by the same
// upstreams.
type pool struct {
	name id.Pool
	// queues contains a queue for each class that was used in the pool, sorted
	// by tier and name.
	queues []*classQueue
	// releaseRate is the rate at which runs of this instance ended.
	releaseRate rate
}

// run is a granted request.
type run struct {
	Request
	queue    *classQueue
	upstream id.Upstream
	// tokens is the number of output tokens, ResumeOffset included.
	tokens id.Tokens
	// charged is the number of output tokens that the workspace was charged on
	// the grant.
	charged id.Tokens
	// protected runs were granted ahead of waiting higher tiers, by the minimum
	// share of their class, and are not preempted.
	protected bool
	// preemptedAt is when the run was last asked to end.
	preemptedAt time.Time
	// crashed is set once the crash of the run's upstream was reported to the
	// quarantine tracker.
	crashed bool
}

// Step applies ev at now and returns the effects to carry out, in order. now must
// not be before that of an earlier call.
func (q *Queue) Step(now time.Time, ev Event) []Effect {
	q.init()
	q.effects = nil
	q.advance(now)
	switch ev := ev.(type) {
	case Configured:
		q.configure(now, ev)
	case Arrived:
		q.arrive(now, ev.Request)
	case Withdrawn:
		q.withdraw(now, ev.Ticket)
	case Released:
		q.release(now, ev)
	case LoadReceived:
		q.peerLoads[ev.Instance] = peerLoad{LoadReceived: ev, receivedAt: now}
		q.preemptForPeer(now, ev)
	case CrashRecordsReceived:
		if q.Quarantine != nil {
			q.stepQuarantine(now, quarantine.RecordsReceived{Records: ev.Records})
		}
	case Ticked:
		q.dispatch(now)
		q.preemptForHeads(now)
	}
	return q.effects
}

func (q *Queue) init() {
	if q.pools != nil {
		return
	}
	q.classes = map[id.Class]*classState{}
	q.pools = map[id.Pool]*pool{}
	q.waiters = map[Ticket]*waiter{}
	q.running = map[Ticket]*run{}
	q.copies = map[id.Fingerprint]int{}
	q.parked = map[id.Fingerprint][]*waiter{}
	q.peerLoads = map[id.Instance]peerLoad{}
	q.timers.less = func(a, b *waiter) bool {
		if !a.timerAt.Equal(b.timerAt) {
			return a.timerAt.Before(b.timerAt)
		}
		return a.sequence < b.sequence
	}
	q.timers.setIndex = func(w *waiter, i int) { w.timerIndex = i }
}

func (q *Queue) emit(e Effect) { q.effects = append(q.effects, e) }

// advance handles the targets and deadlines that have passed and the quarantines
// that have started since the last step.
func (q *Queue) advance(now time.Time) {
	q.refuseQuarantined(now)
	for {
		w, ok := q.timers.first()
		if !ok || w.timerAt.After(now) {
			return
		}
		q.timeOut(now, w)
	}
}

// Queued counts the waiting requests of each class.
func (q *Queue) Queued() map[id.Class]int {
	queued := make(map[id.Class]int)
	for _, w := range q.waiters {
		queued[w.Class]++
	}
	return queued
}

// Waiting counts the waiting requests by pool and tier.
func (q *Queue) Waiting() RequestCounts {
	waiting := make(RequestCounts)
	for _, p := range q.poolOrder {
		for _, cq := range p.queues {
			if cq.waiting == 0 {
				continue
			}
			waiting.Add(p.name, cq.class.Tier, cq.waiting)
		}
	}
	return waiting
}

// configure replaces the classes. Waiters whose class is gone are refused at once.
// Those that no upstream may serve any more are refused when they are tried.
func (q *Queue) configure(now time.Time, ev Configured) {
	listed := map[id.Class]bool{}
	for _, c := range ev.Classes {
		listed[c.Name] = true
		if q.classes[c.Name] == nil {
			q.classes[c.Name] = &classState{}
		}
		q.classes[c.Name].Class = c
	}
	maps.DeleteFunc(q.classes, func(name id.Class, _ *classState) bool { return !listed[name] })
	for _, w := range q.sortedWaiters() {
		if q.classes[w.Class] == nil {
			q.refuse(now, w, UnknownClass, 0)
		}
	}
	for _, p := range q.poolOrder {
		p.queues = slices.DeleteFunc(p.queues, func(cq *classQueue) bool { return !listed[cq.class.Name] })
		p.sortQueues()
	}
	q.dispatch(now)
}

func (q *Queue) sortedWaiters() []*waiter {
	return slices.SortedFunc(maps.Values(q.waiters), func(a, b *waiter) int {
		return cmp.Compare(a.sequence, b.sequence)
	})
}

// classQueue returns the queue of a class in a pool; it adds one if there is none.
func (q *Queue) classQueue(name id.Pool, c *classState) *classQueue {
	p := q.pools[name]
	if p == nil {
		p = &pool{name: name}
		q.pools[name] = p
		q.poolOrder = append(q.poolOrder, p)
		slices.SortFunc(q.poolOrder, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	}
	for _, cq := range p.queues {
		if cq.class == c {
			return cq
		}
	}
	cq := newClassQueue(c, p)
	p.queues = append(p.queues, cq)
	p.sortQueues()
	return cq
}

func (p *pool) sortQueues() {
	slices.SortFunc(p.queues, func(a, b *classQueue) int {
		return cmp.Or(cmp.Compare(a.class.Tier, b.class.Tier), cmp.Compare(a.class.Name, b.class.Name))
	})
}

// classState is the state of one class over all pools.
type classState struct {
	manifest.Class
	// waiting is the number of waiters in all pools, parked ones included.
	waiting int
}
