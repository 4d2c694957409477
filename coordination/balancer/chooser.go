// Package balancer picks the upstream to which a router instance sends a request.
// Each instance decides alone and reports its load to the others. A Chooser is a
// deterministic state machine: time is passed in with each call.
package balancer

import (
	"time"

	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// Part is a section of a prompt, which several requests may have in common.
type Part struct {
	Name   string
	Tokens id.Tokens
}

// Request holds the properties of a request that affect the choice.
type Request struct {
	Ticket Ticket
	// Parts is the prompt in order, empty for plain services. The last part is
	// not shared outside the request or its session.
	Parts []Part
	// Objective is the target time to the first event or the whole answer.
	Objective time.Duration
	// PauseObjective is the target for the longest pause of a stream; 0 for none.
	PauseObjective time.Duration
	// Urgency orders requests at an engine: 0 is first, Urgencies-1 last.
	Urgency int
	// OutputTokens is the limit on the answer; 0 if the caller set none.
	OutputTokens id.Tokens
	Excluded     []id.Upstream
	// Software, unless nil, is the only software version that may be chosen: the one
	// that began the stream which the request goes on with.
	Software *id.SoftwareVersion
	// Admits, unless nil, reports whether an upstream may be chosen.
	Admits func(id.Upstream) bool
	// FreeSlotOnly excludes upstreams at which the request would have to wait for a slot.
	FreeSlotOnly bool
	// Resubmitted is set for a request that was tried or refused before.
	Resubmitted bool
}

// resubmittedFactor is how many times its objective a resubmitted request may be
// expected to take to start. A new request may take its objective once, so that
// resubmitted ones are accepted first.
const resubmittedFactor = 1.15

// maxStartDelay is the expected delay above which a bulk request is refused.
func (r Request) maxStartDelay() time.Duration {
	if r.Resubmitted {
		return time.Duration(resubmittedFactor * float64(r.Objective))
	}
	return r.Objective
}

// Ticket identifies a request at one instance.
type Ticket uint64

// Choice is a chosen upstream.
type Choice struct {
	registry.Entry
	// Prefill is how many prompt tokens the engine is expected to process.
	Prefill id.Tokens
	// PrefillAhead is how many tokens it is expected to process before those.
	PrefillAhead id.Tokens
	// Copied is how many prompt tokens the engine is expected to copy from the
	// engine at CopyFrom. CopyFrom is empty if engines can't copy.
	Copied   id.Tokens
	CopyFrom string
	// Expected is the time to an engine's first event; 0 for plain services.
	Expected time.Duration
	// LoadReports is the number of other instances whose load was counted, and
	// ReportAge the age of the oldest report.
	LoadReports int
	ReportAge   time.Duration
	// Rank is the upstream's position in the order of affinity, from 0.
	Rank int

	kind kind
}

// Urgencies is the number of urgency levels at an engine.
const Urgencies = 10

const (
	// loadReportTTL is how long a load report of another instance counts.
	loadReportTTL = time.Second
	// peerSumInterval is how long sums of reports are reused if no report arrives.
	peerSumInterval = 100 * time.Millisecond
)

// Chooser chooses among the upstreams of one service. Set its exported fields
// before the first use. It is not safe for concurrent use.
type Chooser struct {
	// FailureDomain is the one in which this instance runs.
	FailureDomain id.FailureDomain
	// Bounded keeps upstreams within their slots and memory, as far as their load
	// is known. The code that calls Choose then queues and refuses requests.
	Bounded bool
	// Seed is where this instance begins a sequence of draws. Instances have different
	// ones.
	Seed uint64

	service           routing.Service
	tightestObjective time.Duration
	tightestPause     time.Duration
	pauseRisks        pauseRisks
	// bulkWait averages the expected delay of bulk requests as a share of their
	// objective.
	bulkWait  float64
	upstreams []*upstream
	byName    map[id.Upstream]*upstream
	running   map[Ticket]*run
	reports   map[reporter]loadReport
	// neighbours is the number of other live instances in the failure domain; 0 if reports
	// of some may be missing.
	neighbours int
	// neighbourDemand and peerDemand are the sums of the demand of the other instances
	// in the failure domain and of all others.
	neighbourDemand, peerDemand Demand
	// draws counts the draws so far.
	draws uint64
	// live is the number of live instances, this one included; 0 if unknown.
	live int
	// summedAt is when the reports were last added up; zero if sums are outdated.
	summedAt  time.Time
	partition enginePartition
	// bulkDelayFactor averages actual over expected delay of waiting bulk requests.
	bulkDelayFactor float64
	changes         []HealthChange
}

// upstream is the state of one upstream as this instance knows it.
type upstream struct {
	registry.Entry
	// order is the sort key for reserving engines, the same at all instances.
	order uint64
	local Load
	speed speed
	// neighbours is the load of the other instances in the failure domain, and peers that of
	// all others.
	neighbours, peers   Load
	cache               cache
	consecutiveFailures int
	ejectedUntil        time.Time
	ejections           int
	// peerEjectedUntil is when the ejection that a peer reported ends.
	peerEjectedUntil time.Time
	// neighbourEjectedUntil is the same of an instance in the same failure domain.
	neighbourEjectedUntil time.Time
	// decayedAt is when the counts of local were last decayed.
	decayedAt time.Time
	// health is the last state in HealthChanges; empty means Healthy.
	health HealthState
}

// run is a request in progress.
type run struct {
	upstream *upstream
	parts    []Part
	prefill  id.Tokens
	memory   id.Tokens
	urgency  int
	kind     kind
	// expected is the expected time from chosenAt to the first byte.
	expected time.Duration
	chosenAt time.Time
	started  bool
}

type loadReport struct {
	LoadReceived
	receivedAt time.Time
}

// Step applies ev at now.
func (c *Chooser) Step(now time.Time, ev Event) {
	c.init()
	switch ev := ev.(type) {
	case Configured:
		c.configure(ev)
	case Started:
		c.start(now, ev.Ticket)
	case Paused:
		if r, ok := c.running[ev.Ticket]; ok && r.kind != sensitive {
			c.pauseRisks.observe(ev.Longest)
		}
	case Ended:
		c.end(now, ev)
	case LoadReceived:
		c.receiveLoad(now, ev)
	case InstancesListed:
		c.live = ev.Live
	case SlowdownStated:
		if u, ok := c.byName[ev.Upstream]; ok {
			u.speed.observe(now, ev.Slowdown)
		}
	case NeighboursListed:
		c.neighbours = ev.Live
	case PathsChanged:
		c.endEjections(now)
	case EjectionReceived:
		c.receiveEjection(now, ev)
	}
}

func (c *Chooser) receiveEjection(now time.Time, ev EjectionReceived) {
	u, ok := c.byName[ev.Upstream]
	if !ok {
		return
	}
	u.peerEjectedUntil = now.Add(min(ev.For, maxEjection))
	if !ev.OtherDomain {
		u.neighbourEjectedUntil = u.peerEjectedUntil
	}
	c.setHealth(now, u, Ejected, PeerEjected, u.peerEjectedUntil)
}

func (c *Chooser) init() {
	if c.running != nil {
		return
	}
	c.byName = make(map[id.Upstream]*upstream)
	c.running = make(map[Ticket]*run)
	c.reports = make(map[reporter]loadReport)
	c.pauseRisks = make(pauseRisks)
	c.bulkDelayFactor = initialBulkFactor
}

func (c *Chooser) configure(ev Configured) {
	c.service = ev.Service
	c.tightestObjective, c.tightestPause = ev.TightestObjective, ev.TightestPause
	byName := make(map[id.Upstream]*upstream, len(ev.Upstreams))
	c.upstreams = c.upstreams[:0]
	for _, e := range ev.Upstreams {
		u, known := c.byName[e.Upstream]
		if !known || u.Address != e.Address || u.StartedUnixMS != e.StartedUnixMS {
			u = &upstream{order: score(e.Upstream, "")}
		}
		u.Entry = e
		byName[e.Upstream] = u
		c.upstreams = append(c.upstreams, u)
	}
	c.byName = byName
	c.summedAt = time.Time{}
}

func (c *Chooser) start(now time.Time, ticket Ticket) {
	r, ok := c.running[ticket]
	if !ok || r.started {
		return
	}
	r.started = true
	u := r.upstream
	u.cache.markReady(r.parts)
	u.local.Prefill[r.urgency] -= r.prefill
	u.decayCounts(now)
	u.local.Started++
	ratio := float64(now.Sub(r.chosenAt)) / float64(r.expected)
	u.local.DelayRatioSum += ratio
	if r.kind == bulk && r.expected >= bulkFactorMinDelay {
		c.bulkDelayFactor += bulkFactorStep * (min(ratio, maxDelayRatio) - c.bulkDelayFactor)
	}
	c.updateHealth(now, u)
}

func (c *Chooser) end(now time.Time, ev Ended) {
	r, ok := c.running[ev.Ticket]
	if !ok {
		return
	}
	delete(c.running, ev.Ticket)
	u := r.upstream
	u.local.Running--
	u.local.Memory -= r.memory
	if !r.started {
		u.local.Prefill[r.urgency] -= r.prefill
	}
	if r.kind == sensitive {
		u.local.Sensitive--
	}
	u.decayCounts(now)
	switch {
	case ev.Unreachable:
		c.eject(now, u, Unreachable)
	case ev.Failed:
		u.local.Ended++
		u.local.Failed++
		u.consecutiveFailures++
		switch {
		case u.consecutiveFailures >= failureLimit:
			c.eject(now, u, ConsecutiveFailures)
		case c.failureRateHigh(now, u):
			c.eject(now, u, HighFailureRate)
		}
	case r.started:
		u.local.Ended++
		u.recordSuccess(now)
	}
}

// Ejected returns the upstreams that this instance has ejected and for how much
// longer. Ejections reported by peers are left out.
func (c *Chooser) Ejected(now time.Time) map[id.Upstream]time.Duration {
	ejected := make(map[id.Upstream]time.Duration)
	for _, u := range c.upstreams {
		if remaining := u.ejectedUntil.Sub(now); remaining > 0 {
			ejected[u.Upstream] = remaining
		}
	}
	return ejected
}

// DomainEjected returns the upstreams that an instance of the failure domain has ejected, and
// for how much longer.
func (c *Chooser) DomainEjected(now time.Time) map[id.Upstream]time.Duration {
	ejected := c.Ejected(now)
	for _, u := range c.upstreams {
		if remaining := u.neighbourEjectedUntil.Sub(now); remaining > ejected[u.Upstream] {
			ejected[u.Upstream] = remaining
		}
	}
	return ejected
}

// Refusal is the reason why no upstream was chosen.
type Refusal string

const (
	// Chosen means that an upstream was chosen.
	Chosen Refusal = ""
	// NoUpstream means that no upstream may be used for the request.
	NoUpstream Refusal = "no_upstream"
	// Overloaded means that the request would start after its objective, and
	// delay all later ones.
	Overloaded Refusal = "overloaded"
	// Full means that every usable upstream is at its limit.
	Full Refusal = "full"
)

// Choose picks an upstream for a request and counts the request as running
// there. If it returns Overloaded, nothing is counted, and Expected of the choice
// is how long the request would have waited.
func (c *Chooser) Choose(now time.Time, r Request) (Choice, Refusal) {
	c.init()
	candidates, refusal := c.candidates(now, r)
	if refusal != Chosen {
		return Choice{}, refusal
	}
	var chosen Choice
	var u *upstream
	if c.service.Engine == nil || len(r.Parts) == 0 {
		u = c.leastLoaded(now, candidates)
		chosen.Entry = u.Entry
	} else {
		u, chosen = c.chooseEngine(now, r, candidates)
		if !c.Bounded && c.patient(r) && chosen.Expected > r.maxStartDelay() {
			return chosen, Overloaded
		}
		c.commit(now, r, u, chosen)
	}
	u.local.Running++
	u.local.Memory += r.memory()
	u.local.Prefill[r.Urgency] += chosen.Prefill
	if chosen.kind == sensitive {
		u.local.Sensitive++
	}
	chosen.LoadReports, chosen.ReportAge = c.reportStats(now)
	c.running[r.Ticket] = &run{
		upstream: u, parts: r.Parts, prefill: chosen.Prefill, memory: r.memory(), urgency: r.Urgency, kind: chosen.kind,
		expected: c.expectedDelay(now, u, chosen), chosenAt: now,
	}
	return chosen, Chosen
}

func (c *Chooser) domainDistance(u *upstream) int {
	if u.FailureDomain == c.FailureDomain {
		return 0
	}
	return 1
}
