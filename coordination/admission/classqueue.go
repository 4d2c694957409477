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
type classQueue struct {
	class *classState
	pool  *pool
	flows map[id.Workspace]*flow
	// lanes order the flows with waiters in the lane by tag.
	lanes [laneCount]heap[*flow]
	// idle orders the flows without waiters by tag.
	idle heap[*flow]
	// crowded has the flow with the most waiters first.
	byWaiting heap[*flow]
	// virtual is the largest start tag granted so far; it never falls.
	virtualTime float64
	// finish is the largest tag ever set; virtual rises to it when nothing
	// waits any more, which forgives all debts.
	maxFinishTag float64
	// meanCost is the recent mean of the tokens charged for a grant.
	meanCost float64
	waiting  int
	// startup is the recent mean time from grant to first token, in
	// nanoseconds.
	meanStartup float64
	// credit is the grants that the class is owed by its minimum share;
	// 0 while nothing waits.
	credit float64
	// due orders the lines that are owed a grant; 0 when not owed.
	dueSequence uint64
	// arrivedAt is when the class last asked for a slot in this pool.
	lastArrival time.Time
}

func newClassQueue(c *classState, p *pool) *classQueue {
	cq := &classQueue{class: c, pool: p, flows: map[id.Workspace]*flow{}}
	byTag := func(a, b *flow) bool {
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.workspace < b.workspace
	}
	for i := range cq.lanes {
		cq.lanes[i].less = byTag
		cq.lanes[i].setIndex = func(f *flow, index int) { f.laneIndex[i] = index }
	}
	cq.idle.less = byTag
	cq.idle.setIndex = func(f *flow, index int) { f.idleIndex = index }
	cq.byWaiting.less = func(a, b *flow) bool {
		if a.waiting != b.waiting {
			return a.waiting > b.waiting
		}
		return a.workspace < b.workspace
	}
	cq.byWaiting.setIndex = func(f *flow, index int) { f.waitingIndex = index }
	return cq
}

// flow returns the flow of a workspace, an idle one if there is none.
func (cq *classQueue) flow(w id.Workspace) *flow {
	f := cq.flows[w]
	if f == nil {
		f = newFlow(w, cq.virtualTime-cq.burstTokens())
		cq.flows[w] = f
		cq.idle.push(f)
	}
	return f
}

func (cq *classQueue) add(w *waiter) {
	f := cq.flow(w.Workspace)
	w.queue, w.flow = cq, f
	cq.waiting++
	cq.class.waiting++
	f.waiting++
	if f.waiting == 1 {
		cq.idle.remove(f.idleIndex)
		f.startTag = max(f.startTag, cq.virtualTime-cq.burstTokens())
		cq.byWaiting.push(f)
	} else {
		cq.byWaiting.fix(f.waitingIndex)
	}
	if w.isRequeued() {
		cq.addToLane(w, requeued)
		return
	}
	cq.addToLane(w, onTime)
}

func (cq *classQueue) addToLane(w *waiter, ln lane) {
	w.lane = ln
	f := w.flow
	f.lanes[ln].push(w)
	if f.laneIndex[ln] < 0 {
		cq.lanes[ln].push(f)
	}
}

func (cq *classQueue) removeFromLane(w *waiter) {
	f := w.flow
	f.lanes[w.lane].remove(w.laneIndex)
	if len(f.lanes[w.lane].items) == 0 {
		cq.lanes[w.lane].remove(f.laneIndex[w.lane])
	}
}

// miss moves a waiter to the late lane.
func (cq *classQueue) markLate(w *waiter) {
	cq.removeFromLane(w)
	cq.addToLane(w, late)
}

func (cq *classQueue) remove(w *waiter) {
	cq.removeFromLane(w)
	f := w.flow
	cq.waiting--
	cq.class.waiting--
	f.waiting--
	if f.waiting > 0 {
		cq.byWaiting.fix(f.waitingIndex)
		return
	}
	cq.byWaiting.remove(f.waitingIndex)
	cq.idle.push(f)
	if cq.waiting == 0 {
		cq.credit = 0
		cq.dueSequence = 0
	}
}

// grant removes a waiter and charges its workspace.
func (cq *classQueue) grant(w *waiter) {
	start := w.flow.startTag
	cq.remove(w)
	cq.virtualTime = max(cq.virtualTime, start)
	cq.charge(w.Workspace, float64(w.cost))
	cq.meanCost += costWeight * (float64(w.cost) - cq.meanCost)
	if cq.waiting == 0 {
		cq.virtualTime = max(cq.virtualTime, cq.maxFinishTag)
	}
	cq.dropIdle()
}

// charge moves the tag of a workspace by tokens, which may be below 0.
func (cq *classQueue) charge(w id.Workspace, tokens float64) {
	if tokens == 0 {
		return
	}
	f := cq.flow(w)
	f.startTag += tokens
	cq.maxFinishTag = max(cq.maxFinishTag, f.startTag)
	if f.idleIndex >= 0 {
		cq.idle.fix(f.idleIndex)
	}
	for i, index := range f.laneIndex {
		if index >= 0 {
			cq.lanes[i].fix(index)
		}
	}
}

// lead is the tokens by which a workspace that has used less than its share may
// go ahead of the others: enough for a short burst of its requests.
func (cq *classQueue) burstTokens() float64 { return burstRequests * cq.meanCost }

// turnsAhead returns how many grants a workspace has before others' turn.
func (cq *classQueue) burstGrants(f *flow) int {
	if cq.meanCost <= 0 || f.startTag >= cq.virtualTime {
		return 0
	}
	return int((cq.virtualTime - f.startTag) / cq.meanCost)
}

// started takes in how long a granted request took to its first token.
func (cq *classQueue) observeStartup(elapsed time.Duration) {
	if cq.meanStartup == 0 {
		cq.meanStartup = float64(elapsed)
		return
	}
	cq.meanStartup += startupWeight * (float64(elapsed) - cq.meanStartup)
}

// latestGrant returns when a request has to be granted at the latest to meet its
// target. Without a margin for the start, a full queue that serves the earliest
// target first would grant each request just too late.
func (cq *classQueue) latestGrant(now time.Time, r Request, prefill time.Duration) time.Time {
	margin := max(time.Duration(startupMargin*cq.meanStartup), prefill)
	maxMargin := r.FirstTokenBy.Sub(now) / 2
	return r.FirstTokenBy.Add(-min(margin, max(0, maxMargin)))
}

// forget drops idle workspaces that a new one would equal.
func (cq *classQueue) dropIdle() {
	for {
		f, ok := cq.idle.first()
		if !ok || f.startTag > cq.virtualTime-cq.burstTokens() {
			return
		}
		cq.idle.remove(0)
		delete(cq.flows, f.workspace)
	}
}

// next returns the waiters to try first in a lane, in order. Of the flows
// behind the first only a few are tried, for when a request's own limits keep
// it from all free slots.
func (cq *classQueue) candidates(ln lane) []*flow {
	flows := cq.lanes[ln].items
	return flows[:min(len(flows), candidateFlows)]
}

// leastUrgent returns the waiter to refuse first: a late one, else one of the
// workspace with the most waiters; nil where only work waits that was granted
// before.
func (cq *classQueue) leastUrgent() *waiter {
	if f, ok := cq.lanes[late].first(); ok {
		return f.leastUrgent()
	}
	flows := cq.lanes[onTime].items
	if len(flows) == 0 {
		return nil
	}
	return slices.MaxFunc(flows, func(a, b *flow) int { return cmp.Compare(a.waiting, b.waiting) }).leastUrgent()
}

// inTime reports whether a waiter other than a late one waits.
func (cq *classQueue) hasNonLate() bool {
	return len(cq.lanes[requeued].items)+len(cq.lanes[onTime].items) > 0
}

// active returns the number of workspaces that wait.
func (cq *classQueue) activeFlows() int { return len(cq.byWaiting.items) }

// protected returns how many waiters may not be displaced by higher tiers.
func (cq *classQueue) protected() int {
	if cq.class.MinimumShare > 0 {
		return 1
	}
	return 0
}
