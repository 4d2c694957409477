package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

func (q *Queue) release(now time.Time, ev Released) {
	r := q.running[ev.Ticket]
	if r == nil {
		return
	}
	r.tokens = max(r.tokens, ev.Tokens)
	if ev.FirstToken > 0 {
		r.queue.observeStartup(ev.FirstToken)
	}
	switch ev.Outcome {
	case Completed:
		q.lengths.Observe(r.Class, r.Workspace, r.tokens)
		if q.Quarantine != nil {
			q.stepQuarantine(now, quarantine.Completed{Fingerprint: r.Fingerprint})
		}
	case Crashed:
		q.reportCrash(now, r)
	}
	q.endRun(now, r)
}

// endRun removes a run, adjusts the charge of its workspace to the tokens that the
// run used, and grants the next requests.
func (q *Queue) endRun(now time.Time, r *run) {
	delete(q.running, r.Ticket)
	r.queue.charge(r.Workspace, float64(r.tokens-r.ResumeOffset-r.charged))
	q.addCopies(r.Fingerprint, -1)
	q.unparkWithinLimit(now, r.Fingerprint)
	r.queue.pool.releaseRate.add(now)
	q.dispatch(now)
}

func (q *Queue) withdraw(now time.Time, t Ticket) {
	if w := q.waiters[t]; w != nil {
		q.drop(now, w)
		q.dispatch(now)
		return
	}
	if r := q.running[t]; r != nil {
		q.endRun(now, r)
	}
}

// reportCrash reports the crash of a run's upstream to the quarantine tracker, once
// for all runs that this instance had in flight there.
func (q *Queue) reportCrash(now time.Time, r *run) {
	if r.crashed || q.Quarantine == nil {
		return
	}
	ev := quarantine.Crashed{Upstream: r.upstream}
	for _, other := range q.sortedRunning() {
		if other.upstream == r.upstream {
			other.crashed = true
			ev.InFlight = append(ev.InFlight, quarantine.InFlight{Request: other.Request.Request, Fingerprint: other.Fingerprint})
		}
	}
	q.stepQuarantine(now, ev)
}

func (q *Queue) sortedRunning() []*run {
	return slices.SortedFunc(maps.Values(q.running), func(a, b *run) int {
		return cmp.Compare(a.Ticket, b.Ticket)
	})
}

// needsIsolation reports whether requests of a fingerprint must avoid some upstreams,
// because they may crash the one that runs them. Requests of one fingerprint don't
// share an upstream until one of them has completed without a later crash; suspected
// ones don't share it with those of other suspected fingerprints either.
func (q *Queue) needsIsolation(now time.Time, f id.Fingerprint) bool {
	if q.Quarantine == nil || f == 0 || q.copyLimit(now, f) == quarantine.UnlimitedCopies {
		return false
	}
	return q.copies[f] > 1 || q.suspected(now, f)
}

// avoidedUpstreams returns a function that reports whether requests of a
// fingerprint must not run at an upstream, because of what this instance runs there.
func (q *Queue) avoidedUpstreams(now time.Time, f id.Fingerprint) func(id.Upstream) bool {
	avoided := map[id.Upstream]bool{}
	if q.needsIsolation(now, f) {
		suspected := q.suspected(now, f)
		for _, r := range q.running {
			if r.Fingerprint == f || suspected && q.suspected(now, r.Fingerprint) {
				avoided[r.upstream] = true
			}
		}
	}
	return func(u id.Upstream) bool { return avoided[u] }
}
