package upstream

import (
	"math"
	"slices"
	"time"
)

const (
	speedWeight = 0.2
	// speedTrust is how many samples make an upstream's average count.
	speedTrust = 4
	// speedMemory is how fast an average without new samples fades.
	speedMemory = 10 * time.Second
	// slowestFactor bounds how far an upstream is slowed down.
	slowestFactor = 8
	// tolerance is the factor up to which an upstream counts as normal.
	tolerance = 1.5
	// baseDelay is the part of a first token's delay that isn't prefill.
	baseDelay = 20 * time.Millisecond
)

// Speed compares an upstream's latencies with the median of its pool. The zero
// value counts as normal.
type Speed struct {
	first average
	gap   average
	// factor is at least 1.
	factor  float64
	updated time.Time
}

type average struct {
	value float64
	count int
}

func (a *average) add(v float64) {
	a.count++
	if a.count == 1 {
		a.value = v
		return
	}
	a.value += speedWeight * (v - a.value)
}

// FirstToken records how long a first token took against the expected prefill.
func (s *Speed) FirstToken(took, expected time.Duration) {
	s.first.add(float64(took+baseDelay) / float64(expected+baseDelay))
}

// Gap records the mean time between two tokens.
func (s *Speed) Gap(gap time.Duration) { s.gap.add(float64(gap)) }

// Factor returns by how much work for this upstream is expected to take longer
// than at its peers, 1 to 8.
func (s *Speed) Factor(now time.Time) float64 {
	if s.factor <= 1 {
		return 1
	}
	faded := math.Exp(-float64(now.Sub(s.updated)) / float64(speedMemory))
	return 1 + (s.factor-1)*min(1, faded)
}

// Compare sets the factors of a pool's upstreams from their averages.
func Compare(now time.Time, peers []*Speed) {
	first := median(peers, func(s *Speed) average { return s.first })
	gap := median(peers, func(s *Speed) average { return s.gap })
	for _, s := range peers {
		ratio := max(s.first.ratio(first), s.gap.ratio(gap))
		s.set(now, ratio)
	}
}

func (s *Speed) set(now time.Time, ratio float64) {
	if ratio < tolerance {
		s.factor = 1
		return
	}
	s.factor = min(ratio, slowestFactor)
	s.updated = now
}

func (a average) ratio(middle float64) float64 {
	if a.count < speedTrust || middle <= 0 {
		return 1
	}
	return a.value / middle
}

// median returns the lower median of the averages with enough samples; 0 when
// fewer than two have.
func median(peers []*Speed, pick func(*Speed) average) float64 {
	var values []float64
	for _, s := range peers {
		if a := pick(s); a.count >= speedTrust {
			values = append(values, a.value)
		}
	}
	if len(values) < 2 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
