package admission

import (
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

const (
	// maxWaitShare is the share of the time left until the first-token target
	// that the expected wait and the prefill may take up.
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

// refusalReason returns why a request can't be granted at all; it is empty
// when the request may be granted.
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
	if q.Quarantine == nil {
		return quarantine.UnlimitedCopies
	}
	return q.Quarantine.MaxCopies(now, f)
}

func (q *Queue) enqueue(w *waiter) {
	q.addCopies(w.Fingerprint, 1)
	w.queue.add(w)
}

// admit decides whether the new waiter w may stay in its queue. When the class
// has more waiters than its bound or w would miss its target, admit preempts a
// run, or refuses w or another waiter in its place. Resumed requests are always
// admitted, and so is the only waiter of a class with a minimum share.
func (q *Queue) admit(now time.Time, w *waiter) {
	cq := w.queue
	full := cq.class.waiting > cq.class.QueueBound
	miss := q.expectsMiss(now, w)
	switch {
	case !full && !miss, w.ResumeOffset > 0, cq.waiting <= cq.protectedWaiters():
		return
	case miss && q.preemptFor(now, w), q.displace(now, w), full && q.preemptFor(now, w):
		return
	case full:
		q.refuse(now, q.waiterToRefuse(cq, w), QueueFull, q.retryAfter(now, cq))
	case miss && !q.preemptibleElsewhere(now, cq):
		q.refuse(now, w, Target, q.retryAfter(now, cq))
	}
}

// waiterToRefuse returns the waiter of a full queue to refuse: a late one, else
// one of the workspace with the most waiters, else w. A requeued request is not
// refused to make room for another one.
func (q *Queue) waiterToRefuse(cq *classQueue, w *waiter) *waiter {
	f, _ := cq.byWaiting.first()
	least := cq.leastUrgent()
	if least != nil && (len(cq.lanes[late].items) > 0 || f.waiting > w.flow.waiting) {
		return least
	}
	return w
}

// displace refuses a waiter of the lowest tier below w's, so that w can stay. It
// reports whether there was one.
func (q *Queue) displace(now time.Time, w *waiter) bool {
	var lowest *classQueue
	for _, cq := range q.overlappingQueues(w.queue.pool) {
		if cq.class.Tier <= w.queue.class.Tier || cq.waiting <= cq.protectedWaiters() || cq.leastUrgent() == nil {
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

// expectsMiss reports whether w is expected to miss its first-token target. It
// returns false while the expected wait is unknown.
func (q *Queue) expectsMiss(now time.Time, w *waiter) bool {
	wait, known := q.expectedWait(now, w.queue, q.waitersAhead(w))
	if !known {
		return false
	}
	timeLeft := w.FirstTokenBy.Sub(now)
	return float64(wait+q.prefillTime(w)) > maxWaitShare*float64(timeLeft)
}

// waitersAhead returns how many waiters are expected to be granted before w. Once
// w's workspace has used up its burst, its requests alternate with those of the
// other workspaces that have waiters.
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

// expectedWait estimates the wait of a waiter that is granted after ahead others.
// The estimate is based on the recent rate at which runs ended, reduced by the
// minimum shares of the lower tiers that have waiters. It returns false while the
// rate is unknown.
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

// refuse removes a waiter and emits its refusal.
func (q *Queue) refuse(now time.Time, w *waiter, reason Reason, retryAfter time.Duration) {
	if q.drop(now, w) {
		q.emit(Refused{w.Ticket, reason, retryAfter})
	}
}

// drop removes a waiter; it reports whether the waiter was still waiting.
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

// timeOut handles a waiter that can no longer meet its target, or whose deadline
// has passed.
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

// mustRefuseLate reports whether to refuse a late waiter so that others can be on
// time: requests of its tier or a higher one that are not late wait in its pool,
// and no lower tier has a run to preempt or a waiter to displace.
func (q *Queue) mustRefuseLate(now time.Time, w *waiter) bool {
	cq := w.queue
	if cq.waiting <= cq.protectedWaiters() || q.victim(now, w.Pool, cq.class.Tier) != nil || q.preemptibleElsewhere(now, cq) {
		return false
	}
	for _, other := range q.overlappingQueues(cq.pool) {
		if other.class.Tier > cq.class.Tier && other.waiting > other.protectedWaiters() {
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
