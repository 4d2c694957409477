package queue

import (
	"slices"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

// mayQueue reports whether one more request of w's fingerprint may be queued or
// running beside the present ones.
func (q *Queue) mayQueue(now time.Time, w *waiter) bool {
	return q.copies[w.Fingerprint] < q.copyLimit(now, w.Fingerprint)
}

// park keeps a waiter out of its line until a request of the same fingerprint
// ends.
func (q *Queue) park(w *waiter) {
	if w.line.class.waiting >= w.line.class.QueueBound {
		q.timers.remove(w.timerIndex)
		delete(q.waiters, w.Reservation)
		q.emit(Refused{w.Reservation, RefusedQueueFull, defaultRetryAfter})
		return
	}
	w.parked = true
	w.line.class.waiting++
	q.parked[w.Fingerprint] = append(q.parked[w.Fingerprint], w)
}

func (q *Queue) unpark(w *waiter) {
	f := w.Fingerprint
	w.parked = false
	w.line.class.waiting--
	q.parked[f] = slices.DeleteFunc(q.parked[f], func(x *waiter) bool { return x == w })
	if len(q.parked[f]) == 0 {
		delete(q.parked, f)
	}
}

// count adds to the queued and running requests of a fingerprint.
func (q *Queue) count(f id.Fingerprint, change int) {
	if f == 0 || q.Suspects == nil {
		return
	}
	q.copies[f] += change
	if q.copies[f] <= 0 {
		delete(q.copies, f)
	}
}

// settle lets the parked waiters of a fingerprint in as far as its limit
// allows, or refuses them when it is quarantined.
func (q *Queue) settle(now time.Time, f id.Fingerprint) {
	limit := q.copyLimit(now, f)
	for len(q.parked[f]) > 0 {
		w := q.parked[f][0]
		if limit == 0 {
			q.refuse(now, w, RefusedQuarantined, 0)
			continue
		}
		if q.copies[f] >= limit {
			return
		}
		q.unpark(w)
		q.enqueue(w)
		if !w.FirstTokenBy.After(now) && !w.front() {
			w.line.miss(w)
		}
	}
}

// crash tells the suspects' tracker of a crash, once for all that was in
// flight. Queued requests of fingerprints that it quarantines are refused.
func (q *Queue) crash(now time.Time, r *running) {
	u := r.worker
	if !r.grantedAt.After(u.crashedAt) {
		return
	}
	u.crashedAt = now
	u.Health.Crashed(now)
	q.affinity.Forget(u.Name)
	if q.Suspects == nil {
		return
	}
	ev := suspect.Crashed{Upstream: u.Name}
	for _, other := range u.sortedRunning() {
		ev.InFlight = append(ev.InFlight, suspect.InFlight{Request: other.Request, Fingerprint: other.Fingerprint})
	}
	q.track(now, ev)
}

// track passes an event to the suspects' tracker and carries its effects out.
func (q *Queue) track(now time.Time, ev suspect.Event) {
	for _, effect := range q.Suspects.Step(now, ev) {
		if spread, ok := effect.(suspect.Spread); ok {
			q.emit(CrashSeen{spread.Records})
		}
	}
	q.refuseQuarantined(now)
}

// refuseQuarantined refuses the waiters of fingerprints whose quarantine has
// begun since the last look.
func (q *Queue) refuseQuarantined(now time.Time) {
	if q.Suspects == nil || q.begun == q.Suspects.Begun() {
		return
	}
	q.begun = q.Suspects.Begun()
	for _, w := range q.sortedWaiters() {
		if q.copyLimit(now, w.Fingerprint) == 0 {
			q.refuse(now, w, RefusedQuarantined, 0)
		}
	}
}

// hear takes crash records of other instances over; what they quarantine and
// waits here is refused.
func (q *Queue) hear(now time.Time, ev Heard) {
	if q.Suspects != nil {
		q.track(now, suspect.Heard{Records: ev.Records})
	}
}

func (q *Queue) suspected(now time.Time, f id.Fingerprint) bool {
	return q.Suspects != nil && f != 0 && q.Suspects.Verdict(now, f) == suspect.Suspected
}

// isolation says what a request may not run beside.
type isolation struct {
	fingerprint id.Fingerprint
	// never forbids every upstream.
	never bool
	// unproven requests run beside no equal one.
	unproven bool
	// suspect requests run beside no other suspect.
	suspect bool
}

func (q *Queue) isolation(now time.Time, f id.Fingerprint) isolation {
	if q.Suspects == nil || f == 0 {
		return isolation{}
	}
	limit := q.copyLimit(now, f)
	return isolation{
		fingerprint: f,
		never:       limit == 0,
		unproven:    limit < suspect.Unlimited,
		suspect:     q.suspected(now, f),
	}
}

// apart reports whether a request with the given isolation may run at u.
func (q *Queue) apart(now time.Time, i isolation, u *worker) bool {
	if i.never || (i.unproven && u.fingerprints[i.fingerprint] > 0) {
		return false
	}
	if !i.suspect {
		return true
	}
	for f := range u.fingerprints {
		if q.suspected(now, f) {
			return false
		}
	}
	return true
}
