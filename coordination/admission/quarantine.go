package admission

import (
	"slices"
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

// mayQueue reports whether one more request of w's fingerprint may be queued or
// running in addition to the present ones.
func (q *Queue) mayQueue(now time.Time, w *waiter) bool {
	return q.copies[w.Fingerprint] < q.copyLimit(now, w.Fingerprint)
}

// park keeps a waiter out of its class queue until a request of the same
// fingerprint ends, or refuses it when the class has as many waiters as its bound
// allows.
func (q *Queue) park(w *waiter) {
	if w.queue.class.waiting >= w.queue.class.QueueBound {
		q.timers.remove(w.timerIndex)
		delete(q.waiters, w.Ticket)
		q.emit(Refused{w.Ticket, QueueFull, defaultRetryAfter})
		return
	}
	w.parked = true
	w.queue.class.waiting++
	q.parked[w.Fingerprint] = append(q.parked[w.Fingerprint], w)
}

func (q *Queue) unpark(w *waiter) {
	f := w.Fingerprint
	w.parked = false
	w.queue.class.waiting--
	q.parked[f] = slices.DeleteFunc(q.parked[f], func(x *waiter) bool { return x == w })
	if len(q.parked[f]) == 0 {
		delete(q.parked, f)
	}
}

// addCopies adds delta to the number of queued and running requests of a
// fingerprint.
func (q *Queue) addCopies(f id.Fingerprint, delta int) {
	if f == 0 || q.Quarantine == nil {
		return
	}
	q.copies[f] += delta
	if q.copies[f] <= 0 {
		delete(q.copies, f)
	}
}

// unparkWithinLimit queues the parked waiters of a fingerprint as far as its limit
// of copies allows, or refuses them when the fingerprint is quarantined.
func (q *Queue) unparkWithinLimit(now time.Time, f id.Fingerprint) {
	limit := q.copyLimit(now, f)
	for len(q.parked[f]) > 0 {
		w := q.parked[f][0]
		if limit == 0 {
			q.refuse(now, w, Quarantined, 0)
			continue
		}
		if q.copies[f] >= limit {
			return
		}
		q.unpark(w)
		q.enqueue(w)
		if !w.FirstTokenBy.After(now) && !w.isRequeued() {
			w.queue.markLate(w)
		}
	}
}

// stepQuarantine passes an event to the quarantine tracker, carries out its effects
// and refuses the waiters that are quarantined now.
func (q *Queue) stepQuarantine(now time.Time, ev quarantine.Event) {
	for _, effect := range q.Quarantine.Step(now, ev) {
		if broadcast, ok := effect.(quarantine.BroadcastRecords); ok {
			q.emit(BroadcastCrashRecords{broadcast.Records})
		}
	}
	q.refuseQuarantined(now)
}

// refuseQuarantined refuses the waiters of fingerprints whose quarantine has
// started since the last check.
func (q *Queue) refuseQuarantined(now time.Time) {
	if q.Quarantine == nil || q.quarantinesChecked == q.Quarantine.QuarantinesStarted() {
		return
	}
	q.quarantinesChecked = q.Quarantine.QuarantinesStarted()
	for _, w := range q.sortedWaiters() {
		if q.copyLimit(now, w.Fingerprint) == 0 {
			q.refuse(now, w, Quarantined, 0)
		}
	}
}

func (q *Queue) suspected(now time.Time, f id.Fingerprint) bool {
	return q.Quarantine != nil && f != 0 && q.Quarantine.Verdict(now, f) == quarantine.Suspected
}
