// Package choice decides to which upstream of a service an entry sends a
// request. Entries decide alone; they tell each other what they have in
// progress. It is a pure machine: events and times go in.
package choice

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// Part is one part of a prompt, in order. Requests share parts.
type Part struct {
	Name   string
	Tokens id.Tokens
}

// Request is what matters of a request for the choice.
type Request struct {
	// Ticket numbers the request at this entry.
	Ticket Ticket
	// Parts is empty for requests to plain services. The last part belongs to
	// the request or its session alone.
	Parts []Part
	// Objective is the time to the first event or the whole answer.
	Objective time.Duration
	// Pause is the objective for the pauses of a stream; 0 where there is none.
	PauseObjective time.Duration
	// Urgency orders requests at an engine; 0 is the first, Urgencies-1 the
	// last.
	Urgency int
	// OutputTokens bounds the answer; 0 where the caller does not say.
	OutputTokens id.Tokens
	// Excluded upstreams are not chosen.
	Excluded []id.Upstream
	// Admits, unless nil, says which upstreams may be chosen.
	Admits func(id.Upstream) bool
	// Returned requests were refused before; they go before newcomers.
	Resubmitted bool
}

// returnPatience is how many times its objective a request that came back may
// take to begin, where a newcomer may take it once.
const resubmittedFactor = 1.15

// patience is the time to begin from which a bulk request is refused.
func (r Request) maxStartDelay() time.Duration {
	if r.Resubmitted {
		return time.Duration(resubmittedFactor * float64(r.Objective))
	}
	return r.Objective
}

// Ticket numbers the requests of one entry.
type Ticket uint64

// Choice is a chosen upstream.
type Choice struct {
	registry.Entry
	// Prefill is how many tokens the upstream is expected to read.
	Prefill id.Tokens
	// Ahead is how many it is expected to read before.
	PrefillAhead id.Tokens
	// Expected is the time to the first event of an engine's answer; 0 at
	// plain services.
	Expected time.Duration
	// News is how many other entries' loads were counted, and Age how old the
	// oldest of them was.
	LoadReports int
	ReportAge   time.Duration
	// Rank is the place of the upstream in the order of affinity; 0 is the
	// first.
	Rank int

	kind kind
}

// Urgencies is the number of urgencies that engines tell apart.
const Urgencies = 10

const (
	// heardFor is how long the load of another instance counts.
	loadReportTTL = time.Second
	// addInterval is how often the loads of the others are added up, beside
	// each time that one is heard.
	peerSumInterval = 100 * time.Millisecond
)

// Chooser chooses among the upstreams of one service. Its exported fields are
// set before the first Step. It is not safe for concurrent use.
type Chooser struct {
	// FailureDomain is where this entry runs.
	FailureDomain id.FailureDomain
	// Bounded choosers give no upstream more than its slots and its memory, as
	// far as is known here: requests wait at their entry, which also decides
	// which are refused.
	Bounded bool

	service           routing.Service
	tightestObjective time.Duration
	upstreams         []*upstream
	byName            map[id.Upstream]*upstream
	running           map[Ticket]*run
	reports           map[id.Instance]loadReport
	// addedAt is when the loads of the others were added up.
	summedAt  time.Time
	partition enginePartition
	// stretch is how many times as long as expected bulk requests take to
	// begin behind others.
	bulkDelayFactor float64
	changes         []HealthChange
}

// upstream is what is known of one upstream.
type upstream struct {
	registry.Entry
	// place orders the engines that join the lane, alike at all entries.
	order uint64
	local Load
	// others is what the other entries have in progress.
	peers Load
	cache cache
	// failures counts those in a row.
	consecutiveFailures int
	ejectedUntil        time.Time
	ejections           int
	// warnedUntil is how long another entry keeps away.
	peerEjectedUntil time.Time
	// countedAt is the time up to which the counts of own have faded.
	decayedAt time.Time
	// belief is what was last told of it; empty is Good.
	health HealthState
}

// run is a request in progress.
type run struct {
	upstream *upstream
	prefill  id.Tokens
	memory   id.Tokens
	urgency  int
	kind     kind
	// expected is the time to the first byte, from when it was chosen.
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
		if r, ok := c.running[ev.Ticket]; ok && r.kind == bulk {
			c.partition.observePause(ev.Longest)
		}
	case Ended:
		c.end(now, ev)
	case LoadReceived:
		c.reports[ev.Instance] = loadReport{LoadReceived: ev, receivedAt: now}
		c.summedAt = time.Time{}
	case EjectionReceived:
		if u, ok := c.byName[ev.Upstream]; ok {
			u.peerEjectedUntil = now.Add(min(ev.For, maxEjection))
			c.setHealth(now, u, Ejected, PeerEjected, u.peerEjectedUntil)
		}
	}
}

func (c *Chooser) init() {
	if c.running != nil {
		return
	}
	c.byName = make(map[id.Upstream]*upstream)
	c.running = make(map[Ticket]*run)
	c.reports = make(map[id.Instance]loadReport)
	c.bulkDelayFactor = initialBulkFactor
}

func (c *Chooser) configure(ev Configured) {
	c.service, c.tightestObjective = ev.Service, ev.TightestObjective
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

// Ejected returns the upstreams that this entry keeps away from, and how long.
func (c *Chooser) Ejected(now time.Time) map[id.Upstream]time.Duration {
	ejected := make(map[id.Upstream]time.Duration)
	for _, u := range c.upstreams {
		if remaining := u.ejectedUntil.Sub(now); remaining > 0 {
			ejected[u.Upstream] = remaining
		}
	}
	return ejected
}

// Refusal says why no upstream was chosen.
type Refusal string

const (
	// Chosen means that one was.
	Chosen Refusal = ""
	// NoUpstream means that none is left.
	NoUpstream Refusal = "no_upstream"
	// Overloaded means that the request would begin after its objective, and
	// delay all that come after it.
	Overloaded Refusal = "overloaded"
	// Full means that all that are left are full.
	Full Refusal = "full"
)

// Choose takes an upstream for a request and counts it as running there. With
// Overloaded, Expected of the choice tells how long the request would have
// waited.
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
		if !c.Bounded && chosen.kind == bulk && chosen.Expected > r.maxStartDelay() {
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
		upstream: u, prefill: chosen.Prefill, memory: r.memory(), urgency: r.Urgency, kind: chosen.kind,
		expected: baseDelay + u.prefillTime(chosen.PrefillAhead+chosen.Prefill), chosenAt: now,
	}
	return chosen, Chosen
}

// candidates returns the upstreams that are not excluded and have room. Ejected
// ones are among them only where no other is left.
func (c *Chooser) candidates(now time.Time, r Request) ([]*upstream, Refusal) {
	var healthy, ejected []*upstream
	for _, u := range c.upstreams {
		switch {
		case !r.allows(u.Upstream):
		case u.ejected(now):
			ejected = append(ejected, u)
		default:
			healthy = append(healthy, u)
		}
	}
	usable := healthy
	if len(usable) == 0 {
		usable = ejected
	}
	if len(usable) == 0 {
		return nil, NoUpstream
	}
	usable = slices.DeleteFunc(usable, func(u *upstream) bool { return c.full(now, u, r.memory()) })
	if len(usable) == 0 {
		return nil, Full
	}
	return usable, Chosen
}

func (r Request) allows(u id.Upstream) bool {
	return !slices.Contains(r.Excluded, u) && (r.Admits == nil || r.Admits(u))
}

// full reports whether an upstream must not be given more. One that runs nothing
// takes any request.
func (c *Chooser) full(now time.Time, u *upstream, memory id.Tokens) bool {
	if !c.Bounded {
		return false
	}
	load := c.load(now, u)
	slots := u.Slots > 0 && load.Running >= u.Slots
	return slots || u.KVTokens > 0 && load.Running > 0 && load.Memory+memory > u.KVTokens
}

// Room returns how many slots are free at the upstreams that are not kept away
// from, and how many there are.
func (c *Chooser) FreeSlots(now time.Time, admits func(id.Upstream) bool) (free, slots int) {
	for _, u := range c.upstreams {
		if u.ejected(now) || !admits(u.Upstream) {
			continue
		}
		slots += u.Slots
		free += max(u.Slots-c.load(now, u).Running, 0)
	}
	return free, slots
}

// leastLoaded returns the candidate with the least work in progress, more where
// it is slow; among equal ones the one that began the fewest lately, so that all
// can be compared.
func (c *Chooser) leastLoaded(now time.Time, candidates []*upstream) *upstream {
	total := c.total(now)
	return slices.MinFunc(candidates, func(a, b *upstream) int {
		wa, wb := c.work(now, a, total), c.work(now, b, total)
		if wa != wb {
			return cmp.Compare(wa, wb)
		}
		if a.local.Started != b.local.Started {
			return cmp.Compare(a.local.Started, b.local.Started)
		}
		return strings.Compare(string(a.Upstream), string(b.Upstream))
	})
}

// work is what an upstream has in progress with one more request, more where it
// is slow.
func (c *Chooser) work(now time.Time, u *upstream, total Load) float64 {
	load := c.load(now, u)
	return float64(load.Running+1) * load.slowness(total)
}

func (c *Chooser) domainDistance(u *upstream) int {
	if u.FailureDomain == c.FailureDomain {
		return 0
	}
	return 1
}
