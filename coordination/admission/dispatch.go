package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"samphirehead/state/id"
)

// turn is a lane of a line that may be granted next.
type turn struct {
	line *line
	lane lane
	// due is above 0 when the minimum share owes the grant.
	due uint64
}

// dispatch grants until no waiter can be placed.
func (q *Queue) dispatch(now time.Time) {
	for q.grantNext(now) {
	}
}

// grantNext grants to the first waiter that can be placed.
func (q *Queue) grantNext(now time.Time) bool {
	rooms := make(map[*pool]room)
	// blocked has the tier that waits for more room than is free in a pool;
	// lower ones must not take it.
	blocked := make(map[*pool]id.Tier)
	for _, t := range q.turns() {
		p := t.line.pool
		r, known := rooms[p]
		if !known {
			r.free, r.slots = q.Upstreams.Room(now, p.name)
			rooms[p] = r
		}
		tier, isBlocked := blocked[p]
		switch {
		case r.free == 0 && r.slots > 0:
			continue
		case t.due == 0 && isBlocked && t.line.class.Tier > tier:
			continue
		case t.due == 0 && r.slots > 0 && r.free <= q.reserved(now, t.line, r.slots):
			continue
		}
		granted, full := q.try(now, t)
		if granted {
			return true
		}
		if full {
			blocked[p] = t.line.class.Tier
		}
	}
	return false
}

// room is the slots of a pool.
type room struct{ free, slots int }

// turns returns what may be granted next, in order: what minimum shares owe the
// longest, then by tier, by lane and by the first target.
func (q *Queue) turns() []turn {
	var all []turn
	for _, p := range q.poolOrder {
		for _, l := range p.lines {
			for from := range laneCount {
				if len(l.lanes[from].items) == 0 {
					continue
				}
				all = append(all, turn{line: l, lane: from})
				if l.due > 0 {
					all = append(all, turn{line: l, lane: from, due: l.due})
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b turn) int {
		if (a.due > 0) != (b.due > 0) {
			return cmp.Compare(b.due, a.due)
		}
		return cmp.Or(
			cmp.Compare(a.due, b.due),
			cmp.Compare(a.line.class.Tier, b.line.class.Tier),
			cmp.Compare(a.lane, b.lane),
			a.target().Compare(b.target()),
		)
	})
	return all
}

// target is the earliest target of the workspace whose turn it is.
func (t turn) target() time.Time {
	return t.line.lanes[t.lane].items[0].lanes[t.lane].items[0].FirstTokenBy
}

// try grants to a waiter of a lane. full reports that the first one waits for
// room, and not because of its own limits.
func (q *Queue) try(now time.Time, t turn) (granted, full bool) {
	for _, f := range t.line.next(t.lane) {
		tried := f.lanes[t.lane].items[:1]
		if t.lane == returned {
			// Returned work differs in the upstreams that may take it.
			items := f.lanes[t.lane].items
			tried = items[:min(len(items), candidateFlows)]
		}
		for _, w := range slices.Clone(tried) {
			avoided := q.apart(now, w.Fingerprint)
			u, placement := q.Upstreams.Place(now, w.Request, w.remaining, avoided)
			switch {
			case placement == Placed:
				q.grant(w, u, t.due > 0)
				return true, false
			case placement == Barred:
				q.refuse(now, w, NoUpstream, defaultRetryAfter)
				return true, false
			case !w.confined() && !q.confined(now, w.Fingerprint):
				return false, true
			}
		}
	}
	return false, false
}

// reserved returns the free slots that are kept from a line: for higher tiers
// that are in use here, and for those that wait at other instances.
func (q *Queue) reserved(now time.Time, l *line, slots int) int {
	kept := q.waitingElsewhere(now, l)
	if q.Headroom > 0 && q.usedAbove(now, l) {
		kept += int(math.Ceil(q.Headroom * float64(slots)))
	}
	return kept
}

// usedAbove reports whether a tier above the line's has asked of late for the
// same upstreams.
func (q *Queue) usedAbove(now time.Time, l *line) bool {
	for _, other := range q.near(l.pool) {
		if other.class.Tier < l.class.Tier && !other.arrivedAt.IsZero() && now.Sub(other.arrivedAt) < recentArrival {
			return true
		}
	}
	return false
}

// near returns the lines of all pools that share upstreams with a pool.
func (q *Queue) near(p *pool) []*line {
	var lines []*line
	for _, name := range q.Upstreams.Near(p.name) {
		if other := q.pools[name]; other != nil {
			lines = append(lines, other.lines...)
		}
	}
	return lines
}

// waitingElsewhere counts the requests of higher tiers that wait at other
// instances for the same upstreams.
func (q *Queue) waitingElsewhere(now time.Time, l *line) int {
	n := 0
	for _, t := range q.fresh(now) {
		for _, name := range q.Upstreams.Near(l.pool.name) {
			for tier, waiting := range t.Waiting[name] {
				if tier < l.class.Tier {
					n += waiting
				}
			}
		}
	}
	return n
}

// fresh returns what other instances told of late.
func (q *Queue) fresh(now time.Time) map[id.Instance]told {
	maps.DeleteFunc(q.told, func(_ id.Instance, t told) bool { return now.Sub(t.at) > toldFor })
	return q.told
}

// grant notes that a waiter runs.
func (q *Queue) grant(w *waiter, u id.Upstream, due bool) {
	q.timers.remove(w.timerIndex)
	delete(q.waiters, w.Ticket)
	kept := due && q.waitingAbove(w.line) > 0
	w.line.pool.credit(q, w.line)
	w.line.grant(w)
	q.running[w.Ticket] = &running{
		Request:  w.Request,
		line:     w.line,
		upstream: u,
		tokens:   w.ResumeOffset,
		charged:  w.cost - w.PromptTokens,
		kept:     kept,
	}
	q.emit(Granted{w.Ticket, u})
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
