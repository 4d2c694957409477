package queue

import (
	"math"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

const (
	// missMargin is the share of the time left to the target that the
	// expected wait may take up.
	missMargin = 0.8

	leastRetryAfter   = 100 * time.Millisecond
	mostRetryAfter    = 30 * time.Second
	defaultRetryAfter = time.Second
)

func (q *Queue) arrive(now time.Time, ev Arrived) {
	if r := q.running[ev.Reservation]; r != nil {
		q.emitGranted(r)
		return
	}
	if q.waiters[ev.Reservation] != nil {
		return
	}
	w := q.newWaiter(now, ev)
	if reason := q.impossible(now, w); reason != "" {
		q.emit(Refused{ev.Reservation, reason, q.impossibleFor(now, w, reason)})
		return
	}
	if after, ok := q.restsTooLong(now, w); ok {
		q.emit(Refused{ev.Reservation, RefusedNoUpstream, after})
		return
	}
	w.line = q.pools[ev.Pool].line(q.classes[ev.Class])
	if latest := w.line.latestGrant(now, ev); latest.Before(ev.Deadline) && !w.front() {
		w.timerAt = latest
	}
	w.line.arrivedAt = now
	q.waiters[w.Reservation] = w
	q.timers.push(w)
	if !q.mayQueue(now, w) {
		q.park(w)
		return
	}
	q.enqueue(w)
	q.dispatch(now, w.line.pool.near)
	if q.waiters[w.Reservation] == w {
		q.admit(now, w)
	}
}

func (q *Queue) newWaiter(now time.Time, ev Arrived) *waiter {
	q.arrivals++
	w := &waiter{Arrived: ev, sequence: q.arrivals, waitsSince: now, timerAt: ev.Deadline}
	median, high := q.remaining(ev)
	w.cost = max(1, ev.PromptTokens+median)
	w.need = ev.PromptTokens + ev.ResumeOffset + high
	return w
}

// remaining estimates the answer tokens that are still to come.
func (q *Queue) remaining(ev Arrived) (median, high id.Tokens) {
	if q.WithoutEstimates {
		return defaultRemaining, defaultRemaining
	}
	guess := q.lengths.Estimate(ev.Class, ev.Workspace)
	return max(1, guess.Median-ev.ResumeOffset), max(1, guess.High-ev.ResumeOffset)
}

const defaultRemaining = id.Tokens(256)

// impossible returns why a request can never be granted here; empty when it can.
func (q *Queue) impossible(now time.Time, w *waiter) RefusalReason {
	switch {
	case q.classes[w.Class] == nil:
		return RefusedUnknownClass
	case !q.pools[w.Pool].admits(w):
		return RefusedNoUpstream
	case !w.Deadline.After(now):
		return RefusedDeadline
	case q.copyLimit(now, w.Fingerprint) == 0:
		return RefusedQuarantined
	}
	return ""
}

// impossibleFor returns when a request that can't be granted now could be; 0
// when unknown.
func (q *Queue) impossibleFor(now time.Time, w *waiter, reason RefusalReason) time.Duration {
	if reason != RefusedNoUpstream {
		return 0
	}
	return q.pools[w.Pool].restLeft(now)
}

func (q *Queue) copyLimit(now time.Time, f id.Fingerprint) int {
	if q.Suspects == nil {
		return suspect.Unlimited
	}
	return q.Suspects.Copies(now, f)
}

func (q *Queue) enqueue(w *waiter) {
	q.count(w.Fingerprint, 1)
	w.line.add(w)
}

// admit refuses w, or what has to make room for it, when its class waits at its
// bound or its target can't be met. Resumed work is always admitted, and so is
// the only waiter of a class with a minimum share.
func (q *Queue) admit(now time.Time, w *waiter) {
	l := w.line
	full := l.class.waiting > l.class.QueueBound
	miss := q.expectsMiss(now, w)
	switch {
	case !full && !miss && !q.risksMiss(now, w), w.ResumeOffset > 0, l.waiting <= l.protected():
		return
	case (miss || q.risksMiss(now, w)) && q.preemptFor(now, w):
		return
	case (full || miss) && q.displace(now, w):
		return
	case full && q.preemptFor(now, w):
		return
	case full:
		q.refuse(now, q.surplus(l, w), RefusedQueueFull, q.retryAfter(now, l))
	case miss:
		q.refuse(now, w, RefusedTarget, q.retryAfter(now, l))
	}
}

// surplus returns which waiter of a full line to refuse: one that is late, else
// one of the workspace with the most waiters, else w.
func (q *Queue) surplus(l *line, w *waiter) *waiter {
	f, _ := l.crowded.first()
	if len(l.lanes[late].items) > 0 || f.waiting > w.flow.waiting {
		return l.leastUrgent()
	}
	return w
}

// displace refuses a waiter of the lowest tier below w's, so that w can stay.
func (q *Queue) displace(now time.Time, w *waiter) bool {
	var lowest *line
	for _, p := range w.line.pool.near {
		for _, l := range p.lines {
			if l.class.Tier <= w.line.class.Tier || l.waiting <= l.protected() {
				continue
			}
			if lowest == nil || l.class.Tier > lowest.class.Tier {
				lowest = l
			}
		}
	}
	if lowest == nil {
		return false
	}
	q.refuse(now, lowest.leastUrgent(), RefusedDisplaced, q.retryAfter(now, lowest))
	return true
}

// expectsMiss reports whether w is known to miss its target in the queue.
func (q *Queue) expectsMiss(now time.Time, w *waiter) bool {
	wait, known := q.expectedWait(now, w.line, q.ahead(w))
	if !known {
		return false
	}
	left := w.FirstTokenBy.Sub(now)
	return float64(wait+w.line.pool.prefillTime(w.PromptTokens)) > missMargin*float64(left)
}

// risksMiss reports whether w, by the spread of waits, has more than a small
// chance to miss its target.
func (q *Queue) risksMiss(now time.Time, w *waiter) bool {
	ahead := q.ahead(w)
	wait, known := q.expectedWait(now, w.line, ahead+1+int(2.5*math.Sqrt(float64(ahead+1))))
	left := w.FirstTokenBy.Sub(now) - w.line.pool.prefillTime(w.PromptTokens)
	return known && wait > left
}

// ahead returns how many waiters are expected to be granted before w.
func (q *Queue) ahead(w *waiter) int {
	l := w.line
	behind := max(0, w.flow.waiting-l.turnsAhead(w.flow))
	own := min(l.waiting-1, w.flow.waiting-1+behind*(l.active()-1))
	for _, other := range l.pool.lines {
		if other != l && other.class.Tier <= l.class.Tier {
			own += other.waiting
		}
	}
	return own
}

// expectedWait returns how long a waiter with so many others ahead will wait,
// from the rate at which slots became free; false while that is unknown.
func (q *Queue) expectedWait(now time.Time, l *line, ahead int) (time.Duration, bool) {
	p := l.pool
	slots := ahead + 1 - p.preempting()
	if slots <= 0 {
		return 0, true
	}
	perSecond, ok := p.frees.perSecond(now)
	if !ok {
		return 0, false
	}
	for _, other := range p.lines {
		if other.waiting > 0 && other.class.Tier > l.class.Tier {
			perSecond *= 1 - other.class.MinimumShare
		}
	}
	return time.Duration(float64(slots) / perSecond * float64(time.Second)), true
}

func (q *Queue) retryAfter(now time.Time, l *line) time.Duration {
	wait, ok := q.expectedWait(now, l, l.waiting)
	if !ok {
		return defaultRetryAfter
	}
	return min(max(wait, leastRetryAfter), mostRetryAfter)
}

// refuse ends a waiter with an answer.
func (q *Queue) refuse(now time.Time, w *waiter, reason RefusalReason, after time.Duration) {
	if q.drop(now, w) {
		q.emit(Refused{w.Reservation, reason, after})
	}
}

// drop forgets a waiter; it reports whether it still waited.
func (q *Queue) drop(now time.Time, w *waiter) bool {
	if q.waiters[w.Reservation] != w {
		return false
	}
	q.timers.remove(w.timerIndex)
	delete(q.waiters, w.Reservation)
	if w.parked {
		q.unpark(w)
		return true
	}
	w.line.remove(w)
	q.count(w.Fingerprint, -1)
	q.settle(now, w.Fingerprint)
	return true
}

// timeOut handles a waiter whose target or deadline has passed.
func (q *Queue) timeOut(now time.Time, w *waiter) {
	if !w.Deadline.After(now) {
		q.refuse(now, w, RefusedDeadline, 0)
		return
	}
	w.timerAt = w.Deadline
	q.timers.fix(w.timerIndex)
	if w.parked {
		return
	}
	w.line.miss(w)
	if q.hopeless(now, w) {
		q.refuse(now, w, RefusedTarget, q.retryAfter(now, w.line))
	}
}

// hopeless reports whether a late waiter must be given up: others can still be
// on time, and nothing lower waits or could be preempted.
func (q *Queue) hopeless(now time.Time, w *waiter) bool {
	l := w.line
	if l.waiting <= l.protected() || q.victim(now, w) != nil {
		return false
	}
	for _, p := range l.pool.near {
		for _, other := range p.lines {
			if other.class.Tier > l.class.Tier && other.waiting > other.protected() {
				return false
			}
		}
	}
	for _, other := range l.pool.lines {
		if other.class.Tier <= l.class.Tier && other.inTime() {
			return true
		}
	}
	return false
}
