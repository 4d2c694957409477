package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"samphirehead/state/id"
)

// kind classifies requests by their effect on others on the same engine.
type kind string

const (
	// bulk requests have long prompts, whose prefill lengthens the pauses of
	// all streams on the same engine.
	bulk kind = "bulk"
	// sensitive streams have a pause objective that the prefill of bulk
	// requests on the same engine would violate.
	sensitive kind = "sensitive"
	// tolerant requests are neither.
	tolerant kind = "tolerant"
)

const (
	// A request is patient if its objective is at least bulkObjectiveFactor times
	// the tightest objective of its service.
	bulkObjectiveFactor = 3

	// Streams with the tightest pause objective are kept from bulk requests also
	// while it is not at risk, as long as bulk requests are expected to wait for
	// less than maxBulkWait of their objective. bulkWaitStep is the weight of one
	// request in the average.
	maxBulkWait  = 0.4
	bulkWaitStep = 0.2

	// demandTimeConstant is the time constant of the prefill demand.
	demandTimeConstant = 2 * time.Second
	// maxPrefillUtilization is the largest share of their time that the
	// reserved engines are planned to spend on prefill.
	maxPrefillUtilization = 0.35
	// streamsPerEngine is the number of sensitive streams planned for one
	// reserved engine. Of an engine's slots they are to take no more than
	// maxStreamShare.
	streamsPerEngine = 28
	maxStreamShare   = 0.5
	// While there are spare engines, some are reserved beyond what is needed, until
	// the reserved ones spend comfortablePrefill of their time on prefill and run
	// comfortableStreams streams each. The others keep as many engines as they need
	// to spend maxOtherUtilization of their time on prefill, and 1-maxSpareShare of
	// the spare ones.
	comfortablePrefill  = 0.08
	comfortableStreams  = 5
	maxOtherUtilization = 0.3
	maxSpareShare       = 0.6
	// returnInterval takes the place of shrinkInterval while other requests need more
	// engines than they have.
	returnInterval = 200 * time.Millisecond
	// growInterval is the time from one change of the number of reserved engines
	// to an increase that is not needed.
	growInterval = 500 * time.Millisecond
	// shrinkInterval is the least time from one change of the number of
	// reserved engines to a decrease, and shrinkMargin how many more engines
	// than needed may stay reserved.
	shrinkInterval = 2 * time.Second
	shrinkMargin   = 1.3
	// initialReservedShare is the share of the engines that is reserved until
	// demand is known.
	initialReservedShare = 0.1
	// maxReservedShare is the largest share of the engines that is reserved.
	maxReservedShare = 0.7
)

// enginePartition keeps bulk requests and sensitive streams on different engines.
// The number of engines reserved for sensitive streams follows the demand of all
// instances. The others run bulk requests. Tolerant requests run on any engine.
type enginePartition struct {
	// reserved is the number of engines that get no bulk requests.
	reserved  int
	resizedAt time.Time
	// sensitiveSeconds and otherSeconds are this instance's decaying sums of prefill
	// time for sensitive streams and for other requests, as of decayedAt.
	sensitiveSeconds, otherSeconds float64
	decayedAt                      time.Time
}

// Demand is prefill time as a multiple of one engine's time.
type Demand struct {
	// Sensitive is that for sensitive streams, Other that for other requests.
	Sensitive, Other float64
}

func (d Demand) add(other Demand) Demand {
	return Demand{Sensitive: d.Sensitive + other.Sensitive, Other: d.Other + other.Other}
}

func (d Demand) times(factor float64) Demand {
	return Demand{Sensitive: factor * d.Sensitive, Other: factor * d.Other}
}

func (p *enginePartition) decay(now time.Time) {
	if elapsed := now.Sub(p.decayedAt); elapsed > 0 {
		factor := decayFactor(elapsed, demandTimeConstant)
		p.sensitiveSeconds *= factor
		p.otherSeconds *= factor
		p.decayedAt = now
	}
}

// observe adds the prefill time of a request that is about to be sent.
func (p *enginePartition) observe(now time.Time, k kind, prefill time.Duration) {
	p.decay(now)
	if k == sensitive {
		p.sensitiveSeconds += prefill.Seconds()
		return
	}
	p.otherSeconds += prefill.Seconds()
}

// kindOf returns the kind of a request.
func (c *Chooser) kindOf(r Request) kind {
	switch {
	case c.patient(r) || c.breaksPauses(r):
		return bulk
	case r.PauseObjective <= 0:
		return tolerant
	}
	tightest := r.PauseObjective <= c.tightestPause
	if c.pauseRisks.atRisk(r.PauseObjective, tightest) || tightest && c.bulkWait < maxBulkWait {
		return sensitive
	}
	return tolerant
}

// patient reports whether a request has a long objective compared with others of its
// service. Only patient requests are refused because of overload.
func (c *Chooser) patient(r Request) bool {
	return c.tightestObjective > 0 && r.Objective >= bulkObjectiveFactor*c.tightestObjective
}

// breaksPauses reports whether the prefill of a request's whole prompt would make the
// streams beside it pause for longer than the tightest objective, which it does not have
// itself.
func (c *Chooser) breaksPauses(r Request) bool {
	if c.tightestPause <= 0 || r.PauseObjective == c.tightestPause {
		return false
	}
	prompt := id.Tokens(0)
	for _, part := range r.Parts {
		prompt += part.Tokens
	}
	return pauseOf(c.upstreams[0].prefillTime(prompt)) > c.tightestPause
}

// observeBulkWait updates the average wait of bulk requests with that of one.
func (c *Chooser) observeBulkWait(expected, objective time.Duration) {
	wait := min(float64(expected)/float64(objective), 1)
	c.bulkWait += bulkWaitStep * (wait - c.bulkWait)
}

// Demand returns the prefill time for the requests of this instance.
func (c *Chooser) Demand(now time.Time) Demand {
	p := &c.partition
	p.decay(now)
	return Demand{
		Sensitive: p.sensitiveSeconds / demandTimeConstant.Seconds(),
		Other:     p.otherSeconds / demandTimeConstant.Seconds(),
	}
}

// enginesFor returns the candidates that run a kind of request. A single
// candidate runs all kinds.
func (c *Chooser) enginesFor(now time.Time, k kind, candidates []*upstream) []*upstream {
	ordered := slices.Clone(candidates)
	if len(ordered) < 2 {
		return ordered
	}
	slices.SortFunc(ordered, func(a, b *upstream) int {
		return cmp.Or(cmp.Compare(a.speed.level, b.speed.level), cmp.Compare(a.order, b.order))
	})
	c.sumReports(now)
	reports, _ := c.reportStats(now)
	demand, streams := c.Demand(now).add(c.peerDemand), 0
	for _, u := range candidates {
		streams += u.local.Sensitive + u.peers.Sensitive
	}
	c.partition.resize(now, reservation{
		demand: demand, streams: streams, scale: c.reportScale(reports),
		engines: len(ordered), slots: cmp.Or(c.service.Engine.Slots, ordered[0].Slots),
	})
	switch k {
	case bulk:
		return ordered[c.partition.reserved:]
	case sensitive:
		return ordered[:c.partition.reserved]
	}
	return ordered
}

// reservation is what the number of reserved engines follows from.
type reservation struct {
	// demand and streams are the demand and the number of sensitive streams that are known.
	demand  Demand
	streams int
	// scale is how many times as much all instances are likely to have.
	scale   float64
	engines int
	// slots is the number of slots of an engine; 0 if unknown.
	slots int
}

// needed is the number of engines that the sensitive streams which are known need.
func (r reservation) needed() float64 {
	perEngine := float64(streamsPerEngine)
	if r.slots > 0 {
		perEngine = min(perEngine, max(maxStreamShare*float64(r.slots), 1))
	}
	return max(r.demand.Sensitive/maxPrefillUtilization, float64(r.streams)/perEngine)
}

// comfortable is the number of engines on which all sensitive streams pause least, as far
// as other requests leave them.
func (r reservation) comfortable() float64 {
	needed := r.needed()
	wanted := r.scale * max(r.demand.Sensitive/comfortablePrefill, float64(r.streams)/comfortableStreams)
	return needed + min(max(wanted-needed, 0), max(maxSpareShare*r.spare(), 0))
}

// spare is the number of engines that no requests need. It is negative if some lack.
func (r reservation) spare() float64 {
	return float64(r.engines) - r.scale*(r.needed()+r.demand.Other/maxOtherUtilization)
}

// resize reserves more engines as soon as they are needed, more for comfort one by one,
// and fewer one by one after a delay, which is short if other requests need them.
func (p *enginePartition) resize(now time.Time, r reservation) {
	if p.resizedAt.IsZero() {
		p.reserved, p.resizedAt = int(initialReservedShare*float64(r.engines)), now
	}
	needed, comfortable := int(math.Ceil(r.needed())), r.comfortable()
	unchanged := now.Sub(p.resizedAt)
	decreaseAfter := shrinkInterval
	if r.spare() <= 0 {
		decreaseAfter = returnInterval
	}
	switch {
	case needed > p.reserved:
		p.reserved, p.resizedAt = needed, now
	case comfortable >= float64(p.reserved+1) && unchanged >= growInterval:
		p.reserved++
		p.resizedAt = now
	case comfortable+shrinkMargin < float64(p.reserved) && unchanged >= decreaseAfter:
		p.reserved--
		p.resizedAt = now
	}
	p.reserved = min(max(p.reserved, 1), max(int(maxReservedShare*float64(r.engines)), 1))
}
