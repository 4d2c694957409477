package admission

import (
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// preemptTimeout is how long a run has to end after it was preempted; then
	// its slot no longer counts as about to become free, and it may be
	// preempted again.
	preemptTimeout = 2 * time.Second
	// preemptWaitShare is the share of the time from arrival to target after
	// which a request preempts a run even if the rate at which slots became
	// free promises it one in time: others may take those slots.
	preemptWaitShare = 0.5
)

// preemptBefore orders the runs to preempt: the lowest tier first, then the one
// with the fewest tokens to prefill again, then the newest.
func preemptBefore(a, b *run) bool {
	if a.queue.class.Tier != b.queue.class.Tier {
		return a.queue.class.Tier > b.queue.class.Tier
	}
	prefillA, prefillB := a.PromptTokens+a.ResumeOffset, b.PromptTokens+b.ResumeOffset
	if prefillA != prefillB {
		return prefillA < prefillB
	}
	return a.Ticket > b.Ticket
}

// preemptForHeads preempts a run for the first on-time waiter of each class queue
// that would miss its target otherwise.
func (q *Queue) preemptForHeads(now time.Time) {
	for _, p := range q.poolOrder {
		for _, cq := range p.queues {
			f, ok := cq.lanes[onTime].first()
			if !ok {
				continue
			}
			w, _ := f.lanes[onTime].first()
			if q.headMisses(now, w) {
				q.preemptFor(now, w)
			}
		}
	}
}

// headMisses reports whether a waiter at the head of its class queue is about to
// miss its first-token target.
func (q *Queue) headMisses(now time.Time, w *waiter) bool {
	target := w.FirstTokenBy.Sub(w.arrivedAt)
	if float64(now.Sub(w.arrivedAt)) >= preemptWaitShare*float64(target) {
		return true
	}
	wait, known := q.expectedWait(now, w.queue, q.waitingAbove(w.queue))
	return known && float64(wait+q.prefillTime(w)) > maxWaitShare*float64(w.FirstTokenBy.Sub(now))
}

// preemptFor preempts one run of a lower tier for w, unless at least as many
// preempted runs are about to end as there are waiters of w's class and of the
// tiers above. It reports whether w can expect a slot.
func (q *Queue) preemptFor(now time.Time, w *waiter) bool {
	if q.preempting(now, w.Pool) >= q.waitingAbove(w.queue)+w.queue.waiting {
		return true
	}
	r := q.victim(now, w.Pool, w.queue.class.Tier)
	if r != nil {
		q.preempt(now, r)
	}
	return r != nil
}

func (q *Queue) preempt(now time.Time, r *run) {
	r.preemptedAt = now
	q.emit(Preempt{r.Ticket, r.upstream})
}

// victim returns the run of a lower tier to preempt for a request of a pool; nil
// when there is none.
func (q *Queue) victim(now time.Time, p id.Pool, tier id.Tier) *run {
	var best *run
	for _, r := range q.running {
		if r.protected || r.queue.class.Tier <= tier || r.isEnding(now) || !q.Upstreams.Preemptible(p, r.upstream) {
			continue
		}
		if best == nil || preemptBefore(r, best) {
			best = r
		}
	}
	return best
}

// isEnding reports whether a run was asked to end less than preemptTimeout ago.
func (r *run) isEnding(now time.Time) bool {
	return !r.preemptedAt.IsZero() && now.Sub(r.preemptedAt) < preemptTimeout
}

// preempting counts the runs that were asked to end and whose slots a pool can use.
func (q *Queue) preempting(now time.Time, p id.Pool) int {
	n := 0
	for _, r := range q.running {
		if r.isEnding(now) && q.Upstreams.Preemptible(p, r.upstream) {
			n++
		}
	}
	return n
}

// waitingAbove counts the waiters of the tiers above cq's in its pool.
func (q *Queue) waitingAbove(cq *classQueue) int {
	n := 0
	for _, other := range cq.pool.queues {
		if other.class.Tier < cq.class.Tier {
			n += other.waiting
		}
	}
	return n
}

// AtRisk counts, by pool and tier, the waiting requests that may miss their target
// and for which this instance has no run to preempt.
func (q *Queue) AtRisk(now time.Time) RequestCounts {
	atRisk := make(RequestCounts)
	for _, p := range q.poolOrder {
		freeing := q.preempting(now, p.name)
		for _, cq := range p.queues {
			n := max(cq.waiting-freeing, 0)
			freeing = max(freeing-cq.waiting, 0)
			f, ok := cq.lanes[onTime].first()
			if n == 0 || !ok || q.victim(now, p.name, cq.class.Tier) != nil {
				continue
			}
			if w, _ := f.lanes[onTime].first(); q.headMisses(now, w) {
				atRisk.Add(p.name, cq.class.Tier, n)
			}
		}
	}
	return atRisk
}

// Running counts, by pool and tier, the runs that may be preempted.
func (q *Queue) Running() RequestCounts {
	running := make(RequestCounts)
	for _, r := range q.running {
		if !r.protected && q.Upstreams.Preemptible(r.Pool, r.upstream) {
			running.Add(r.Pool, r.queue.class.Tier, 1)
		}
	}
	return running
}

// Add adds n requests to those of a pool and tier.
func (counts RequestCounts) Add(p id.Pool, tier id.Tier, n int) {
	if counts[p] == nil {
		counts[p] = make(map[id.Tier]int)
	}
	counts[p][tier] += n
}

// preemptForPeer preempts runs for requests at risk that wait at another instance,
// as many as are this instance's share.
func (q *Queue) preemptForPeer(now time.Time, ev LoadReceived) {
	for _, p := range slices.Sorted(maps.Keys(ev.AtRisk)) {
		for _, tier := range slices.Sorted(maps.Keys(ev.AtRisk[p])) {
			for range q.ownShare(now, ev, p, tier) - q.preempting(now, p) {
				r := q.victim(now, p, tier)
				if r == nil {
					break
				}
				q.preempt(now, r)
			}
		}
	}
}

// ownShare returns how many runs this instance has to preempt for the requests of a
// pool and tier at the instance that sent ev. The instances that can preempt divide
// them in proportion to what each runs below the tier, rounded up.
func (q *Queue) ownShare(now time.Time, ev LoadReceived, p id.Pool, tier id.Tier) int {
	own := q.runningBelow(q.Running(), p, tier)
	if own == 0 {
		return 0
	}
	total := own
	for _, load := range q.freshLoads(now) {
		if load.Instance != ev.Instance {
			total += q.runningBelow(load.Running, p, tier)
		}
	}
	return (ev.AtRisk[p][tier]*own + total - 1) / total
}

// runningBelow counts the runs below a tier in the pools that share upstreams with
// a pool.
func (q *Queue) runningBelow(running RequestCounts, p id.Pool, tier id.Tier) int {
	n := 0
	for _, name := range q.Upstreams.Overlapping(p) {
		for t, count := range running[name] {
			if t > tier {
				n += count
			}
		}
	}
	return n
}

// preemptibleElsewhere reports whether another instance has runs of lower tiers
// that it can preempt for a class queue.
func (q *Queue) preemptibleElsewhere(now time.Time, cq *classQueue) bool {
	for _, load := range q.freshLoads(now) {
		if q.runningBelow(load.Running, cq.pool.name, cq.class.Tier) > 0 {
			return true
		}
	}
	return false
}
