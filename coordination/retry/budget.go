package retry

import (
	"math"
	"time"
)

const (
	defaultRetryRatio = 0.2
	defaultFloor      = 3

	// creditTimeConstant is the time constant with which unused credit decays.
	creditTimeConstant = 10 * time.Second
	// maxCredit limits the credit, in retries.
	maxCredit = 1000
	// floorRefillPerSecond is how many retries of the floor are refilled a second.
	floorRefillPerSecond = 1
)

// budget limits the retries of one class in one pool.
type budget struct {
	floor float64
	// floorLeft is how many retries of the floor are left.
	floorLeft float64
	// credit is the number of retries earned by successes. It decays.
	credit    float64
	updatedAt time.Time
}

func (b *budget) advanceTo(now time.Time) {
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.floorLeft = min(b.floor, b.floorLeft+elapsed.Seconds()*floorRefillPerSecond)
	b.credit *= math.Exp(-float64(elapsed) / float64(creditTimeConstant))
}

func (b *budget) recordSuccess(now time.Time, ratio float64) {
	b.advanceTo(now)
	b.credit = min(maxCredit, b.credit+ratio)
}

// spend takes one retry and reports whether there was one.
func (b *budget) spend(now time.Time) bool {
	b.advanceTo(now)
	switch {
	case b.credit >= 1:
		b.credit--
	case b.floorLeft >= 1:
		b.floorLeft--
	default:
		return false
	}
	return true
}
