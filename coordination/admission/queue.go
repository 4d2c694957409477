// Package admission decides which waiting request of one entry goes next, and
// which are refused.
//
// Upstreams are chosen elsewhere; a request waits here while all that may take
// it are full. A Queue is a deterministic state machine: events and times go
// in, effects come out. Tiers are served in strict order, but for a bounded
// minimum share of lower classes; the workspaces of one class by the tokens
// that they have used; the requests of one workspace by latency target.
package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/sketch"
)

const (
	// candidateFlows is how many workspaces of a class are tried for a slot.
	candidateFlows = 8
	// recentArrival is how long a class counts as in use after an arrival.
	inUseWindow = 10 * time.Second
	// toldFor is how long it counts what waits at another instance.
	loadTTL = 250 * time.Millisecond
)

// Placement says what became of the search for an upstream.
type Placement string

// The placements.
const (
	// Placed requests have an upstream.
	Placed Placement = "placed"
	// Busy means that all upstreams that may take the request are full.
	Busy Placement = "busy"
	// Barred means that none may take it.
	NoneEligible Placement = "barred"
)

// Upstreams are where admitted requests run.
type Upstreams interface {
	// Place chooses an upstream that avoid does not name, with room for the
	// answer tokens that are expected to come, and counts the request as
	// running there.
	Place(now time.Time, r Request, remaining id.Tokens, avoid func(id.Upstream) bool) (id.Upstream, Placement)
	// Room returns the free slots and all slots of a pool.
	Room(now time.Time, p id.Pool) (free, slots int)
	// Near returns the pools that share upstreams with a pool, itself included.
	Overlapping(p id.Pool) []id.Pool
	// Yields reports whether the end of a run at an upstream makes room for a
	// pool, and the run can go on elsewhere.
	Preemptible(p id.Pool, u id.Upstream) bool
	// PrefillTime is how long an upstream of a pool takes to read a prompt.
	PrefillTime(p id.Pool, prompt id.Tokens) time.Duration
}

// Queue holds the waiting requests of one entry. Its exported fields are set
// before the first Step. It is not safe for concurrent use.
type Queue struct {
	Upstreams Upstreams
	// Headroom is the share of a pool's slots that is kept free for higher
	// tiers while they are in use; 0 keeps none.
	Headroom float64
	// Suspects judges fingerprints; nil lets every request pass.
	Suspects *suspect.Tracker

	classes map[id.Class]*classState
	pools   map[id.Pool]*pool
	// poolOrder has the pools in order of name.
	poolOrder []*pool
	waiters   map[Ticket]*waiter
	running   map[Ticket]*run
	// timers has the waiters by their next target or deadline.
	timers heap[*waiter]
	// copies counts the queued and running requests by fingerprint; parked
	// has those that wait for one of them to end.
	copies  map[id.Fingerprint]int
	parked  map[id.Fingerprint][]*waiter
	lengths sketch.Lengths
	// told has what waits at other instances.
	peerLoads map[id.Instance]peerLoad
	// arrivals numbers waiters; dues numbers lines that became owed.
	arrivals uint64
	lastDue  uint64
	// begun is the number of quarantines that the waiters were checked for.
	quarantinesChecked int
	// effects collects what the present step puts out.
	effects []Effect
}

type peerLoad struct {
	LoadReceived
	receivedAt time.Time
}

// pool is the requests that the same upstreams can serve.
type pool struct {
	name id.Pool
	// lines has the queues of all classes used here, by tier and name.
	queues []*classQueue
	// frees counts the runs of this entry that ended.
	releaseRate rate
}

// running is a granted request.
type run struct {
	Request
	queue    *classQueue
	upstream id.Upstream
	tokens   id.Tokens
	// charged is the answer tokens that the workspace was charged so far.
	charged id.Tokens
	// kept work was granted ahead of higher tiers, by the minimum share, and
	// is not preempted.
	protected bool
	// preemptedAt is when it was last asked to end.
	preemptedAt time.Time
	// crashed is set when the crash of its upstream was told.
	crashed bool
}

// Step applies ev at now and returns the effects to carry out, in order. Times
// must not fall.
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
		if q.Suspects != nil {
			q.stepSuspects(now, suspect.RecordsReceived{Records: ev.Records})
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

// advance does what is due since the last step: targets and deadlines that
// pass, quarantines that the tracker began by itself.
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
func (q *Queue) Waiting() Waiting {
	waiting := make(Waiting)
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

// configure replaces the classes. Waiters whose class is gone are refused, and
// so are those that no upstream may take any more, when they are tried.
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

// line returns the queue of a class in a pool.
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

// class is the state of one class over all pools.
type classState struct {
	manifest.Class
	// waiting is the number of waiters in all pools.
	waiting int
}
