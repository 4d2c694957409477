package admission

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

func (q *Queue) release(now time.Time, ev Released) {
	r := q.running[ev.Ticket]
	if r == nil {
		return
	}
	r.tokens = max(r.tokens, ev.Tokens)
	if ev.FirstToken > 0 {
		r.line.started(ev.FirstToken)
	}
	switch ev.Outcome {
	case Completed:
		q.lengths.Observe(r.Class, r.Workspace, r.tokens)
		if q.Suspects != nil {
			q.track(now, suspect.Completed{Fingerprint: r.Fingerprint})
		}
	case Crashed:
		q.crash(now, r)
	}
	q.end(now, r)
}

// end forgets a run, settles what its workspace was charged, and grants anew.
func (q *Queue) end(now time.Time, r *running) {
	delete(q.running, r.Ticket)
	r.line.charge(r.Workspace, float64(r.tokens-r.ResumeOffset-r.charged))
	q.count(r.Fingerprint, -1)
	q.settle(now, r.Fingerprint)
	r.line.pool.frees.add(now)
	q.dispatch(now)
}

func (q *Queue) withdraw(now time.Time, t Ticket) {
	if w := q.waiters[t]; w != nil {
		q.drop(now, w)
		q.dispatch(now)
		return
	}
	if r := q.running[t]; r != nil {
		q.end(now, r)
	}
}

// crash tells the suspects' tracker of a crash, once for all that this entry
// had in flight there.
func (q *Queue) crash(now time.Time, r *running) {
	if r.crashed || q.Suspects == nil {
		return
	}
	ev := suspect.Crashed{Upstream: r.upstream}
	for _, other := range q.sortedRunning() {
		if other.upstream == r.upstream {
			other.crashed = true
			ev.InFlight = append(ev.InFlight, suspect.InFlight{Request: other.Request.Request, Fingerprint: other.Fingerprint})
		}
	}
	q.track(now, ev)
}

func (q *Queue) sortedRunning() []*running {
	return slices.SortedFunc(maps.Values(q.running), func(a, b *running) int {
		return cmp.Compare(a.Ticket, b.Ticket)
	})
}

// confined reports whether a suspicion keeps a request from upstreams: an
// unproven one runs beside no equal one, a suspect beside no other.
func (q *Queue) confined(now time.Time, f id.Fingerprint) bool {
	if q.Suspects == nil || f == 0 || q.copyLimit(now, f) == suspect.UnlimitedCopies {
		return false
	}
	return q.copies[f] > 1 || q.suspected(now, f)
}

// apart returns which upstreams a request must not run at, by what this entry
// runs there.
func (q *Queue) apart(now time.Time, f id.Fingerprint) func(id.Upstream) bool {
	avoided := map[id.Upstream]bool{}
	if q.confined(now, f) {
		suspected := q.suspected(now, f)
		for _, r := range q.running {
			if r.Fingerprint == f || suspected && q.suspected(now, r.Fingerprint) {
				avoided[r.upstream] = true
			}
		}
	}
	return func(u id.Upstream) bool { return avoided[u] }
}
