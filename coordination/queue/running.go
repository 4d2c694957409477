package queue

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/coordination/upstream"
	"samphirehead/state/id"
)

// stallGrace is how much later than expected a first token may be reported.
const stallGrace = 500 * time.Millisecond

func (q *Queue) emitGranted(r *running) {
	q.emit(Granted{r.Reservation, r.Holder, r.worker.Name, q.lease()})
}

func (q *Queue) lease() time.Duration {
	if q.Lease > 0 {
		return q.Lease
	}
	return defaultLease
}

// renew sets the lease's end half a lease later than the holder knows, so that
// the holder stops first.
func (q *Queue) renew(now time.Time, r *running) {
	lease := q.lease()
	r.leaseEnd = now.Add(lease + lease/2)
}

// run enters granted work into the books.
func (q *Queue) run(now time.Time, r *running, u *worker) {
	r.worker = u
	r.preemptIndex = -1
	r.progressAt = now
	q.renew(now, r)
	r.checkAt = r.leaseEnd
	q.running[r.Reservation] = r
	u.hold(r)
	q.leases.push(r)
	if u.Resumes && !r.MustNotPreempt && !r.kept {
		u.preemptible.push(r)
	}
}

func (q *Queue) register(now time.Time, ev Registered) {
	if q.running[ev.Reservation] != nil {
		q.progress(now, Progressed{ev.Reservation, ev.Tokens})
		return
	}
	u, c, p := q.workers[ev.Upstream], q.classes[ev.Class], q.pools[ev.Pool]
	if u == nil || c == nil || p == nil {
		return
	}
	if w := q.waiters[ev.Reservation]; w != nil {
		q.drop(now, w)
	}
	w := q.newWaiter(now, ev.Arrived)
	r := &running{
		Arrived:   ev.Arrived,
		line:      p.line(c),
		tokens:    max(ev.Tokens, ev.ResumeOffset),
		charged:   max(w.cost-w.PromptTokens, ev.Tokens-ev.ResumeOffset),
		need:      max(w.need, ev.PromptTokens+ev.Tokens),
		prefilled: ev.Tokens > ev.ResumeOffset,
		grantedAt: now,
	}
	r.line.arrivedAt = now
	q.count(r.Fingerprint, 1)
	u.Register(now, r.PromptTokens, r.need, r.prefilled)
	q.run(now, r, u)
}

func (q *Queue) progress(now time.Time, ev Progressed) {
	r := q.running[ev.Reservation]
	if r == nil {
		return
	}
	q.renew(now, r)
	q.advanceTokens(now, r, ev.Tokens)
}

// advanceTokens notes the tokens of an answer so far and corrects what was
// estimated.
func (q *Queue) advanceTokens(now time.Time, r *running, tokens id.Tokens) {
	if tokens <= r.tokens {
		return
	}
	u := r.worker
	if r.prefilled {
		u.Speed.Gap(now.Sub(r.progressAt) / time.Duration(tokens-r.tokens))
	}
	q.markPrefilled(r)
	r.progressAt = now
	r.tokens = tokens
	if more := tokens - r.ResumeOffset - r.charged; more > 0 {
		r.charged += more
		r.line.charge(r.Workspace, float64(more))
	}
	if r.PromptTokens+tokens > r.need {
		more := r.PromptTokens + 2*tokens - r.need
		r.need += more
		u.Grow(more)
	}
	if r.preemptIndex >= 0 {
		u.preemptible.fix(r.preemptIndex)
	}
}

func (q *Queue) markPrefilled(r *running) {
	if r.prefilled {
		return
	}
	r.prefilled = true
	r.worker.Prefilled(r.PromptTokens)
	q.endLarge(r)
}

func (q *Queue) endLarge(r *running) {
	if r.large {
		r.large = false
		r.worker.large--
	}
}

func (q *Queue) release(now time.Time, ev Released) {
	r := q.running[ev.Reservation]
	if r == nil {
		return
	}
	if ev.Tokens > r.tokens {
		r.tokens = ev.Tokens
	}
	u := r.worker
	healthy := !u.Health.Ejected(now)
	q.learn(now, r, ev)
	q.end(now, r)
	if healthy && u.Health.Ejected(now) {
		q.rest(now, u.pools)
	}
}

// learn takes in what the end of a reservation says of its upstream and class.
func (q *Queue) learn(now time.Time, r *running, ev Released) {
	u := r.worker
	if ev.FirstToken > 0 {
		r.line.started(ev.FirstToken)
	}
	if ev.FirstToken > 0 && !q.WithoutSlowing {
		u.Speed.FirstToken(ev.FirstToken, r.expected)
		for _, p := range u.pools {
			p.compareSpeeds(now)
		}
	}
	switch ev.Outcome {
	case Completed:
		u.Health.Succeeded()
		q.lengths.Observe(r.Class, r.Workspace, r.tokens)
		if q.Suspects != nil {
			q.track(now, suspect.Completed{Fingerprint: r.Fingerprint})
		}
	case Failed:
		u.Health.Failed(now)
	case Unreachable:
		u.Health.Crashed(now)
	case Crashed:
		q.crash(now, r)
	case Cancelled, OutcomePreempted:
		if r.prefilled {
			u.Health.Succeeded()
		}
	}
}

func (p *pool) compareSpeeds(now time.Time) {
	peers := make([]*upstream.Speed, len(p.workers))
	for i, u := range p.workers {
		peers[i] = &u.Speed
	}
	upstream.Compare(now, peers)
}

// end frees the slot of a reservation, settles what its workspace was charged,
// and grants the slot anew.
func (q *Queue) end(now time.Time, r *running) {
	u := r.worker
	r.ended = true
	q.leases.remove(r.leaseIndex)
	delete(q.running, r.Reservation)
	u.letGo(r)
	if r.preemptIndex >= 0 {
		u.preemptible.remove(r.preemptIndex)
	}
	if r.preempting {
		u.preempting--
	}
	q.endLarge(r)
	u.End(now, r.PromptTokens, r.need, r.prefilled)
	r.line.charge(r.Workspace, float64(r.tokens-r.ResumeOffset-r.charged))
	q.count(r.Fingerprint, -1)
	q.settle(now, r.Fingerprint)
	for _, p := range u.pools {
		p.frees.add(now)
	}
	if u.draining {
		q.forgetDrained(u)
		return
	}
	q.dispatch(now, u.pools)
}

func (q *Queue) forgetDrained(u *worker) {
	if len(u.running) > 0 {
		return
	}
	delete(q.workers, u.Name)
	q.workerOrder = slices.DeleteFunc(q.workerOrder, func(x *worker) bool { return x == u })
}

func (q *Queue) withdraw(now time.Time, name id.Reservation) {
	if w := q.waiters[name]; w != nil {
		q.drop(now, w)
		q.dispatch(now, w.line.pool.near)
		return
	}
	if r := q.running[name]; r != nil {
		q.end(now, r)
	}
}

func (q *Queue) report(now time.Time, ev Reported) {
	u := q.workers[ev.Upstream]
	if u == nil {
		return
	}
	u.Report(ev.AsOf, ev.Running, ev.Waiting, ev.KVUsed)
	q.dispatch(now, u.pools)
}

func (q *Queue) cache(ev Cached) {
	if ev.Gap {
		q.affinity.Forget(ev.Upstream)
	}
	q.affinity.Store(ev.Upstream, ev.Stored)
	q.affinity.Evict(ev.Upstream, ev.Evicted)
}

func (q *Queue) loseHolder(now time.Time, lost id.Instance) {
	for _, w := range q.sortedWaiters() {
		if w.Holder == lost {
			q.drop(now, w)
		}
	}
	grace := q.LostGrace
	if grace <= 0 {
		grace = defaultLostGrace
	}
	for _, r := range q.running {
		if r.Holder != lost {
			continue
		}
		r.leaseEnd = earlier(r.leaseEnd, now.Add(grace))
		r.checkAt = earlier(r.checkAt, r.leaseEnd)
		q.leases.fix(r.leaseIndex)
	}
	q.dispatch(now, q.poolOrder)
}

// checkLease frees work whose lease has lapsed, and gives up on a preemption
// that the holder has not carried out.
func (q *Queue) checkLease(now time.Time, r *running) {
	if !r.leaseEnd.After(now) {
		q.emit(Expired{r.Reservation})
		q.end(now, r)
		return
	}
	if r.preempting && now.Sub(r.preemptedAt) >= preemptPatience {
		q.keepRunning(r)
	}
	r.checkAt = r.leaseEnd
	if r.preempting {
		r.checkAt = earlier(r.checkAt, r.preemptedAt.Add(preemptPatience))
	}
	q.leases.fix(r.leaseIndex)
}

func (u *worker) hold(r *running) {
	u.running[r.Reservation] = r
	if r.Fingerprint != 0 {
		u.fingerprints[r.Fingerprint]++
	}
}

func (u *worker) letGo(r *running) {
	delete(u.running, r.Reservation)
	if r.Fingerprint == 0 {
		return
	}
	u.fingerprints[r.Fingerprint]--
	if u.fingerprints[r.Fingerprint] == 0 {
		delete(u.fingerprints, r.Fingerprint)
	}
}

func (u *worker) sortedRunning() []*running {
	return slices.SortedFunc(maps.Values(u.running), func(a, b *running) int {
		return cmp.Compare(a.Reservation, b.Reservation)
	})
}

// stall returns by how much the oldest missing first token is overdue.
func (u *worker) stall(now time.Time) time.Duration {
	for len(u.awaiting) > 0 && (u.awaiting[0].ended || u.awaiting[0].prefilled) {
		u.awaiting[0] = nil
		u.awaiting = u.awaiting[1:]
	}
	if len(u.awaiting) == 0 {
		return 0
	}
	oldest := u.awaiting[0]
	return max(0, now.Sub(oldest.grantedAt)-2*oldest.expected-stallGrace)
}
