package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"samphirehead/state/id"
)

// grantCandidate is a lane of a class queue that may get the next grant.
type grantCandidate struct {
	queue *classQueue
	lane  lane
	// dueSequence is above 0 when the grant is due to the class by its minimum
	// share; the lowest has been due the longest.
	dueSequence uint64
}

// dispatch grants requests until no waiter can be placed.
func (q *Queue) dispatch(now time.Time) {
	for q.grantNext(now) {
	}
}

// grantNext grants the first waiter that can be placed, or refuses one that no
// upstream may serve. It reports whether it did either.
func (q *Queue) grantNext(now time.Time) bool {
	slots := make(map[*pool]poolSlots)
	// blocked contains, by pool, the tier of a waiter for which no upstream has
	// capacity, for example because it needs more memory than is free. Lower
	// tiers are skipped, or their smaller requests would use each bit of memory
	// that becomes free and the waiter would starve.
	blocked := make(map[*pool]id.Tier)
	for _, c := range q.grantOrder() {
		p := c.queue.pool
		s, known := slots[p]
		if !known {
			s.free, s.total = q.Upstreams.FreeSlots(now, p.name)
			slots[p] = s
		}
		tier, isBlocked := blocked[p]
		switch {
		case s.free == 0 && s.total > 0:
			continue
		case c.dueSequence == 0 && isBlocked && c.queue.class.Tier > tier:
			continue
		case c.dueSequence == 0 && s.total > 0 && s.free <= q.reserved(now, c.queue, s.total):
			continue
		}
		granted, full := q.tryGrant(now, c)
		if granted {
			return true
		}
		if full {
			blocked[p] = c.queue.class.Tier
		}
	}
	return false
}

// poolSlots is the number of free slots and of all slots of a pool.
type poolSlots struct{ free, total int }

// grantOrder returns the lanes that may get the next grant, in order: first those of
// the classes to which one is due by their minimum shares, the longest due first;
// then by tier, by lane and by the earliest target.
func (q *Queue) grantOrder() []grantCandidate {
	var candidates []grantCandidate
	for _, p := range q.poolOrder {
		for _, cq := range p.queues {
			for ln := range laneCount {
				if len(cq.lanes[ln].items) == 0 {
					continue
				}
				candidates = append(candidates, grantCandidate{queue: cq, lane: ln})
				if cq.dueSequence > 0 {
					candidates = append(candidates, grantCandidate{queue: cq, lane: ln, dueSequence: cq.dueSequence})
				}
			}
		}
	}
	slices.SortStableFunc(candidates, func(a, b grantCandidate) int {
		if (a.dueSequence > 0) != (b.dueSequence > 0) {
			return cmp.Compare(b.dueSequence, a.dueSequence)
		}
		return cmp.Or(
			cmp.Compare(a.dueSequence, b.dueSequence),
			cmp.Compare(a.queue.class.Tier, b.queue.class.Tier),
			cmp.Compare(a.lane, b.lane),
			a.target().Compare(b.target()),
		)
	})
	return candidates
}

// target returns the earliest first-token target of the workspace that goes next.
func (c grantCandidate) target() time.Time {
	return c.queue.lanes[c.lane].items[0].lanes[c.lane].items[0].FirstTokenBy
}

// tryGrant grants a waiter of a lane; granted is also true when it refused one that
// no upstream may serve. full reports that no upstream has capacity for a waiter
// although neither its exclusions nor a suspicion restricts where it may run.
func (q *Queue) tryGrant(now time.Time, c grantCandidate) (granted, full bool) {
	for _, f := range c.queue.candidateFlows(c.lane) {
		waiters := f.lanes[c.lane].items[:1]
		if c.lane == requeued {
			// Requeued requests exclude different upstreams, so that a later
			// one may find a slot where the first finds none.
			all := f.lanes[c.lane].items
			waiters = all[:min(len(all), maxCandidates)]
		}
		for _, w := range slices.Clone(waiters) {
			avoided := q.avoidedUpstreams(now, w.Fingerprint)
			u, placement := q.Upstreams.Place(now, w.Request, w.remaining, avoided)
			switch {
			case placement == Placed:
				q.grant(w, u, c.dueSequence > 0)
				return true, false
			case placement == NoneEligible:
				q.refuse(now, w, NoUpstream, defaultRetryAfter)
				return true, false
			case !w.isRestricted() && !q.needsIsolation(now, w.Fingerprint):
				return false, true
			}
		}
	}
	return false, false
}

// reserved returns how many free slots a class queue must leave: for requests of
// higher tiers that wait at other instances, and the headroom for higher tiers
// that are in use at this one.
func (q *Queue) reserved(now time.Time, cq *classQueue, totalSlots int) int {
	reserved := q.waitingElsewhere(now, cq)
	if q.Headroom > 0 && q.higherTierInUse(now, cq) {
		reserved += int(math.Ceil(q.Headroom * float64(totalSlots)))
	}
	return reserved
}

// higherTierInUse reports whether a request of a higher tier has recently arrived
// for the same upstreams.
func (q *Queue) higherTierInUse(now time.Time, cq *classQueue) bool {
	for _, other := range q.overlappingQueues(cq.pool) {
		if other.class.Tier < cq.class.Tier && !other.lastArrival.IsZero() && now.Sub(other.lastArrival) < inUseWindow {
			return true
		}
	}
	return false
}

// overlappingQueues returns the class queues of all pools that share upstreams
// with a pool.
func (q *Queue) overlappingQueues(p *pool) []*classQueue {
	var queues []*classQueue
	for _, name := range q.Upstreams.Overlapping(p.name) {
		if other := q.pools[name]; other != nil {
			queues = append(queues, other.queues...)
		}
	}
	return queues
}

// waitingElsewhere counts the requests of higher tiers that wait at other
// instances for the same upstreams.
func (q *Queue) waitingElsewhere(now time.Time, cq *classQueue) int {
	n := 0
	for _, load := range q.freshLoads(now) {
		for _, name := range q.Upstreams.Overlapping(cq.pool.name) {
			for tier, waiting := range load.Waiting[name] {
				if tier < cq.class.Tier {
					n += waiting
				}
			}
		}
	}
	return n
}

// freshLoads drops the load reports that have expired and returns the others.
func (q *Queue) freshLoads(now time.Time) map[id.Instance]peerLoad {
	maps.DeleteFunc(q.peerLoads, func(_ id.Instance, load peerLoad) bool { return now.Sub(load.receivedAt) > loadTTL })
	return q.peerLoads
}

// grant turns a waiter into a run at an upstream. due reports that the grant was due
// to its class by its minimum share.
func (q *Queue) grant(w *waiter, u id.Upstream, due bool) {
	q.timers.remove(w.timerIndex)
	delete(q.waiters, w.Ticket)
	protected := due && q.waitingAbove(w.queue) > 0
	w.queue.pool.creditMinimumShares(q, w.queue)
	w.queue.grant(w)
	q.running[w.Ticket] = &run{
		Request:   w.Request,
		queue:     w.queue,
		upstream:  u,
		tokens:    w.ResumeOffset,
		charged:   w.cost - w.PromptTokens,
		protected: protected,
	}
	q.emit(Granted{w.Ticket, u})
}

// creditMinimumShares accounts for one grant: it adds to the credit of each class
// queue with waiters its minimum share, and subtracts 1 from that of the granted
// one.
func (p *pool) creditMinimumShares(q *Queue, granted *classQueue) {
	for _, cq := range p.queues {
		if cq.waiting == 0 || cq.class.MinimumShare <= 0 {
			continue
		}
		cq.credit = min(maxCredit, cq.credit+cq.class.MinimumShare)
		if cq == granted {
			cq.credit = max(0, cq.credit-1)
			cq.dueSequence = 0
		}
		if cq.dueSequence == 0 && cq.credit >= dueCredit {
			q.lastDue++
			cq.dueSequence = q.lastDue
		}
	}
}

const (
	maxCredit = 2
	// dueCredit allows for the rounding of repeated additions to 1.
	dueCredit = 1 - 1e-9
)
