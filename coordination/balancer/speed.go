package balancer

import (
	"math"
	"time"
)

const (
	// The slowdown of an upstream is estimated as if priorSamples figures of 1 had come
	// before the first one. Each further figure has at least the weight minSampleWeight.
	priorSamples    = 1
	minSampleWeight = 0.08
	// reportedWeight is the largest weight of another instance's estimate.
	reportedWeight = 0.15
	// minSlowdown and maxSlowdown bound a figure.
	minSlowdown = 0.25
	maxSlowdown = 8
	// statedHalfLife is the age at which a stated figure counts half.
	statedHalfLife = 300 * time.Millisecond
	// Upstreams whose slowdowns differ by speedLevelFactor are on different speed levels.
	// speedLevelMargin is how far beyond the middle between two levels, as a share of their
	// distance, an estimate has to be for a change.
	speedLevelFactor = 1.6
	speedLevelMargin = 0.15
)

// speed estimates how long work takes at one upstream, as a multiple of what is usual for
// its service.
type speed struct {
	// mean is the slowdown over many figures, and samples how many there were. Zero
	// samples mean a slowdown of 1.
	mean    float64
	samples int
	// stated is the last figure that the upstream stated, at statedAt.
	stated   float64
	statedAt time.Time
	// level is the logarithm of the mean in steps of speedLevelFactor.
	level int
}

// observe counts a figure that the upstream stated to this instance.
func (s *speed) observe(now time.Time, slowdown float64) {
	slowdown = min(max(slowdown, minSlowdown), maxSlowdown)
	s.average(slowdown, 1)
	s.stated, s.statedAt = slowdown, now
}

// observeReport counts the mean of another instance; 0 if it has none.
func (s *speed) observeReport(mean float64) {
	if mean > 0 {
		s.average(min(max(mean, minSlowdown), maxSlowdown), reportedWeight)
	}
}

func (s *speed) average(slowdown, maxWeight float64) {
	if s.samples == 0 {
		s.mean = 1
	}
	s.samples++
	weight := max(1/float64(s.samples+priorSamples), minSampleWeight)
	s.mean += min(weight, maxWeight) * (slowdown - s.mean)
	level := math.Log(s.mean) / math.Log(speedLevelFactor)
	if math.Abs(level-float64(s.level)) > 0.5+speedLevelMargin {
		s.level = int(math.Round(level))
	}
}

// usual returns the slowdown that the upstream has most of the time.
func (s *speed) usual() float64 {
	if s.samples == 0 {
		return 1
	}
	return s.mean
}

// at returns the slowdown that is expected at now: the last stated figure, which counts the
// less the older it is, and else the usual one.
func (s *speed) at(now time.Time) float64 {
	usual := s.usual()
	if s.statedAt.IsZero() {
		return usual
	}
	age := max(now.Sub(s.statedAt), 0)
	return usual + (s.stated-usual)*math.Exp2(-age.Seconds()/statedHalfLife.Seconds())
}

// report returns the mean slowdown for other instances; 0 without a figure.
func (s *speed) report() float64 {
	if s.samples == 0 {
		return 0
	}
	return s.mean
}
