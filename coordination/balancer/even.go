package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// drawStep is the distance of consecutive draws modulo 1, the golden ratio, which
	// spreads any number of them evenly.
	drawStep = 0.6180339887498949
	// drawSeeds is the number of different beginnings of the sequence of draws.
	drawSeeds = 1 << 20
	// exactRequests is the number of requests at an upstream up to which each one counts
	// fully. Where more run, differences of a few matter little, and to act on them by old
	// news would let the load swing.
	exactRequests = 4
	// maxAboveLevel is how far the running requests of an engine may exceed its share
	// before each further one costs excessPenalty.
	maxAboveLevel = 1.25
	excessPenalty = 4 * time.Millisecond
)

// share is the room of one upstream below the level to which all are filled.
type share struct {
	upstream *upstream
	// requests counts those that are known to run there, and this one.
	requests float64
	// slowdown is how long work takes there.
	slowdown float64
	// room is the number of requests that fit in below the level.
	room float64
}

// shares distributes the requests that are likely to come before the next news over
// candidates, so that the work on each is the same as far as possible. The work on an
// upstream is its number of requests times its slowdown. The level is the work on those
// that have room.
func shares(candidates []share, likely float64) (level float64) {
	level = math.Inf(1)
	for {
		requests, capacity := likely, 0.0
		for _, s := range candidates {
			if s.work() < level {
				requests += s.requests
				capacity += 1 / s.slowdown
			}
		}
		lower := requests / capacity
		if lower >= level {
			break
		}
		level = lower
	}
	for i := range candidates {
		s := &candidates[i]
		s.room = max(level/s.slowdown-s.requests, 0)
	}
	return level
}

func (s share) work() float64 { return s.requests * s.slowdown }

// sharesOf returns the shares of candidates in this and all likely requests, and the
// level. The requests of instances that were not heard are taken to be spread evenly.
func (c *Chooser) sharesOf(now time.Time, candidates []*upstream) ([]share, float64) {
	total := c.total(now)
	others := c.othersLikely(now)
	all := make([]share, len(candidates))
	capacity := 0.0
	for i, u := range candidates {
		slowdown := c.load(now, u).slowness(total) * u.speed.usual()
		all[i] = share{upstream: u, requests: float64(u.local.Running + u.peers.Running + 1), slowdown: slowdown}
		capacity += 1 / slowdown
	}
	likely := 1 + others.sent
	for i := range all {
		all[i].requests += others.unheard / all[i].slowdown / capacity
		if others.any {
			likely += max(all[i].requests-exactRequests, 0)
		}
	}
	level := shares(all, likely)
	return all, level
}

// othersLikely is what other instances are likely to have beyond their reports.
type othersLikely struct {
	// any is set if there are others.
	any bool
	// unheard counts the running requests of those that did not report lately.
	unheard float64
	// sent counts the requests that all have sent since the reports.
	sent float64
}

// othersLikely takes those that did not report for like this instance and those that did.
func (c *Chooser) othersLikely(now time.Time) othersLikely {
	c.sumReports(now)
	reports, age := c.reportStats(now)
	scale := c.reportScale(reports)
	if reports == 0 && scale == 1 {
		return othersLikely{}
	}
	running, started := 0.0, 0.0
	for _, u := range c.upstreams {
		running += float64(u.local.Running + u.peers.Running)
		started += u.local.Started + u.peers.Started
	}
	return othersLikely{
		any: true, unheard: (scale - 1) * running,
		sent: scale * started / countTimeConstant.Seconds() * age.Seconds() / 2,
	}
}

// draw returns the next number of an even sequence in [0, 1).
func (c *Chooser) draw() float64 {
	c.draws++
	_, fraction := math.Modf(float64(c.Seed%drawSeeds)/drawSeeds + float64(c.draws%drawSeeds)*drawStep)
	return fraction
}

// leastLoaded returns a candidate below the level of work that all reach when the likely
// requests of all instances are sent: the one with the least work if the news are fresh, one
// by its room otherwise. So instances that hear the same do not choose the same. An instance
// that is alone knows all, and takes the least work.
func (c *Chooser) leastLoaded(now time.Time, candidates []*upstream) *upstream {
	all, _ := c.sharesOf(now, candidates)
	if !c.othersLikely(now).any {
		return leastWork(all)
	}
	room := 0.0
	for _, s := range all {
		room += s.room
	}
	left := c.draw() * room
	for _, s := range all {
		if left -= s.room; left < 0 {
			return s.upstream
		}
	}
	return slices.MaxFunc(all, func(a, b share) int { return cmp.Compare(a.room, b.room) }).upstream
}

// leastWork returns the upstream with the least work. Among equals it prefers the one that
// started the fewest requests recently, so that the delay of each upstream stays known.
func leastWork(all []share) *upstream {
	return slices.MinFunc(all, func(a, b share) int {
		return cmp.Or(cmp.Compare(a.work(), b.work()), cmp.Compare(a.upstream.local.Started, b.upstream.local.Started),
			cmp.Compare(a.upstream.Upstream, b.upstream.Upstream))
	}).upstream
}

// excessCosts returns the costs of sending a further request to engines that run clearly
// more than their share.
func (c *Chooser) excessCosts(now time.Time, engines []*upstream) []time.Duration {
	all, level := c.sharesOf(now, engines)
	costs := make([]time.Duration, len(all))
	for i, s := range all {
		excess := s.requests - maxAboveLevel*level/s.slowdown
		costs[i] = time.Duration(max(excess, 0) * float64(excessPenalty))
	}
	return costs
}

// Spread returns how many times its share by speed the busiest upstream has lately begun to
// answer, at this instance and those that reported; 0 without requests.
func (c *Chooser) Spread(now time.Time) float64 {
	c.sumReports(now)
	busiest, started, capacity := 0.0, 0.0, 0.0
	for _, u := range c.upstreams {
		u.decayCounts(now)
		count := u.local.Started + u.peers.Started
		busiest = max(busiest, count*u.speed.usual())
		started += count
		capacity += 1 / u.speed.usual()
	}
	if started == 0 {
		return 0
	}
	return busiest * capacity / started
}
