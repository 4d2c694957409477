package retry

import (
	"math"
	"time"
)

const (
	defaultRetryRatio = 0.2
	defaultFloor      = 3

	// creditMemory is how fast unused credit of successes fades.
	creditTimeConstant = 10 * time.Second
	// creditLimit bounds the credit of successes.
	maxCredit = 1000
	// floorPerSecond is how fast the floor is regained.
	floorRefillPerSecond = 1
)

// budget is the retries that one class may make in one pool.
type budget struct {
	floor float64
	// spare is what is left of the floor.
	floorLeft float64
	// credit is earned by successes and fades.
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

// take spends one retry; it reports whether there was one.
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
