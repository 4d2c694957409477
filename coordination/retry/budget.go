package retry

import (
	"math"
	"time"
)

const (
	defaultShare = 0.2
	defaultFloor = 3

	// creditMemory is how fast unused credit of successes fades.
	creditMemory = 10 * time.Second
	// creditLimit bounds the credit of successes.
	creditLimit = 1000
	// floorPerSecond is how fast the floor is regained.
	floorPerSecond = 1
)

// budget is the retries that one class may make in one pool.
type budget struct {
	floor float64
	// spare is what is left of the floor.
	spare float64
	// credit is earned by successes and fades.
	credit float64
	at     time.Time
}

func (b *budget) advance(now time.Time) {
	passed := now.Sub(b.at)
	if passed <= 0 {
		return
	}
	b.at = now
	b.spare = min(b.floor, b.spare+passed.Seconds()*floorPerSecond)
	b.credit *= math.Exp(-float64(passed) / float64(creditMemory))
}

func (b *budget) succeeded(now time.Time, share float64) {
	b.advance(now)
	b.credit = min(creditLimit, b.credit+share)
}

// take spends one retry; it reports whether there was one.
func (b *budget) take(now time.Time) bool {
	b.advance(now)
	switch {
	case b.credit >= 1:
		b.credit--
	case b.spare >= 1:
		b.spare--
	default:
		return false
	}
	return true
}
