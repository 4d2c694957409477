package choice

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// kind says how a request gets along with others on one engine.
type kind string

const (
	// bulk requests have long prompts, whose reading stretches the pauses of
	// all streams beside them.
	bulk kind = "bulk"
	// sensitive streams have an objective for pauses that reading beside them
	// breaks.
	sensitive kind = "sensitive"
	// tolerant requests are neither.
	tolerant kind = "tolerant"
)

const (
	// bulkObjectives is how many times the tightest objective of its service
	// the objective of bulk requests is.
	bulkObjectiveFactor = 3
	// fullStep is how long an engine is assumed to need for one token beside
	// the reading of a long prompt, until streams beside it tell.
	defaultTokenInterval = 35 * time.Millisecond
	// pauseQuantile is the share of streams beside bulk requests whose
	// longest pause is at most what is learned, pauseStep how much one stream
	// moves it, and pauseMargin what is added for the others.
	pauseQuantile = 0.9
	pauseStep     = 0.02
	pauseMargin   = 1.25

	// demandMemory is the time constant of the demand for reading.
	demandTimeConstant = 2 * time.Second
	// laneUse is the part of their time that engines of sensitive streams are
	// meant to read at most.
	maxPrefillUtilization = 0.35
	// streamsPerEngine is the number of sensitive streams that one engine is
	// meant to carry.
	streamsPerEngine = 28
	// shrinkInterval is the least time between two steps down, shrinkSlack
	// how many engines the lane may be too large before it takes one.
	shrinkInterval = 2 * time.Second
	shrinkMargin   = 1.3
	// laneShare is the largest part of the engines that the lane takes.
	maxReservedShare = 0.7
)

// lanes keeps bulk requests and sensitive streams on different engines. The
// lane of sensitive streams follows the demand of all entries; all other
// engines run bulk requests. Tolerant requests run on any.
type enginePartition struct {
	// size is the number of engines that bulk requests stay away from.
	reserved  int
	resizedAt time.Time
	// reading is this entry's decaying sum of seconds of reading for sensitive
	// streams, as of at.
	prefillSeconds float64
	decayedAt      time.Time
	// pause is the longest pause that most streams beside bulk requests have;
	// 0 until one told.
	pauseEstimate time.Duration
}

func (p *enginePartition) decay(now time.Time) {
	if elapsed := now.Sub(p.decayedAt); elapsed > 0 {
		p.prefillSeconds *= decayFactor(elapsed, demandTimeConstant)
		p.decayedAt = now
	}
}

// paused learns from the longest pause of a stream beside bulk requests.
func (p *enginePartition) observePause(longest time.Duration) {
	step := time.Duration(pauseStep * float64(p.pauseEstimate))
	if longest > p.pauseEstimate {
		p.pauseEstimate += time.Duration(pauseQuantile * float64(step))
		return
	}
	p.pauseEstimate -= time.Duration((1 - pauseQuantile) * float64(step))
}

// kind tells the requests apart.
func (c *Chooser) kindOf(r Request) kind {
	if c.partition.pauseEstimate == 0 {
		c.partition.pauseEstimate = time.Duration(max(c.service.Engine.EventTokens, 1)) * defaultTokenInterval
	}
	expectedPause := time.Duration(pauseMargin * float64(c.partition.pauseEstimate))
	switch {
	case c.tightestObjective > 0 && r.Objective >= bulkObjectiveFactor*c.tightestObjective:
		return bulk
	case r.PauseObjective > 0 && r.PauseObjective < expectedPause:
		return sensitive
	}
	return tolerant
}

// Demand returns the part of one engine's time that reading for sensitive
// streams of this entry takes.
func (c *Chooser) Demand(now time.Time) float64 {
	c.partition.decay(now)
	return c.partition.prefillSeconds / demandTimeConstant.Seconds()
}

// lane returns the candidates for a kind of request. Where there is one engine
// only, all get it.
func (c *Chooser) enginesFor(now time.Time, k kind, candidates []*upstream) []*upstream {
	ordered := slices.Clone(candidates)
	if len(ordered) < 2 {
		return ordered
	}
	slices.SortFunc(ordered, func(a, b *upstream) int { return cmp.Compare(a.order, b.order) })
	prefillLoad, streams := c.Demand(now), 0
	for _, report := range c.reports {
		if now.Sub(report.receivedAt) <= loadReportTTL {
			prefillLoad += report.Demand
		}
	}
	for _, u := range candidates {
		streams += c.load(now, u).Sensitive
	}
	c.partition.resize(now, prefillLoad, streams, len(ordered))
	switch k {
	case bulk:
		return ordered[c.partition.reserved:]
	case sensitive:
		return ordered[:c.partition.reserved]
	}
	return ordered
}

// resize makes the lane as large as the streams need at once, and smaller
// slowly.
func (p *enginePartition) resize(now time.Time, prefillLoad float64, streams, engines int) {
	needed := max(prefillLoad/maxPrefillUtilization, float64(streams)/streamsPerEngine)
	maxReserved := max(int(maxReservedShare*float64(engines)), 1)
	if wanted := int(math.Ceil(needed)); wanted > p.reserved {
		p.reserved, p.resizedAt = wanted, now
	}
	if needed+shrinkMargin < float64(p.reserved) && now.Sub(p.resizedAt) >= shrinkInterval {
		p.reserved--
		p.resizedAt = now
	}
	p.reserved = min(max(p.reserved, 1), maxReserved)
}
