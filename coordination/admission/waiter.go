package admission

import (
	"time"

	"samphirehead/state/id"
)

// waiter is a request that was not granted.
type waiter struct {
	Request
	// sequence orders arrivals.
	sequence uint64
	queue    *classQueue
	flow     *flow
	lane     lane
	// laneIndex is the place in the flow's heap of that lane.
	laneIndex int
	// timerAt is the target while the waiter is on time, then the deadline.
	timerAt    time.Time
	timerIndex int
	arrivedAt  time.Time
	// remaining is the answer tokens that are expected to come at most.
	remaining id.Tokens
	// cost is the tokens that its workspace is charged on a grant.
	cost id.Tokens
	// parked waiters are kept out of their line; see Queue.park.
	parked bool
}

// front reports whether the work was granted before: it goes before new work
// of its class and never counts as late.
func (w *waiter) isRequeued() bool { return w.ResumeOffset > 0 || w.Attempt > 0 }

// confined reports whether the request's own limits may keep it from upstreams
// that others can use.
func (w *waiter) isRestricted() bool { return len(w.Excluded) > 0 || w.ResumeOffset > 0 }

func waiterBefore(a, b *waiter) bool {
	if !a.FirstTokenBy.Equal(b.FirstTokenBy) {
		return a.FirstTokenBy.Before(b.FirstTokenBy)
	}
	return a.sequence < b.sequence
}

// lane separates the waiters of a line by what goes first. Work that was
// granted before has a lane of its own also because its excluded upstreams must
// not hold up new work.
type lane int

const (
	// returned is work that was granted before.
	requeued lane = iota
	// onTime is new work that can still meet its target.
	onTime
	// late is new work whose target has passed.
	late
	laneCount
)

// flow is the waiters of one workspace in one line.
type flow struct {
	workspace id.Workspace
	// tag is the virtual time at which the workspace's next grant starts.
	startTag float64
	lanes    [laneCount]heap[*waiter]
	waiting  int
	// laneIndex, idleIndex and crowdIndex are places in the line's heaps.
	laneIndex    [laneCount]int
	idleIndex    int
	waitingIndex int
}

func newFlow(w id.Workspace, tag float64) *flow {
	f := &flow{workspace: w, startTag: tag, idleIndex: -1, waitingIndex: -1}
	for ln := range f.lanes {
		f.laneIndex[ln] = -1
		f.lanes[ln].less = waiterBefore
		f.lanes[ln].setIndex = func(w *waiter, i int) { w.laneIndex = i }
	}
	return f
}

// leastUrgent returns the waiter to refuse first; nil where only work waits
// that was granted before.
func (f *flow) leastUrgent() *waiter {
	for ln := late; ln > requeued; ln-- {
		if items := f.lanes[ln].items; len(items) > 0 {
			return items[len(items)-1]
		}
	}
	return nil
}
