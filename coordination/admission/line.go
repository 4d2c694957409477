package admission

import (
	"cmp"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// burstRequests is how many requests a workspace that has used less
	// than its share may have served ahead of the others.
	burstRequests = 16
	costWeight    = 0.1
	startupWeight = 0.1
	// startupMargin covers starts that are slower than the mean.
	startupMargin = 1.5
)

// line is the queue of one class in one pool. Workspaces share its grants by
// start-time fair queueing over tokens: each has a tag, which rises by the
// tokens that it is charged; the lowest tag goes next. What a workspace has not
// used of its share is kept up to a short burst, and lost beyond.
type line struct {
	class *class
	pool  *pool
	flows map[id.Workspace]*flow
	// lanes order the flows with waiters in the lane by tag.
	lanes [laneCount]heap[*flow]
	// idle orders the flows without waiters by tag.
	idle heap[*flow]
	// crowded has the flow with the most waiters first.
	crowded heap[*flow]
	// virtual is the largest start tag granted so far; it never falls.
	virtual float64
	// finish is the largest tag ever set; virtual rises to it when nothing
	// waits any more, which forgives all debts.
	finish float64
	// meanCost is the recent mean of the tokens charged for a grant.
	meanCost float64
	waiting  int
	// startup is the recent mean time from grant to first token, in
	// nanoseconds.
	startup float64
	// credit is the grants that the class is owed by its minimum share;
	// 0 while nothing waits.
	credit float64
	// due orders the lines that are owed a grant; 0 when not owed.
	due uint64
	// arrivedAt is when the class last asked for a slot in this pool.
	arrivedAt time.Time
}

func newLine(c *class, p *pool) *line {
	l := &line{class: c, pool: p, flows: map[id.Workspace]*flow{}}
	byTag := func(a, b *flow) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.workspace < b.workspace
	}
	for i := range l.lanes {
		l.lanes[i].less = byTag
		l.lanes[i].place = func(f *flow, at int) { f.laneIndex[i] = at }
	}
	l.idle.less = byTag
	l.idle.place = func(f *flow, at int) { f.idleIndex = at }
	l.crowded.less = func(a, b *flow) bool {
		if a.waiting != b.waiting {
			return a.waiting > b.waiting
		}
		return a.workspace < b.workspace
	}
	l.crowded.place = func(f *flow, at int) { f.crowdIndex = at }
	return l
}

// flow returns the flow of a workspace, an idle one if there is none.
func (l *line) flow(w id.Workspace) *flow {
	f := l.flows[w]
	if f == nil {
		f = newFlow(w, l.virtual-l.lead())
		l.flows[w] = f
		l.idle.push(f)
	}
	return f
}

func (l *line) add(w *waiter) {
	f := l.flow(w.Workspace)
	w.line, w.flow = l, f
	l.waiting++
	l.class.waiting++
	f.waiting++
	if f.waiting == 1 {
		l.idle.remove(f.idleIndex)
		f.tag = max(f.tag, l.virtual-l.lead())
		l.crowded.push(f)
	} else {
		l.crowded.fix(f.crowdIndex)
	}
	if w.front() {
		l.enter(w, returned)
		return
	}
	l.enter(w, onTime)
}

func (l *line) enter(w *waiter, to lane) {
	w.lane = to
	f := w.flow
	f.lanes[to].push(w)
	if f.laneIndex[to] < 0 {
		l.lanes[to].push(f)
	}
}

func (l *line) leave(w *waiter) {
	f := w.flow
	f.lanes[w.lane].remove(w.laneIndex)
	if len(f.lanes[w.lane].items) == 0 {
		l.lanes[w.lane].remove(f.laneIndex[w.lane])
	}
}

// miss moves a waiter to the late lane.
func (l *line) miss(w *waiter) {
	l.leave(w)
	l.enter(w, late)
}

func (l *line) remove(w *waiter) {
	l.leave(w)
	f := w.flow
	l.waiting--
	l.class.waiting--
	f.waiting--
	if f.waiting > 0 {
		l.crowded.fix(f.crowdIndex)
		return
	}
	l.crowded.remove(f.crowdIndex)
	l.idle.push(f)
	if l.waiting == 0 {
		l.credit = 0
		l.due = 0
	}
}

// grant removes a waiter and charges its workspace.
func (l *line) grant(w *waiter) {
	start := w.flow.tag
	l.remove(w)
	l.virtual = max(l.virtual, start)
	l.charge(w.Workspace, float64(w.cost))
	l.meanCost += costWeight * (float64(w.cost) - l.meanCost)
	if l.waiting == 0 {
		l.virtual = max(l.virtual, l.finish)
	}
	l.forget()
}

// charge moves the tag of a workspace by tokens, which may be below 0.
func (l *line) charge(w id.Workspace, tokens float64) {
	if tokens == 0 {
		return
	}
	f := l.flow(w)
	f.tag += tokens
	l.finish = max(l.finish, f.tag)
	if f.idleIndex >= 0 {
		l.idle.fix(f.idleIndex)
	}
	for i, at := range f.laneIndex {
		if at >= 0 {
			l.lanes[i].fix(at)
		}
	}
}

// lead is the tokens by which a workspace that has used less than its share may
// go ahead of the others: enough for a short burst of its requests.
func (l *line) lead() float64 { return burstRequests * l.meanCost }

// turnsAhead returns how many grants a workspace has before others' turn.
func (l *line) turnsAhead(f *flow) int {
	if l.meanCost <= 0 || f.tag >= l.virtual {
		return 0
	}
	return int((l.virtual - f.tag) / l.meanCost)
}

// started takes in how long a granted request took to its first token.
func (l *line) started(took time.Duration) {
	if l.startup == 0 {
		l.startup = float64(took)
		return
	}
	l.startup += startupWeight * (float64(took) - l.startup)
}

// latestGrant returns when a request has to be granted at the latest to meet its
// target. Without a margin for the start, a full queue that serves the earliest
// target first would grant each request just too late.
func (l *line) latestGrant(now time.Time, r Request, prefill time.Duration) time.Time {
	margin := max(time.Duration(startupMargin*l.startup), prefill)
	most := r.FirstTokenBy.Sub(now) / 2
	return r.FirstTokenBy.Add(-min(margin, max(0, most)))
}

// forget drops idle workspaces that a new one would equal.
func (l *line) forget() {
	for {
		f, ok := l.idle.first()
		if !ok || f.tag > l.virtual-l.lead() {
			return
		}
		l.idle.remove(0)
		delete(l.flows, f.workspace)
	}
}

// next returns the waiters to try first in a lane, in order. Of the flows
// behind the first only a few are tried, for when a request's own limits keep
// it from all free slots.
func (l *line) next(from lane) []*flow {
	flows := l.lanes[from].items
	return flows[:min(len(flows), candidateFlows)]
}

// leastUrgent returns the waiter to refuse first: a late one, else one of the
// workspace with the most waiters; nil where only work waits that was granted
// before.
func (l *line) leastUrgent() *waiter {
	if f, ok := l.lanes[late].first(); ok {
		return f.leastUrgent()
	}
	flows := l.lanes[onTime].items
	if len(flows) == 0 {
		return nil
	}
	return slices.MaxFunc(flows, func(a, b *flow) int { return cmp.Compare(a.waiting, b.waiting) }).leastUrgent()
}

// inTime reports whether a waiter other than a late one waits.
func (l *line) inTime() bool {
	return len(l.lanes[returned].items)+len(l.lanes[onTime].items) > 0
}

// active returns the number of workspaces that wait.
func (l *line) active() int { return len(l.crowded.items) }

// protected returns how many waiters may not be displaced by higher tiers.
func (l *line) protected() int {
	if l.class.MinimumShare > 0 {
		return 1
	}
	return 0
}
