package admission

import (
	"math"
	"time"
)

const (
	rateTimeConstant = 5 * time.Second
	// minRateCount is the decayed count below which a rate is unknown.
	minRateCount = 4
)

// rate estimates the recent frequency of an event from a count that decays
// exponentially, to 1/e in rateTimeConstant.
type rate struct {
	// count is the decayed count at updatedAt.
	count float64
	// since is the time of the first event.
	since     time.Time
	updatedAt time.Time
}

func (r *rate) add(now time.Time) {
	if r.since.IsZero() {
		r.since = now
		r.updatedAt = now
	}
	r.count = r.decayedCount(now) + 1
	r.updatedAt = now
}

func (r *rate) decayedCount(now time.Time) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.updatedAt))/float64(rateTimeConstant))
}

// perSecond returns the rate; false if there were too few recent events.
func (r *rate) perSecond(now time.Time) (float64, bool) {
	count := r.decayedCount(now)
	if count < minRateCount {
		return 0, false
	}
	elapsed := float64(now.Sub(r.since)) / float64(rateTimeConstant)
	window := rateTimeConstant.Seconds() * (1 - math.Exp(-elapsed))
	if window <= 0 {
		return 0, false
	}
	return count / window, true
}
