// Package share decides whether a request may be sent to a further upstream.
// All instances together stay below a budget for each service: a ratio of its
// requests and a fixed slack, over any window of a given length.
package share

import (
	"time"

	"samphirehead/state/id"
)

const (
	// cells is the number of parts of a window.
	buckets = 10
	// margin is the part of the budget that is spent at most: callers may
	// move between instances within a window.
	usableFraction = 0.7
)

// Share is this instance's part of the budgets. Its exported fields are set
// before first use. It is not safe for concurrent use.
type Budget struct {
	// Ratio and Slack make the budget of all instances in one Window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	windows map[id.Service]*window
}

// window counts requests and repeats in the cells of the last window.
type window struct {
	requests [buckets]float64
	retries  [buckets]float64
	// cell numbers the newest one.
	newest int64
}

// Arrived counts a request of a caller.
func (b *Budget) RecordRequest(now time.Time, service id.Service) {
	w := b.windowAt(now, service)
	w.requests[w.newest%buckets]++
}

// Take spends one repeat and reports whether there was one. instances is the
// number that share the budget, at least 1.
func (b *Budget) Allow(now time.Time, service id.Service, instances int) bool {
	if spent, allowed := b.Usage(now, service, instances); spent+1 > allowed {
		return false
	}
	w := b.windowAt(now, service)
	w.retries[w.newest%buckets]++
	return true
}

// Budget returns how many repeats this instance spent in the last window, and
// how many it may.
func (b *Budget) Usage(now time.Time, service id.Service, instances int) (spent, allowed float64) {
	w := b.windowAt(now, service)
	return sum(w.retries), usableFraction * (b.Ratio*sum(w.requests) + b.Slack/float64(max(instances, 1)))
}

func (b *Budget) windowAt(now time.Time, service id.Service) *window {
	if b.windows == nil {
		b.windows = make(map[id.Service]*window)
	}
	w, ok := b.windows[service]
	if !ok {
		w = &window{}
		b.windows[service] = w
	}
	w.advance(now.UnixNano() / int64(b.Window/buckets))
	return w
}

func (w *window) advance(bucket int64) {
	if bucket-w.newest >= buckets {
		*w = window{newest: bucket}
		return
	}
	for w.newest < bucket {
		w.newest++
		w.requests[w.newest%buckets] = 0
		w.retries[w.newest%buckets] = 0
	}
}

func sum(counts [buckets]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
