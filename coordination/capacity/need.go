package capacity

import (
	"math"
	"time"
)

const (
	// comfortableUse is the share of an upstream's slots, memory and prompt reading up to
	// which streams beside the reading of prompts seldom pause for long.
	comfortableUse = 0.45
	// growth is the factor by which demand may rise before upstreams that are ordered for
	// it serve.
	growth = 1.6
	// maxRefusedFactor bounds what refused requests add to the demand, as callers repeat
	// them.
	maxRefusedFactor = 2
)

// Upstream is the capacity of each upstream of a service. A field is 0 if not known.
type Upstream struct {
	Slots    int
	KVTokens float64
	// PrefillTokens is how many prompt tokens it processes a second.
	PrefillTokens float64
}

// Cause names what decides how many upstreams are needed.
type Cause string

// The causes.
const (
	Idle    Cause = "idle"
	Slots   Cause = "slots"
	Memory  Cause = "memory"
	Prefill Cause = "prefill"
)

// need is how many upstreams a demand needs.
type need struct {
	// upstreams is a fraction, as it is divided further.
	upstreams float64
	cause     Cause
}

// needOf returns how many upstreams a demand keeps at a comfortable use.
func needOf(d Demand, u Upstream) need {
	served := max(d.Requests-d.Refused, d.Requests/maxRefusedFactor)
	factor := 1.0
	if served > 0 {
		factor = d.Requests / served
	}
	best := need{cause: Idle}
	for _, one := range []struct {
		cause            Cause
		demand, capacity float64
	}{
		{Slots, d.Running, float64(u.Slots)}, {Memory, d.Memory, u.KVTokens}, {Prefill, d.PrefillTokens, u.PrefillTokens},
	} {
		if one.capacity <= 0 {
			continue
		}
		if n := factor * one.demand / one.capacity / comfortableUse; n > best.upstreams {
			best = need{n, one.cause}
		}
	}
	return best
}

const (
	// HoldTime is how long capacity is kept for demand that has gone: bursts come back.
	HoldTime = time.Minute
	// holdPeriods is the number of periods in which HoldTime is counted.
	holdPeriods = 12
)

// peak remembers the highest need within HoldTime. The zero value is ready.
type peak struct {
	// in holds the highest need of each period, as a ring.
	in     [holdPeriods]need
	newest int64
}

// observe records a need at an age of the machine.
func (p *peak) observe(age time.Duration, n need) {
	period := int64(age / (HoldTime / holdPeriods))
	if period-p.newest >= holdPeriods {
		*p = peak{newest: period}
	}
	for p.newest < period {
		p.newest++
		p.in[p.newest%holdPeriods] = need{}
	}
	current := &p.in[p.newest%holdPeriods]
	if n.upstreams >= current.upstreams {
		*current = n
	}
}

// highest returns the highest need within HoldTime.
func (p *peak) highest() need {
	best := need{cause: Idle}
	for _, n := range p.in {
		if n.upstreams > best.upstreams {
			best = n
		}
	}
	return best
}

// usual returns the mean of the highest needs of the periods in which there was one. The
// newest period, which isn't over, counts only if it raises the mean.
func (p *peak) usual() float64 {
	newest := int(p.newest % holdPeriods)
	sum, periods := 0.0, 0
	for i, n := range p.in {
		if n.upstreams > 0 && i != newest {
			sum += n.upstreams
			periods++
		}
	}
	mean := sum / float64(max(periods, 1))
	if current := p.in[newest].upstreams; current > mean {
		return (sum + current) / float64(periods+1)
	}
	return mean
}

// grown returns how many upstreams the demand may need before those that are ordered for it
// serve.
func (p *peak) grown() float64 { return max(p.highest().upstreams, growth*p.usual()) }

// ceil rounds up to whole upstreams.
func ceil(upstreams float64) int { return int(math.Ceil(upstreams - roundingError)) }

// roundingError is what sums of fractions may exceed a whole number by.
const roundingError = 1e-9
