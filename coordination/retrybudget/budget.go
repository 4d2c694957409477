// Package retrybudget limits how often requests may be retried at another
// upstream. All instances together stay below a retry budget for each service:
// in any window of a given length, a ratio of its requests plus a fixed slack.
// Each instance spends only its own part of the budget.
package retrybudget

import (
	"time"

	"samphirehead/state/id"
)

const (
	// buckets is the number of parts in which a window is counted.
	buckets = 10
	// usableFraction is the fraction of the budget that may be spent. The
	// rest is a margin, because callers may move between instances within a
	// window.
	usableFraction = 0.7
)

// Budget is this process's part of the retry budgets of all services. Its
// exported fields are set before first use. It is not safe for concurrent use.
//
// A process has no part of the slack for its first Window: the one that it replaces may
// just have spent that.
type Budget struct {
	// Ratio and Slack define a service's budget for all instances together:
	// Ratio times its requests in a Window, plus Slack retries.
	Ratio  float64
	Slack  float64
	Window time.Duration

	// start is the time of the first call; zero before.
	start     time.Time
	instances instanceCount
	windows   map[id.Service]*window
}

// window counts the requests and retries of one service in the last Window. It
// is a ring of buckets.
type window struct {
	requests [buckets]float64
	retries  [buckets]float64
	// newest is the number of the newest bucket, counted since Budget.start.
	newest int64
}

// ObserveInstances reports how many instances share the budget, as far as this one knows.
func (b *Budget) ObserveInstances(now time.Time, instances int) {
	b.instances.observe(b.age(now), instances)
}

// RecordRequest counts a caller's request, from which the budget grows.
func (b *Budget) RecordRequest(now time.Time, service id.Service) {
	w := b.windowAt(now, service)
	w.requests[w.newest%buckets]++
}

// Allow reports whether a retry may be sent now, and counts it if so.
func (b *Budget) Allow(now time.Time, service id.Service) bool {
	if spent, allowed := b.Usage(now, service); spent+1 > allowed {
		return false
	}
	w := b.windowAt(now, service)
	w.retries[w.newest%buckets]++
	return true
}

// Usage returns how many retries this instance spent in the last Window, and
// how many it may spend.
func (b *Budget) Usage(now time.Time, service id.Service) (spent, allowed float64) {
	w := b.windowAt(now, service)
	allowed = b.Ratio * sum(w.requests)
	if b.age(now) >= b.Window {
		allowed += b.Slack / float64(b.instances.most(b.age(now)))
	}
	return sum(w.retries), usableFraction * allowed
}

// age returns the time since the first call. It does not follow the time of day, which may
// jump.
func (b *Budget) age(now time.Time) time.Duration {
	if b.start.IsZero() {
		b.start = now
	}
	return now.Sub(b.start)
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
	w.advance(int64(b.age(now) / (b.Window / buckets)))
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
