package admission

import (
	"cmp"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// burstRequests is how many requests of average cost a workspace that has
	// used less than its share may have granted ahead of the others.
	burstRequests = 16
	costWeight    = 0.1
	startupWeight = 0.1
	// startupMargin multiplies meanStartup, to cover starts that are slower
	// than the mean.
	startupMargin = 1.5
)

// classQueue is the queue of one class in one pool. Workspaces share its grants by
// start-time fair queueing over tokens: each workspace has a start tag, which rises
// by the tokens that it is charged, and the lowest tag goes next. The part of its
// share that a workspace has not used is kept up to a short burst; the rest is
// lost.
type classQueue struct {
	class *classState
	pool  *pool
	flows map[id.Workspace]*flow
	// lanes contains, for each lane, the flows with waiters in it, the lowest
	// start tag first.
	lanes [laneCount]heap[*flow]
	// idle contains the flows without waiters, the lowest start tag first.
	idle heap[*flow]
	// byWaiting contains the flows with waiters, the one with the most first.
	byWaiting heap[*flow]
	// virtualTime is the largest start tag granted so far; it never falls.
	virtualTime float64
	// maxFinishTag is the largest start tag ever set. virtualTime rises to it
	// when nothing waits any more, so that no workspace is behind the others
	// afterwards for what it used while the queue was busy.
	maxFinishTag float64
	// meanCost is the moving average of the tokens charged for a grant; a new
	// value has the weight costWeight.
	meanCost float64
	waiting  int
	// meanStartup is the moving average of the time from the start of a run to
	// its first token, in nanoseconds; a new value has the weight startupWeight.
	meanStartup float64
	// credit is the number of grants, with fractions, that the class can claim
	// by its minimum share; 0 while nothing waits. From dueCredit on, a grant
	// is due.
	credit float64
	// dueSequence orders the class queues to which a grant is due by when it
	// became due; 0 when none is due.
	dueSequence uint64
	// lastArrival is when a request of the class last arrived for this pool.
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

// flow returns the flow of a workspace; it adds an idle one if there is none.
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

// markLate moves a waiter to the late lane.
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

// grant removes a waiter, charges its workspace and advances virtualTime.
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

// charge moves the start tag of a workspace by tokens, which are below 0 when a
// run used less than its estimate.
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

// burstTokens returns by how many tokens a workspace that has used less than its
// share may be ahead of the others.
func (cq *classQueue) burstTokens() float64 { return burstRequests * cq.meanCost }

// burstGrants returns how many grants a workspace gets in a row from its unused
// share.
func (cq *classQueue) burstGrants(f *flow) int {
	if cq.meanCost <= 0 || f.startTag >= cq.virtualTime {
		return 0
	}
	return int((cq.virtualTime - f.startTag) / cq.meanCost)
}

// observeStartup records how long a run took to its first token.
func (cq *classQueue) observeStartup(elapsed time.Duration) {
	if cq.meanStartup == 0 {
		cq.meanStartup = float64(elapsed)
		return
	}
	cq.meanStartup += startupWeight * (float64(elapsed) - cq.meanStartup)
}

// latestGrant returns when a request has to be granted at the latest to meet its
// first-token target. Without a margin for the time to the first token, a full
// queue that serves the earliest target first would grant each request just too
// late.
func (cq *classQueue) latestGrant(now time.Time, r Request, prefill time.Duration) time.Time {
	margin := max(time.Duration(startupMargin*cq.meanStartup), prefill)
	maxMargin := r.FirstTokenBy.Sub(now) / 2
	return r.FirstTokenBy.Add(-min(margin, max(0, maxMargin)))
}

// dropIdle removes the idle flows whose start tag has no effect any more: a new flow
// of the workspace would get the same one on its next waiter.
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

// candidateFlows returns the flows of a lane to try, beginning with the lowest start
// tag, at most maxCandidates. The others are tried in case the exclusions of the
// first one's request keep it from all free slots.
func (cq *classQueue) candidateFlows(ln lane) []*flow {
	flows := cq.lanes[ln].items
	return flows[:min(len(flows), maxCandidates)]
}

// leastUrgent returns the waiter to refuse first: a late one, else one of the
// workspace with the most waiters; nil when only requeued requests wait.
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

// hasNonLate reports whether a requeued or on-time request waits.
func (cq *classQueue) hasNonLate() bool {
	return len(cq.lanes[requeued].items)+len(cq.lanes[onTime].items) > 0
}

// activeFlows returns the number of workspaces with waiters.
func (cq *classQueue) activeFlows() int { return len(cq.byWaiting.items) }

// protectedWaiters returns how many waiters must not be refused to make room for others.
func (cq *classQueue) protectedWaiters() int {
	if cq.class.MinimumShare > 0 {
		return 1
	}
	return 0
}
