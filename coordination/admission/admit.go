package admission

import (
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

func (q *Queue) arrive(now time.Time, r Request) {
	w := q.newWaiter(now, r)
	if reason := q.impossible(now, w); reason != "" {
		q.emit(Refused{r.Ticket, reason, 0})
		return
	}
	w.line = q.line(r.Pool, q.classes[r.Class])
	if latest := w.line.latestGrant(now, r, q.prefillTime(w)); latest.Before(r.Deadline) && !w.front() {
		w.timerAt = latest
	}
	w.line.arrivedAt = now
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
	guess := q.lengths.Estimate(r.Class, r.Workspace)
	w.cost = max(1, r.PromptTokens+max(1, guess.Median-r.ResumeOffset))
	w.remaining = max(1, guess.High-r.ResumeOffset)
	return w
}

func (q *Queue) prefillTime(w *waiter) time.Duration {
	return q.Upstreams.PrefillTime(w.Pool, w.PromptTokens)
}

// impossible returns why a request can never be granted; empty when it may be.
func (q *Queue) impossible(now time.Time, w *waiter) Reason {
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
	case !full && !miss, w.ResumeOffset > 0, l.waiting <= l.protected():
		return
	case miss && q.preemptFor(now, w), q.displace(now, w), full && q.preemptFor(now, w):
		return
	case full:
		q.refuse(now, q.surplus(l, w), QueueFull, q.retryAfter(now, l))
	case miss && !q.lowerElsewhere(now, l):
		q.refuse(now, w, Target, q.retryAfter(now, l))
	}
}

// surplus returns which waiter of a full line to refuse: one that is late, else
// one of the workspace with the most waiters, else w. Work that was granted before
// is not refused for other.
func (q *Queue) surplus(l *line, w *waiter) *waiter {
	f, _ := l.crowded.first()
	other := l.leastUrgent()
	if other != nil && (len(l.lanes[late].items) > 0 || f.waiting > w.flow.waiting) {
		return other
	}
	return w
}

// displace refuses a waiter of the lowest tier below w's, so that w can stay.
func (q *Queue) displace(now time.Time, w *waiter) bool {
	var lowest *line
	for _, l := range q.near(w.line.pool) {
		if l.class.Tier <= w.line.class.Tier || l.waiting <= l.protected() || l.leastUrgent() == nil {
			continue
		}
		if lowest == nil || l.class.Tier > lowest.class.Tier {
			lowest = l
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
	wait, known := q.expectedWait(now, w.line, q.ahead(w))
	if !known {
		return false
	}
	left := w.FirstTokenBy.Sub(now)
	return float64(wait+q.prefillTime(w)) > missMargin*float64(left)
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
	perSecond, ok := p.frees.perSecond(now)
	if !ok {
		return 0, false
	}
	for _, other := range p.lines {
		if other.waiting > 0 && other.class.Tier > l.class.Tier {
			perSecond *= 1 - other.class.MinimumShare
		}
	}
	return time.Duration(float64(ahead+1) / perSecond * float64(time.Second)), true
}

func (q *Queue) retryAfter(now time.Time, l *line) time.Duration {
	wait, ok := q.expectedWait(now, l, l.waiting)
	if !ok {
		return defaultRetryAfter
	}
	return min(max(wait, leastRetryAfter), mostRetryAfter)
}

// refuse ends a waiter with an answer.
func (q *Queue) refuse(now time.Time, w *waiter, reason Reason, after time.Duration) {
	if q.drop(now, w) {
		q.emit(Refused{w.Ticket, reason, after})
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
	w.line.remove(w)
	q.count(w.Fingerprint, -1)
	q.settle(now, w.Fingerprint)
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
	w.line.miss(w)
	if q.hopeless(now, w) {
		q.refuse(now, w, Target, q.retryAfter(now, w.line))
	}
}

// hopeless reports whether a late waiter must be given up: others can still be
// on time, and nothing lower waits or runs that could make room.
func (q *Queue) hopeless(now time.Time, w *waiter) bool {
	l := w.line
	if l.waiting <= l.protected() || q.victim(now, w.Pool, l.class.Tier) != nil || q.lowerElsewhere(now, l) {
		return false
	}
	for _, other := range q.near(l.pool) {
		if other.class.Tier > l.class.Tier && other.waiting > other.protected() {
			return false
		}
	}
	for _, other := range l.pool.lines {
		if other.class.Tier <= l.class.Tier && other.inTime() {
			return true
		}
	}
	return false
}
