package admission

import (
	"math"
	"time"
)

const (
	rateMemory = 5 * time.Second
	// rateTrust is how many events make a rate known.
	rateTrust = 4
)

// rate is the recent frequency of an event, with exponential forgetting.
type rate struct {
	count float64
	since time.Time
	at    time.Time
}

func (r *rate) add(now time.Time) {
	if r.since.IsZero() {
		r.since = now
		r.at = now
	}
	r.count = r.decayed(now) + 1
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	return r.count * math.Exp(-float64(now.Sub(r.at))/float64(rateMemory))
}

// perSecond returns the rate; false while too little was seen.
func (r *rate) perSecond(now time.Time) (float64, bool) {
	count := r.decayed(now)
	if count < rateTrust {
		return 0, false
	}
	passed := float64(now.Sub(r.since)) / float64(rateMemory)
	window := rateMemory.Seconds() * (1 - math.Exp(-passed))
	if window <= 0 {
		return 0, false
	}
	return count / window, true
}
