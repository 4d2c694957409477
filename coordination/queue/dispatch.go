package queue

import (
	"math"
	"slices"
	"time"

	"samphirehead/state/id"
)

// otherDomainDelay is added to the expected delay of an upstream in another
// failure domain than the holder's.
const otherDomainDelay = time.Millisecond

// candidate is a waiter with the upstream that it would get.
type candidate struct {
	waiter *waiter
	worker *worker
	// due is above 0 when the minimum share owes the grant.
	due uint64
}

// before orders candidates of pools that share upstreams.
func (c *candidate) before(other *candidate) bool {
	if (c.due > 0) != (other.due > 0) {
		return c.due > 0
	}
	if c.due != other.due {
		return c.due < other.due
	}
	a, b := c.waiter, other.waiter
	if a.line.class.Tier != b.line.class.Tier {
		return a.line.class.Tier < b.line.class.Tier
	}
	if a.lane != b.lane {
		return a.lane < b.lane
	}
	return a.FirstTokenBy.Before(b.FirstTokenBy)
}

// dispatch grants free slots of the pools until no waiter can take one.
func (q *Queue) dispatch(now time.Time, pools []*pool) {
	for {
		var best *candidate
		for _, p := range pools {
			c := q.candidate(now, p)
			if c != nil && (best == nil || c.before(best)) {
				best = c
			}
		}
		if best == nil {
			return
		}
		q.grant(now, best)
	}
}

// search is one walk through a pool's lines for the next grant.
type search struct {
	now  time.Time
	pool *pool
	// free is the pool's free slots.
	free int
	// held upstreams are kept for larger requests that go first.
	held []*worker
}

// candidate returns the next grant of a pool; nil when there is none.
func (q *Queue) candidate(now time.Time, p *pool) *candidate {
	if !p.waits() {
		return nil
	}
	s := &search{now: now, pool: p, free: p.free(now)}
	if s.free == 0 {
		return nil
	}
	if c := q.dueCandidate(s); c != nil {
		return c
	}
	for start := 0; start < len(p.lines); {
		end := start + 1
		for end < len(p.lines) && p.lines[end].class.Tier == p.lines[start].class.Tier {
			end++
		}
		if c := q.tierCandidate(s, p.lines[start:end]); c != nil {
			return c
		}
		start = end
	}
	return nil
}

func (p *pool) waits() bool {
	return slices.ContainsFunc(p.lines, func(l *line) bool { return l.waiting > 0 })
}

// dueCandidate returns the grant that the minimum share owes the longest.
func (q *Queue) dueCandidate(s *search) *candidate {
	var best *candidate
	for _, l := range s.pool.lines {
		if l.due == 0 || (best != nil && best.due < l.due) {
			continue
		}
		for from := range laneCount {
			if c := q.lineCandidate(s, l, from); c != nil {
				best = c
				best.due = l.due
				break
			}
		}
	}
	return best
}

// tierCandidate returns the most urgent grant among the lines of one tier.
func (q *Queue) tierCandidate(s *search, lines []*line) *candidate {
	for from := range laneCount {
		var best *candidate
		for _, l := range lines {
			if s.free <= q.reserved(s, l) {
				continue
			}
			c := q.lineCandidate(s, l, from)
			if c != nil && (best == nil || c.before(best)) {
				best = c
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// reserved returns the free slots that are kept from a line for higher tiers.
func (q *Queue) reserved(s *search, l *line) int {
	if q.Headroom <= 0 {
		return 0
	}
	for _, other := range s.pool.lines {
		if other.class.Tier >= l.class.Tier {
			break
		}
		if !other.arrivedAt.IsZero() && s.now.Sub(other.arrivedAt) < recentArrival {
			return int(math.Ceil(q.Headroom * float64(s.pool.slots())))
		}
	}
	return 0
}

// lineCandidate returns the next grant of a line: that of the workspace with
// the lowest tag, unless its request's own limits keep it from all free slots.
func (q *Queue) lineCandidate(s *search, l *line, from lane) *candidate {
	var best *candidate
	for i, f := range l.next(from) {
		if best != nil && best.waiter.flow.tag <= f.tag {
			continue
		}
		c := q.flowCandidate(s, f, from, i == 0)
		if c == nil {
			continue
		}
		best = c
		if i == 0 {
			break
		}
	}
	return best
}

// flowCandidate returns the next grant of a workspace. Returned work differs in
// the upstreams that may take it, so that more than the first is tried.
func (q *Queue) flowCandidate(s *search, f *flow, from lane, first bool) *candidate {
	tried := f.lanes[from].items[:1]
	if from == returned {
		items := f.lanes[from].items
		tried = items[:min(len(items), candidateFlows)]
	}
	for i, w := range tried {
		if u := q.place(s, w, first && i == 0); u != nil {
			return &candidate{waiter: w, worker: u}
		}
	}
	return nil
}

// place returns the upstream with a free slot where w is expected to get its
// first token soonest; nil when none may take it. With hold set, an upstream
// that only lacks KV memory is held for w in this search.
func (q *Queue) place(s *search, w *waiter, hold bool) *worker {
	var best, roomiest *worker
	var least time.Duration
	alone := q.isolation(s.now, w.Fingerprint)
	for _, u := range s.pool.workers {
		if u.Free(s.now) == 0 || !u.admits(w) || slices.Contains(s.held, u) || !q.apart(s.now, alone, u) {
			continue
		}
		if q.tooLarge(s, w, u) {
			continue
		}
		if !u.Fits(s.now, w.need) {
			if roomiest == nil || u.KVFree(s.now) > roomiest.KVFree(s.now) {
				roomiest = u
			}
			continue
		}
		delay := q.delay(s.now, w, u)
		if best == nil || delay < least {
			best, least = u, delay
		}
	}
	if best == nil && roomiest != nil && hold {
		s.held = append(s.held, roomiest)
	}
	return best
}

// tooLarge reports whether w's prompt has to wait for another large one. While
// higher tiers are in use, large prompts are read on half of the upstreams.
func (q *Queue) tooLarge(s *search, w *waiter, u *worker) bool {
	if !q.isLarge(u, w.PromptTokens) {
		return false
	}
	if u.large > 0 {
		return true
	}
	busy := 0
	for _, other := range s.pool.workers {
		if other.large > 0 {
			busy++
		}
	}
	return busy >= max(1, len(s.pool.workers)/2) && s.pool.usedAbove(s.now, w.line)
}

func (q *Queue) isLarge(u *worker, prompt id.Tokens) bool {
	return q.LargePrefill > 0 && u.PrefillTime(prompt) >= q.LargePrefill
}

// usedAbove reports whether a tier above the line's has asked for slots of
// late.
func (p *pool) usedAbove(now time.Time, l *line) bool {
	for _, other := range p.lines {
		if other.class.Tier >= l.class.Tier {
			return false
		}
		if now.Sub(other.arrivedAt) < recentArrival {
			return true
		}
	}
	return false
}

// delay returns the expected time to w's first token at u.
func (q *Queue) delay(now time.Time, w *waiter, u *worker) time.Duration {
	var cached id.Tokens
	if !q.WithoutAffinity && len(w.Prefix) > 0 {
		blocks := q.affinity.Cached(u.Name, w.Prefix)
		cached = w.PromptTokens * id.Tokens(blocks) / id.Tokens(len(w.Prefix))
	}
	delay := u.Delay(now, w.PromptTokens, cached) + u.stall(now)
	if w.FailureDomain != "" && w.FailureDomain != u.FailureDomain {
		delay += otherDomainDelay
	}
	return delay
}

// grant gives the candidate its slot.
func (q *Queue) grant(now time.Time, c *candidate) {
	w, u := c.waiter, c.worker
	q.timers.remove(w.timerIndex)
	delete(q.waiters, w.Reservation)
	w.line.pool.credit(q, w.line)
	w.line.grant(w)
	r := &running{
		Arrived:   w.Arrived,
		line:      w.line,
		tokens:    w.ResumeOffset,
		charged:   w.cost - w.PromptTokens,
		need:      w.need,
		large:     q.isLarge(u, w.PromptTokens),
		expected:  u.Backlog() + u.PrefillTime(w.PromptTokens),
		grantedAt: now,
		kept:      c.due > 0 && w.line.pool.waitingAbove(w.line) > 0,
	}
	u.Start(now, r.PromptTokens, r.need)
	u.awaiting = append(u.awaiting, r)
	if r.large {
		u.large++
	}
	if !q.WithoutAffinity {
		q.affinity.Store(u.Name, w.Prefix)
	}
	q.run(now, r, u)
	q.emitGranted(r)
}

// credit pays the minimum shares for one grant: each waiting line earns its
// share, and the granted line spends one.
func (p *pool) credit(q *Queue, granted *line) {
	for _, l := range p.lines {
		if l.waiting == 0 || l.class.MinimumShare <= 0 {
			continue
		}
		l.credit = min(mostCredit, l.credit+l.class.MinimumShare)
		if l == granted {
			l.credit = max(0, l.credit-1)
			l.due = 0
		}
		if l.due == 0 && l.credit >= dueCredit {
			q.dues++
			l.due = q.dues
		}
	}
}

const (
	mostCredit = 2
	// dueCredit allows for the rounding of repeated additions to 1.
	dueCredit = 1 - 1e-9
)

func (p *pool) free(now time.Time) int {
	n := 0
	for _, u := range p.workers {
		n += u.Free(now)
	}
	return n
}

func (p *pool) slots() int {
	n := 0
	for _, u := range p.workers {
		n += u.Worker.Capacity.Slots
	}
	return n
}

func (p *pool) preempting() int {
	n := 0
	for _, u := range p.workers {
		n += u.preempting
	}
	return n
}

// prefillTime returns the shortest time in which an upstream reads prompt.
func (p *pool) prefillTime(prompt id.Tokens) time.Duration {
	var least time.Duration
	for i, u := range p.workers {
		if t := u.PrefillTime(prompt); i == 0 || t < least {
			least = t
		}
	}
	return least
}
