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
	cells = 10
	// margin is the part of the budget that is spent at most: callers may
	// move between instances within a window.
	margin = 0.7
)

// Share is this instance's part of the budgets. Its exported fields are set
// before first use. It is not safe for concurrent use.
type Share struct {
	// Ratio and Slack make the budget of all instances in one Window.
	Ratio  float64
	Slack  float64
	Window time.Duration

	services map[id.Service]*window
}

// window counts requests and repeats in the cells of the last window.
type window struct {
	requests [cells]float64
	repeats  [cells]float64
	// cell numbers the newest one.
	cell int64
}

// Arrived counts a request of a caller.
func (s *Share) Arrived(now time.Time, service id.Service) {
	w := s.at(now, service)
	w.requests[w.cell%cells]++
}

// Take spends one repeat and reports whether there was one. instances is the
// number that share the budget, at least 1.
func (s *Share) Take(now time.Time, service id.Service, instances int) bool {
	if spent, allowed := s.Budget(now, service, instances); spent+1 > allowed {
		return false
	}
	w := s.at(now, service)
	w.repeats[w.cell%cells]++
	return true
}

// Budget returns how many repeats this instance spent in the last window, and
// how many it may.
func (s *Share) Budget(now time.Time, service id.Service, instances int) (spent, allowed float64) {
	w := s.at(now, service)
	return sum(w.repeats), margin * (s.Ratio*sum(w.requests) + s.Slack/float64(max(instances, 1)))
}

func (s *Share) at(now time.Time, service id.Service) *window {
	if s.services == nil {
		s.services = make(map[id.Service]*window)
	}
	w, ok := s.services[service]
	if !ok {
		w = &window{}
		s.services[service] = w
	}
	w.advance(now.UnixNano() / int64(s.Window/cells))
	return w
}

func (w *window) advance(cell int64) {
	if cell-w.cell >= cells {
		*w = window{cell: cell}
		return
	}
	for w.cell < cell {
		w.cell++
		w.requests[w.cell%cells] = 0
		w.repeats[w.cell%cells] = 0
	}
}

func sum(counts [cells]float64) float64 {
	total := 0.0
	for _, n := range counts {
		total += n
	}
	return total
}
