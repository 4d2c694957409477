package admission

import (
	"math"
	"time"
)

const (
	rateTimeConstant = 5 * time.Second
	// rateTrust is how many events make a rate known.
	minRateCount = 4
)

// rate is the recent frequency of an event, with exponential forgetting.
type rate struct {
	count     float64
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

// perSecond returns the rate; false while too little was seen.
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
