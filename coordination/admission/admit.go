package admission

import (
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

const (
	// missMargin is the share of the time left to the target that the
	// expected wait may take up.
	maxWaitShare = 0.8

	minRetryAfter     = 100 * time.Millisecond
	maxRetryAfter     = 30 * time.Second
	defaultRetryAfter = time.Second
)

func (q *Queue) arrive(now time.Time, r Request) {
	w := q.newWaiter(now, r)
	if reason := q.refusalReason(now, w); reason != "" {
		q.emit(Refused{r.Ticket, reason, 0})
		return
	}
	w.queue = q.classQueue(r.Pool, q.classes[r.Class])
	if latest := w.queue.latestGrant(now, r, q.prefillTime(w)); latest.Before(r.Deadline) && !w.isRequeued() {
		w.timerAt = latest
	}
	w.queue.lastArrival = now
	q.waiters[w.Ticket] = w
	q.timers.push(w)
	if !q.mayQueue(now, w) {
		q.park(w)
		return
	}
	q.enqueue(w)
	q.dispatch(now)
	if q.waiters[w.Ticket] == w {
		q.admit(now, w)
	}
}

func (q *Queue) newWaiter(now time.Time, r Request) *waiter {
	q.arrivals++
	w := &waiter{Request: r, sequence: q.arrivals, arrivedAt: now, timerAt: r.Deadline}
	estimate := q.lengths.Estimate(r.Class, r.Workspace)
	w.cost = max(1, r.PromptTokens+max(1, estimate.Median-r.ResumeOffset))
	w.remaining = max(1, estimate.High-r.ResumeOffset)
	return w
}

func (q *Queue) prefillTime(w *waiter) time.Duration {
	return q.Upstreams.PrefillTime(w.Pool, w.PromptTokens)
}

// impossible returns why a request can never be granted; empty when it may be.
func (q *Queue) refusalReason(now time.Time, w *waiter) Reason {
	switch {
	case q.classes[w.Class] == nil:
		return UnknownClass
	case !w.Deadline.After(now):
		return Deadline
	case q.copyLimit(now, w.Fingerprint) == 0:
		return Quarantined
	}
	return ""
}

func (q *Queue) copyLimit(now time.Time, f id.Fingerprint) int {
	if q.Suspects == nil {
		return suspect.UnlimitedCopies
	}
	return q.Suspects.MaxCopies(now, f)
}

func (q *Queue) enqueue(w *waiter) {
	q.addCopies(w.Fingerprint, 1)
	w.queue.add(w)
}

// admit refuses w, or what has to make room for it, when its class waits at its
// bound or its target can't be met. Resumed work is always admitted, and so is
// the only waiter of a class with a minimum share.
func (q *Queue) admit(now time.Time, w *waiter) {
	cq := w.queue
	full := cq.class.waiting > cq.class.QueueBound
	miss := q.expectsMiss(now, w)
	switch {
	case !full && !miss, w.ResumeOffset > 0, cq.waiting <= cq.protected():
		return
	case miss && q.preemptFor(now, w), q.displace(now, w), full && q.preemptFor(now, w):
		return
	case full:
		q.refuse(now, q.waiterToRefuse(cq, w), QueueFull, q.retryAfter(now, cq))
	case miss && !q.preemptibleElsewhere(now, cq):
		q.refuse(now, w, Target, q.retryAfter(now, cq))
	}
}

// surplus returns which waiter of a full line to refuse: one that is late, else
// one of the workspace with the most waiters, else w. Work that was granted before
// is not refused for other.
func (q *Queue) waiterToRefuse(cq *classQueue, w *waiter) *waiter {
	f, _ := cq.byWaiting.first()
	least := cq.leastUrgent()
	if least != nil && (len(cq.lanes[late].items) > 0 || f.waiting > w.flow.waiting) {
		return least
	}
	return w
}

// displace refuses a waiter of the lowest tier below w's, so that w can stay.
func (q *Queue) displace(now time.Time, w *waiter) bool {
	var lowest *classQueue
	for _, cq := range q.overlappingQueues(w.queue.pool) {
		if cq.class.Tier <= w.queue.class.Tier || cq.waiting <= cq.protected() || cq.leastUrgent() == nil {
			continue
		}
		if lowest == nil || cq.class.Tier > lowest.class.Tier {
			lowest = cq
		}
	}
	if lowest == nil {
		return false
	}
	q.refuse(now, lowest.leastUrgent(), Displaced, q.retryAfter(now, lowest))
	return true
}

// expectsMiss reports whether w is known to miss its target in the queue.
func (q *Queue) expectsMiss(now time.Time, w *waiter) bool {
	wait, known := q.expectedWait(now, w.queue, q.waitersAhead(w))
	if !known {
		return false
	}
	timeLeft := w.FirstTokenBy.Sub(now)
	return float64(wait+q.prefillTime(w)) > maxWaitShare*float64(timeLeft)
}

// ahead returns how many waiters are expected to be granted before w.
func (q *Queue) waitersAhead(w *waiter) int {
	cq := w.queue
	interleaved := max(0, w.flow.waiting-cq.burstGrants(w.flow))
	ahead := min(cq.waiting-1, w.flow.waiting-1+interleaved*(cq.activeFlows()-1))
	for _, other := range cq.pool.queues {
		if other != cq && other.class.Tier <= cq.class.Tier {
			ahead += other.waiting
		}
	}
	return ahead
}

// expectedWait returns how long a waiter with so many others ahead will wait,
// from the rate at which slots became free; false while that is unknown.
func (q *Queue) expectedWait(now time.Time, cq *classQueue, ahead int) (time.Duration, bool) {
	p := cq.pool
	perSecond, ok := p.releaseRate.perSecond(now)
	if !ok {
		return 0, false
	}
	for _, other := range p.queues {
		if other.waiting > 0 && other.class.Tier > cq.class.Tier {
			perSecond *= 1 - other.class.MinimumShare
		}
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second)), true
}

func (q *Queue) retryAfter(now time.Time, cq *classQueue) time.Duration {
	wait, ok := q.expectedWait(now, cq, cq.waiting)
	if !ok {
		return defaultRetryAfter
	}
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// refuse ends a waiter with an answer.
func (q *Queue) refuse(now time.Time, w *waiter, reason Reason, retryAfter time.Duration) {
	if q.drop(now, w) {
		q.emit(Refused{w.Ticket, reason, retryAfter})
	}
}

// drop forgets a waiter; it reports whether it still waited.
func (q *Queue) drop(now time.Time, w *waiter) bool {
	if q.waiters[w.Ticket] != w {
		return false
	}
	q.timers.remove(w.timerIndex)
	delete(q.waiters, w.Ticket)
	if w.parked {
		q.unpark(w)
		return true
	}
	w.queue.remove(w)
	q.addCopies(w.Fingerprint, -1)
	q.unparkWithinLimit(now, w.Fingerprint)
	return true
}

// timeOut handles a waiter whose target or deadline has passed.
func (q *Queue) timeOut(now time.Time, w *waiter) {
	if !w.Deadline.After(now) {
		q.refuse(now, w, Deadline, 0)
		return
	}
	w.timerAt = w.Deadline
	q.timers.fix(w.timerIndex)
	if w.parked {
		return
	}
	w.queue.markLate(w)
	if q.mustRefuseLate(now, w) {
		q.refuse(now, w, Target, q.retryAfter(now, w.queue))
	}
}

// hopeless reports whether a late waiter must be given up: others can still be
// on time, and nothing lower waits or runs that could make room.
func (q *Queue) mustRefuseLate(now time.Time, w *waiter) bool {
	cq := w.queue
	if cq.waiting <= cq.protected() || q.victim(now, w.Pool, cq.class.Tier) != nil || q.preemptibleElsewhere(now, cq) {
		return false
	}
	for _, other := range q.overlappingQueues(cq.pool) {
		if other.class.Tier > cq.class.Tier && other.waiting > other.protected() {
			return false
		}
	}
	for _, other := range cq.pool.queues {
		if other.class.Tier <= cq.class.Tier && other.hasNonLate() {
			return true
		}
	}
	return false
}
