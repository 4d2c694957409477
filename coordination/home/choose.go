package home

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehead/state/id"
)

// enoughFree is the free share of slots above which a home in the entry's own
// failure domain is taken before an emptier one elsewhere.
const enoughFree = 0.2

// Load is the last that was heard of a pool at a home.
type Load struct {
	// Known is false when nothing was heard, or too long ago.
	Known bool
	Free  int
	Slots int
	// Wait is the expected wait of a new arrival of the tier in question.
	Wait time.Duration
	// Sent counts the reservations that this entry made there since.
	Sent int
}

// Choice is a question: where to reserve.
type Choice struct {
	// FailureDomain is the entry's own.
	FailureDomain id.FailureDomain
	// Reservation spreads choices; the same one gives the same answer.
	Reservation id.Reservation
	// Homes are the homes of the pool in a narrowed placement.
	Homes []PoolHome
	// Loads may lack homes.
	Loads map[id.Instance]Load
}

// Order returns the homes to ask, the preferred one first and the rest in the
// order in which to spill. Two homes are drawn at random, weighted by slots,
// and the one with the lower expected wait goes first; drawing from two keeps
// entries from flocking to the home that the latest summaries name. Doubtful
// homes come last.
func (c Choice) Order() []PoolHome {
	homes := slices.Clone(c.Homes)
	first := c.drawTwo(homes)
	slices.SortStableFunc(homes, func(a, b PoolHome) int {
		return c.compare(a, b, first)
	})
	return homes
}

func (c Choice) compare(a, b PoolHome, drawn [2]id.Instance) int {
	if a.Doubtful != b.Doubtful {
		return boolOrder(!a.Doubtful, !b.Doubtful)
	}
	aDrawn, bDrawn := contains(drawn, a.Instance), contains(drawn, b.Instance)
	if aDrawn != bDrawn {
		return boolOrder(aDrawn, bDrawn)
	}
	return c.compareLoad(a, b)
}

func (c Choice) compareLoad(a, b PoolHome) int {
	la, lb := c.load(a), c.load(b)
	if la.wait != lb.wait {
		return compareOrdered(la.wait, lb.wait)
	}
	aNear, bNear := a.FailureDomain == c.FailureDomain, b.FailureDomain == c.FailureDomain
	aNear = aNear && la.free >= enoughFree
	bNear = bNear && lb.free >= enoughFree
	if aNear != bNear {
		return boolOrder(aNear, bNear)
	}
	return compareOrdered(lb.free, la.free)
}

type estimate struct {
	wait time.Duration
	// free is the share of slots that is free.
	free float64
}

// load corrects the last summary by what was sent since. A home that was not
// heard of counts as half free: it is tried, though not before an idle one.
func (c Choice) load(h PoolHome) estimate {
	l, ok := c.Loads[h.Instance]
	if !ok || !l.Known || l.Slots == 0 {
		return estimate{free: 0.5}
	}
	free := l.Free - l.Sent
	if free > 0 {
		return estimate{wait: l.Wait, free: float64(free) / float64(l.Slots)}
	}
	waitPerSlot := l.Wait / time.Duration(l.Slots)
	return estimate{wait: l.Wait + waitPerSlot*time.Duration(-free) + time.Duration(1-free)}
}

// drawTwo draws two homes without replacement, weighted by slots, by the
// smallest of exponential variates.
func (c Choice) drawTwo(homes []PoolHome) [2]id.Instance {
	key := xxhash.Sum64String(string(c.Reservation))
	var drawn [2]id.Instance
	least := [2]float64{math.Inf(1), math.Inf(1)}
	for _, h := range homes {
		if h.Doubtful {
			continue
		}
		v := exponential(score(key, h)) / float64(max(h.Slots, 1))
		switch {
		case v < least[0]:
			drawn[1], least[1] = drawn[0], least[0]
			drawn[0], least[0] = h.Instance, v
		case v < least[1]:
			drawn[1], least[1] = h.Instance, v
		}
	}
	return drawn
}

func exponential(hash uint64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform)
}

func contains(drawn [2]id.Instance, instance id.Instance) bool {
	return drawn[0] == instance || drawn[1] == instance
}

func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func compareOrdered[T ~int64 | ~uint64 | ~float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
