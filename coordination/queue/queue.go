// Package queue decides which waiting request gets which upstream's slot next.
//
// A Queue holds the queues of all pools that are homed at one instance. It is a
// deterministic state machine: events and times go in, effects come out. Tiers
// are served in strict order, but for a bounded minimum share of lower classes;
// classes of one tier by latency target; the workspaces of one class by the
// tokens that they have used.
package queue

import (
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/coordination/upstream"
	"samphirehead/state/id"
	"samphirehead/state/sketch"
)

const (
	defaultLease     = 2 * time.Second
	defaultLostGrace = 500 * time.Millisecond

	// candidateFlows is how many workspaces of a class are tried for a slot.
	candidateFlows = 8
	// recentArrival is how long a class counts as in use after an arrival.
	recentArrival = 10 * time.Second
)

// Queue holds the queues of the pools homed here. Its exported fields are set
// before the first Step. It is not safe for concurrent use.
type Queue struct {
	// Lease is how long a granted slot stays reserved without a Progressed;
	// 0 means 2 s.
	Lease time.Duration
	// LostGrace is how long the slots of a lost holder stay reserved, for
	// the upstreams to notice; 0 means 500 ms.
	LostGrace time.Duration
	// Conservative is how long an upstream that is new here, and may still
	// run what an earlier home granted, gets only a part of its slots.
	Conservative time.Duration
	// Headroom is the share of a pool's slots that is kept free for higher
	// tiers while they are in use; 0 keeps none.
	Headroom float64
	// LargePrefill is the prefill time from which a prompt counts as large;
	// an upstream reads one large prompt at a time. 0 sets no bound.
	LargePrefill time.Duration
	// WithoutEstimates charges and plans by DefaultLength alone. It serves
	// to measure what the estimates bring.
	WithoutEstimates bool
	// WithoutAffinity ignores prompt prefixes. It serves to measure what
	// they bring.
	WithoutAffinity bool
	// WithoutSlowing gives slow upstreams as much work as others. It serves
	// to measure what the slowing brings.
	WithoutSlowing bool
	// Suspects judges fingerprints; nil lets every request pass.
	Suspects *suspect.Tracker

	classes map[id.Class]*class
	pools   map[id.Pool]*pool
	// poolOrder has the pools in order of name.
	poolOrder []*pool
	workers   map[id.Upstream]*worker
	// workerOrder has the workers in order of name.
	workerOrder []*worker
	waiters     map[id.Reservation]*waiter
	running     map[id.Reservation]*running
	// timers has the waiters by their next target or deadline.
	timers heap[*waiter]
	// leases has the running reservations by when to check their lease.
	leases heap[*running]
	// copies counts the queued and running requests by fingerprint; parked
	// has those that wait for one of them to end.
	copies   map[id.Fingerprint]int
	parked   map[id.Fingerprint][]*waiter
	lengths  sketch.Lengths
	affinity upstream.Affinity
	// arrivals numbers waiters; dues numbers lines that became owed.
	arrivals uint64
	dues     uint64
	// begun is the number of quarantines that the waiters were checked for.
	begun int
	// effects collects what the present step puts out.
	effects []Effect
}

// pool is the upstreams that can serve the same requests, with their queues.
type pool struct {
	name    id.Pool
	workers []*worker
	// lines has the queues of all classes used here, by tier and name.
	lines []*line
	// near has all pools that share an upstream with this one, itself
	// included.
	near  []*pool
	frees rate
}

// worker is one upstream.
type worker struct {
	Upstream
	upstream.Worker
	pools []*pool
	// draining workers get no new work.
	draining bool
	// preemptible has the running work that may be preempted, lowest tier
	// and least loss first.
	preemptible heap[*running]
	// preempting counts Preempted effects without a release.
	preempting int
	// large counts large prompts without a first token.
	large int
	// awaiting has the work without a first token in order of grant; work
	// that has it, or has ended, is dropped when it comes first.
	awaiting []*running
	// crashedAt is when it last crashed under its work.
	crashedAt time.Time
	// running has all granted work by reservation.
	running map[id.Reservation]*running
	// fingerprints counts the granted work by fingerprint, but 0.
	fingerprints map[id.Fingerprint]int
}

// running is a granted reservation.
type running struct {
	Arrived
	line   *line
	worker *worker
	tokens id.Tokens
	// charged is the answer tokens that the workspace was charged so far.
	charged id.Tokens
	// need is the KV tokens that the worker counts for it.
	need id.Tokens
	// prefilled is set by the first token.
	prefilled bool
	large     bool
	// expected is the prefill time that was foreseen on the grant.
	expected time.Duration
	// leaseEnd is when the slot is freed; checkAt, at most leaseEnd, is when
	// to look.
	leaseEnd   time.Time
	checkAt    time.Time
	leaseIndex int
	grantedAt  time.Time
	progressAt time.Time
	ended      bool
	// kept work was granted ahead of higher tiers, by the minimum share,
	// and is not preempted.
	kept       bool
	preempting bool
	// preemptedAt is when the holder was last asked to end it.
	preemptedAt  time.Time
	preemptIndex int
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
		q.arrive(now, ev)
	case Registered:
		q.register(now, ev)
	case Withdrawn:
		q.withdraw(now, ev.Reservation)
	case Progressed:
		q.progress(now, ev)
	case Released:
		q.release(now, ev)
	case Reported:
		q.report(now, ev)
	case Cached:
		q.cache(ev)
	case Heard:
		q.hear(now, ev)
	case HolderLost:
		q.loseHolder(now, ev.Instance)
	case Ticked:
		q.tick(now)
	}
	return q.effects
}

func (q *Queue) init() {
	if q.pools != nil {
		return
	}
	q.classes = map[id.Class]*class{}
	q.pools = map[id.Pool]*pool{}
	q.workers = map[id.Upstream]*worker{}
	q.waiters = map[id.Reservation]*waiter{}
	q.running = map[id.Reservation]*running{}
	q.copies = map[id.Fingerprint]int{}
	q.parked = map[id.Fingerprint][]*waiter{}
	q.timers.less = func(a, b *waiter) bool {
		if !a.timerAt.Equal(b.timerAt) {
			return a.timerAt.Before(b.timerAt)
		}
		return a.sequence < b.sequence
	}
	q.timers.place = func(w *waiter, i int) { w.timerIndex = i }
	q.leases.less = func(a, b *running) bool {
		if !a.checkAt.Equal(b.checkAt) {
			return a.checkAt.Before(b.checkAt)
		}
		return a.Reservation < b.Reservation
	}
	q.leases.place = func(r *running, i int) { r.leaseIndex = i }
}

func (q *Queue) emit(e Effect) { q.effects = append(q.effects, e) }

// advance does what is due since the last step: leases that lapse, targets and
// deadlines that pass, quarantines that the tracker began by itself.
func (q *Queue) advance(now time.Time) {
	q.refuseQuarantined(now)
	for {
		r, ok := q.leases.first()
		if !ok || r.checkAt.After(now) {
			break
		}
		q.checkLease(now, r)
	}
	for {
		w, ok := q.timers.first()
		if !ok || w.timerAt.After(now) {
			break
		}
		q.timeOut(now, w)
	}
}

// tick looks at everything that changes by time alone.
func (q *Queue) tick(now time.Time) {
	q.dispatch(now, q.poolOrder)
	for _, p := range q.poolOrder {
		q.preemptForHead(now, p)
	}
}
