package queue

import (
	"slices"
	"time"
)

const (
	// longestRest is how long a pool whose upstreams are all ejected goes
	// without a probe.
	longestRest = time.Second
	// restMargin is added to the end of an ejection in the time that a
	// refused caller is told.
	restMargin = 50 * time.Millisecond
)

// rest deals with pools whose upstreams may all have been ejected: the first
// upstream to come back does so soon, and waiters that can't wait for it are
// refused.
func (q *Queue) rest(now time.Time, pools []*pool) {
	resting := false
	for _, p := range pools {
		u := p.firstBack(now, nil)
		if u == nil {
			continue
		}
		u.Health.EndBy(now.Add(longestRest))
		resting = true
	}
	if !resting {
		return
	}
	for _, w := range q.sortedWaiters() {
		if slices.Contains(pools, q.pools[w.Pool]) {
			q.refuseResting(now, w)
		}
	}
}

// refuseResting refuses a waiter whose upstreams are all ejected until after
// its target. Refusing or preempting lower work would not give it a slot.
func (q *Queue) refuseResting(now time.Time, w *waiter) {
	if after, ok := q.restsTooLong(now, w); ok {
		q.refuse(now, w, RefusedNoUpstream, after)
	}
}

// restsTooLong reports whether all upstreams for w are ejected until after its
// target, or its deadline when the target has passed or was met; and when to
// come back.
func (q *Queue) restsTooLong(now time.Time, w *waiter) (time.Duration, bool) {
	u := q.pools[w.Pool].firstBack(now, w)
	if u == nil {
		return 0, false
	}
	by := w.FirstTokenBy
	if w.ResumeOffset > 0 || !by.After(now) {
		by = w.Deadline
	}
	until := u.Health.EjectedUntil()
	return until.Sub(now) + restMargin, !until.Before(by)
}

// restLeft returns when an upstream of a pool whose upstreams are all ejected
// is back; 0 when one is not ejected.
func (p *pool) restLeft(now time.Time) time.Duration {
	if p == nil {
		return 0
	}
	u := p.firstBack(now, nil)
	if u == nil {
		return 0
	}
	return u.Health.EjectedUntil().Sub(now) + restMargin
}

// firstBack returns the upstream whose ejection ends first, of those that may
// take w, or of all when w is nil; nil when one of them is not ejected.
func (p *pool) firstBack(now time.Time, w *waiter) *worker {
	var first *worker
	for _, u := range p.workers {
		if w != nil && !u.admits(w) {
			continue
		}
		if !u.Health.Ejected(now) {
			return nil
		}
		if first == nil || u.Health.EjectedUntil().Before(first.Health.EjectedUntil()) {
			first = u
		}
	}
	return first
}
