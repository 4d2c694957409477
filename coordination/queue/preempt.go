package queue

import "time"

const (
	// preemptPatience is how long a holder has to end preempted work.
	preemptPatience = 2 * time.Second
	// slackShare of the time from arrival to target passes before work is
	// preempted while the rate of freed slots is unknown.
	slackShare = 0.5
)

// losesLess orders what to preempt first: the lowest tier, then what has to be
// read again the least, then the newest.
func losesLess(a, b *running) bool {
	if a.line.class.Tier != b.line.class.Tier {
		return a.line.class.Tier > b.line.class.Tier
	}
	lossA, lossB := a.PromptTokens+a.tokens, b.PromptTokens+b.tokens
	if lossA != lossB {
		return lossA < lossB
	}
	if !a.grantedAt.Equal(b.grantedAt) {
		return a.grantedAt.After(b.grantedAt)
	}
	return a.Reservation < b.Reservation
}

// preemptForHead preempts for the most urgent waiter of a pool if it would miss
// its target otherwise.
func (q *Queue) preemptForHead(now time.Time, p *pool) {
	for _, l := range p.lines {
		f, ok := l.lanes[onTime].first()
		if !ok {
			continue
		}
		w, _ := f.lanes[onTime].first()
		if q.headMisses(now, w) && q.preemptFor(now, w) {
			return
		}
	}
}

// headMisses reports whether a waiter at the head of its line is about to miss
// its target.
func (q *Queue) headMisses(now time.Time, w *waiter) bool {
	wait, known := q.expectedWait(now, w.line, w.line.pool.waitingAbove(w.line))
	if known {
		left := float64(w.FirstTokenBy.Sub(now))
		return float64(wait+w.line.pool.prefillTime(w.PromptTokens)) > missMargin*left
	}
	target := w.FirstTokenBy.Sub(w.waitsSince)
	return float64(now.Sub(w.waitsSince)) >= slackShare*float64(target)
}

// preemptFor preempts one running work of a lower tier for w, unless as many
// slots are already on their way as there are waiters of w's tier and above.
// It reports whether w can count on a slot.
func (q *Queue) preemptFor(now time.Time, w *waiter) bool {
	p := w.line.pool
	if p.preempting() >= p.waitingUpTo(w.line) {
		return true
	}
	r := q.victim(now, w)
	if r == nil {
		return false
	}
	u := r.worker
	u.preemptible.remove(r.preemptIndex)
	u.preempting++
	r.preempting = true
	r.preemptedAt = now
	r.checkAt = earlier(r.checkAt, now.Add(preemptPatience))
	q.leases.fix(r.leaseIndex)
	q.emit(Preempted{r.Reservation, r.Holder, u.Name})
	return true
}

// victim returns the running work to preempt for w; nil when there is none.
// Upstreams that would give w its first token in time go first.
func (q *Queue) victim(now time.Time, w *waiter) *running {
	var best *running
	var bestInTime bool
	for _, u := range w.line.pool.workers {
		r, ok := u.preemptible.first()
		if !ok || r.line.class.Tier <= w.line.class.Tier || !u.admits(w) {
			continue
		}
		if u.Limit(now) < u.InFlight()-u.preempting {
			continue
		}
		inTime := !now.Add(q.delay(now, w, u)).After(w.FirstTokenBy)
		if best == nil || q.prefers(r, inTime, best, bestInTime) {
			best, bestInTime = r, inTime
		}
	}
	return best
}

// prefers reports whether to preempt a rather than b: the lower tier, then
// where it helps in time, then what loses less.
func (q *Queue) prefers(a *running, aInTime bool, b *running, bInTime bool) bool {
	if a.line.class.Tier != b.line.class.Tier {
		return a.line.class.Tier > b.line.class.Tier
	}
	if aInTime != bInTime {
		return aInTime
	}
	return losesLess(a, b)
}

// keepRunning gives up on a preemption that the holder did not carry out.
func (q *Queue) keepRunning(r *running) {
	r.preempting = false
	r.worker.preempting--
	r.worker.preemptible.push(r)
}

// waitingUpTo counts the waiters of l's tier and above in the pool.
func (p *pool) waitingUpTo(l *line) int {
	n := 0
	for _, other := range p.lines {
		if other.class.Tier <= l.class.Tier {
			n += other.waiting
		}
	}
	return n
}

// waitingAbove counts the waiters of the tiers above l's in the pool.
func (p *pool) waitingAbove(l *line) int {
	n := 0
	for _, other := range p.lines {
		if other.class.Tier < l.class.Tier {
			n += other.waiting
		}
	}
	return n
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
