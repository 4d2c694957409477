package admission

import (
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// preemptPatience is how long a run has to end once it was preempted.
	preemptTimeout = 2 * time.Second
	// slackShare of the time from arrival to target passes before work is
	// preempted whatever the rate of freed slots was: others may take them.
	preemptWaitShare = 0.5
)

// losesLess orders what to preempt first: the lowest tier, then what has to be
// read again the least, then the newest.
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

// preemptForHeads preempts for the first waiter of each line that would miss its
// target otherwise.
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

// headMisses reports whether a waiter at the head of its line is about to miss
// its target.
func (q *Queue) headMisses(now time.Time, w *waiter) bool {
	target := w.FirstTokenBy.Sub(w.arrivedAt)
	if float64(now.Sub(w.arrivedAt)) >= preemptWaitShare*float64(target) {
		return true
	}
	wait, known := q.expectedWait(now, w.queue, q.waitingAbove(w.queue))
	return known && float64(wait+q.prefillTime(w)) > maxWaitShare*float64(w.FirstTokenBy.Sub(now))
}

// preemptFor preempts one run of a lower tier for w, unless as many slots are
// already on their way as there are waiters of w's tier and above. It reports
// whether w can count on a slot.
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

// victim returns the run below a tier to preempt for a pool; nil when there is
// none.
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

// isPreempted reports whether a run was asked to end and may still do it.
func (r *run) isEnding(now time.Time) bool {
	return !r.preemptedAt.IsZero() && now.Sub(r.preemptedAt) < preemptTimeout
}

// preempting counts the runs that were asked to end, of the pools that share
// upstreams with a pool.
func (q *Queue) preempting(now time.Time, p id.Pool) int {
	n := 0
	for _, r := range q.running {
		if r.isEnding(now) && q.Upstreams.Preemptible(p, r.upstream) {
			n++
		}
	}
	return n
}

// waitingAbove counts the waiters of the tiers above l's in its pool.
func (q *Queue) waitingAbove(cq *classQueue) int {
	n := 0
	for _, other := range cq.pool.queues {
		if other.class.Tier < cq.class.Tier {
			n += other.waiting
		}
	}
	return n
}

// Pressed counts the waiting requests that may miss their target and found
// nothing to preempt at this instance.
func (q *Queue) AtRisk(now time.Time) Waiting {
	atRisk := make(Waiting)
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

// Running counts the runs that may be preempted, by pool and tier.
func (q *Queue) Running() Waiting {
	running := make(Waiting)
	for _, r := range q.running {
		if !r.protected && q.Upstreams.Preemptible(r.Pool, r.upstream) {
			running.Add(r.Pool, r.queue.class.Tier, 1)
		}
	}
	return running
}

// Add adds to the requests of a pool and tier.
func (w Waiting) Add(p id.Pool, tier id.Tier, n int) {
	if w[p] == nil {
		w[p] = make(map[id.Tier]int)
	}
	w[p][tier] += n
}

// yield preempts for requests that wait at another instance, as many as are this
// one's part of those that all others can preempt.
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

// part returns how many runs this instance is to preempt of those that another
// one needs, by what all others run below the tier.
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

// lower counts the runs below a tier in the pools that share upstreams with a
// pool.
func (q *Queue) runningBelow(running Waiting, p id.Pool, tier id.Tier) int {
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

// lowerElsewhere reports whether another instance runs work below a line's tier
// that it can preempt.
func (q *Queue) preemptibleElsewhere(now time.Time, cq *classQueue) bool {
	for _, load := range q.freshLoads(now) {
		if q.runningBelow(load.Running, cq.pool.name, cq.class.Tier) > 0 {
			return true
		}
	}
	return false
}
