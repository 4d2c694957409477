package admission

import (
	"time"

	"samphirehead/state/id"
)

// waiter is a request that was not granted yet.
type waiter struct {
	Request
	// sequence numbers the waiters in order of arrival.
	sequence uint64
	queue    *classQueue
	flow     *flow
	lane     lane
	// laneIndex is the index in the flow's heap of that lane.
	laneIndex int
	// timerAt is the time of the latest grant that meets the target while the
	// waiter is on time, otherwise the deadline.
	timerAt    time.Time
	timerIndex int
	arrivedAt  time.Time
	// remaining is a high estimate of the output tokens that are to come.
	remaining id.Tokens
	// cost is the number of tokens that the workspace is charged on the grant:
	// the prompt and the median estimate of the output to come.
	cost id.Tokens
	// parked waiters are kept out of their class queue; see Queue.park.
	parked bool
}

// isRequeued reports whether the request was granted before: it goes before new
// requests of its class and never counts as late.
func (w *waiter) isRequeued() bool { return w.ResumeOffset > 0 || w.Attempt > 0 }

// isRestricted reports whether the request may be kept from upstreams that others
// can use, by its exclusions or because it has to be resumed.
func (w *waiter) isRestricted() bool { return len(w.Excluded) > 0 || w.ResumeOffset > 0 }

func waiterBefore(a, b *waiter) bool {
	if !a.FirstTokenBy.Equal(b.FirstTokenBy) {
		return a.FirstTokenBy.Before(b.FirstTokenBy)
	}
	return a.sequence < b.sequence
}

// lane divides the waiters of a class queue by priority; the lowest goes first.
// Requeued requests have a lane of their own for another reason too: if only
// upstreams that they exclude have free slots, new requests can still use those.
type lane int

const (
	// requeued is the lane of requests that were granted before.
	requeued lane = iota
	// onTime is the lane of new requests that can still meet their target.
	onTime
	// late is the lane of new requests that can no longer meet their target.
	late
	laneCount
)

// flow contains the waiters of one workspace in one class queue.
type flow struct {
	workspace id.Workspace
	// startTag is the virtual time at which the workspace's next grant starts,
	// in tokens.
	startTag float64
	lanes    [laneCount]heap[*waiter]
	waiting  int
	// laneIndex, idleIndex and waitingIndex are the indices in the heaps of
	// the class queue; -1 when the flow is not in the heap.
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

// leastUrgent returns the waiter to refuse first; nil when only requeued requests
// wait.
func (f *flow) leastUrgent() *waiter {
	for ln := late; ln > requeued; ln-- {
		if items := f.lanes[ln].items; len(items) > 0 {
			return items[len(items)-1]
		}
	}
	return nil
}
