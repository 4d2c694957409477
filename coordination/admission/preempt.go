package admission

import (
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// preemptPatience is how long a run has to end once it was preempted.
	preemptPatience = 2 * time.Second
	// slackShare of the time from arrival to target passes before work is
	// preempted whatever the rate of freed slots was: others may take them.
	slackShare = 0.5
)

// losesLess orders what to preempt first: the lowest tier, then what has to be
// read again the least, then the newest.
func losesLess(a, b *running) bool {
	if a.line.class.Tier != b.line.class.Tier {
		return a.line.class.Tier > b.line.class.Tier
	}
	lossA, lossB := a.PromptTokens+a.ResumeOffset, b.PromptTokens+b.ResumeOffset
	if lossA != lossB {
		return lossA < lossB
	}
	return a.Ticket > b.Ticket
}

// preemptForHeads preempts for the first waiter of each line that would miss its
// target otherwise.
func (q *Queue) preemptForHeads(now time.Time) {
	for _, p := range q.poolOrder {
		for _, l := range p.lines {
			f, ok := l.lanes[onTime].first()
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
	if float64(now.Sub(w.arrivedAt)) >= slackShare*float64(target) {
		return true
	}
	wait, known := q.expectedWait(now, w.line, q.waitingAbove(w.line))
	return known && float64(wait+q.prefillTime(w)) > missMargin*float64(w.FirstTokenBy.Sub(now))
}

// preemptFor preempts one run of a lower tier for w, unless as many slots are
// already on their way as there are waiters of w's tier and above. It reports
// whether w can count on a slot.
func (q *Queue) preemptFor(now time.Time, w *waiter) bool {
	if q.preempting(now, w.Pool) >= q.waitingAbove(w.line)+w.line.waiting {
		return true
	}
	r := q.victim(now, w.Pool, w.line.class.Tier)
	if r != nil {
		q.preempt(now, r)
	}
	return r != nil
}

func (q *Queue) preempt(now time.Time, r *running) {
	r.preemptedAt = now
	q.emit(Preempted{r.Ticket, r.upstream})
}

// victim returns the run below a tier to preempt for a pool; nil when there is
// none.
func (q *Queue) victim(now time.Time, p id.Pool, tier id.Tier) *running {
	var best *running
	for _, r := range q.running {
		if r.kept || r.line.class.Tier <= tier || r.isPreempted(now) || !q.Upstreams.Yields(p, r.upstream) {
			continue
		}
		if best == nil || losesLess(r, best) {
			best = r
		}
	}
	return best
}

// isPreempted reports whether a run was asked to end and may still do it.
func (r *running) isPreempted(now time.Time) bool {
	return !r.preemptedAt.IsZero() && now.Sub(r.preemptedAt) < preemptPatience
}

// preempting counts the runs that were asked to end, of the pools that share
// upstreams with a pool.
func (q *Queue) preempting(now time.Time, p id.Pool) int {
	n := 0
	for _, r := range q.running {
		if r.isPreempted(now) && q.Upstreams.Yields(p, r.upstream) {
			n++
		}
	}
	return n
}

// waitingAbove counts the waiters of the tiers above l's in its pool.
func (q *Queue) waitingAbove(l *line) int {
	n := 0
	for _, other := range l.pool.lines {
		if other.class.Tier < l.class.Tier {
			n += other.waiting
		}
	}
	return n
}

// Pressed counts the waiting requests that may miss their target and found
// nothing to preempt at this instance.
func (q *Queue) Pressed(now time.Time) Waiting {
	pressed := make(Waiting)
	for _, p := range q.poolOrder {
		coming := q.preempting(now, p.name)
		for _, l := range p.lines {
			n := max(l.waiting-coming, 0)
			coming = max(coming-l.waiting, 0)
			f, ok := l.lanes[onTime].first()
			if n == 0 || !ok || q.victim(now, p.name, l.class.Tier) != nil {
				continue
			}
			if w, _ := f.lanes[onTime].first(); q.headMisses(now, w) {
				pressed.Add(p.name, l.class.Tier, n)
			}
		}
	}
	return pressed
}

// Running counts the runs that may be preempted, by pool and tier.
func (q *Queue) Running() Waiting {
	running := make(Waiting)
	for _, r := range q.running {
		if !r.kept && q.Upstreams.Yields(r.Pool, r.upstream) {
			running.Add(r.Pool, r.line.class.Tier, 1)
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
func (q *Queue) yield(now time.Time, ev Told) {
	for _, p := range slices.Sorted(maps.Keys(ev.Pressed)) {
		for _, tier := range slices.Sorted(maps.Keys(ev.Pressed[p])) {
			for range q.part(now, ev, p, tier) - q.preempting(now, p) {
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
func (q *Queue) part(now time.Time, ev Told, p id.Pool, tier id.Tier) int {
	mine := q.lower(q.Running(), p, tier)
	if mine == 0 {
		return 0
	}
	all := mine
	for _, t := range q.fresh(now) {
		if t.Instance != ev.Instance {
			all += q.lower(t.Running, p, tier)
		}
	}
	return (ev.Pressed[p][tier]*mine + all - 1) / all
}

// lower counts the runs below a tier in the pools that share upstreams with a
// pool.
func (q *Queue) lower(running Waiting, p id.Pool, tier id.Tier) int {
	n := 0
	for _, name := range q.Upstreams.Near(p) {
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
func (q *Queue) lowerElsewhere(now time.Time, l *line) bool {
	for _, t := range q.fresh(now) {
		if q.lower(t.Running, l.pool.name, l.class.Tier) > 0 {
			return true
		}
	}
	return false
}
