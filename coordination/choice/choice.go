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
	Pause time.Duration
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
	Returned bool
}

// returnPatience is how many times its objective a request that came back may
// take to begin, where a newcomer may take it once.
const returnPatience = 1.15

// patience is the time to begin from which a bulk request is refused.
func (r Request) patience() time.Duration {
	if r.Returned {
		return time.Duration(returnPatience * float64(r.Objective))
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
	Ahead id.Tokens
	// Expected is the time to the first event of an engine's answer; 0 at
	// plain services.
	Expected time.Duration
	// News is how many other entries' loads were counted, and Age how old the
	// oldest of them was.
	News int
	Age  time.Duration
	// Rank is the place of the upstream in the order of affinity; 0 is the
	// first.
	Rank int

	kind kind
}

// Urgencies is the number of urgencies that engines tell apart.
const Urgencies = 10

const (
	// heardFor is how long the load of another instance counts.
	heardFor = time.Second
	// addInterval is how often the loads of the others are added up, beside
	// each time that one is heard.
	addInterval = 100 * time.Millisecond
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

	service   routing.Service
	tightest  time.Duration
	upstreams []*upstream
	byName    map[id.Upstream]*upstream
	running   map[Ticket]*run
	others    map[id.Instance]heard
	// addedAt is when the loads of the others were added up.
	addedAt time.Time
	lanes   lanes
	// stretch is how many times as long as expected bulk requests take to
	// begin behind others.
	stretch float64
	changes []Change
}

// upstream is what is known of one upstream.
type upstream struct {
	registry.Entry
	// place orders the engines that join the lane, alike at all entries.
	place uint64
	own   Load
	// others is what the other entries have in progress.
	others Load
	cache  cache
	// failures counts those in a row.
	failures     int
	ejectedUntil time.Time
	ejections    int
	// warnedUntil is how long another entry keeps away.
	warnedUntil time.Time
	// countedAt is the time up to which the counts of own have faded.
	countedAt time.Time
	// belief is what was last told of it; empty is Good.
	belief Belief
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
	chosen   time.Time
	started  bool
}

type heard struct {
	Heard
	at time.Time
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
			c.lanes.paused(ev.Longest)
		}
	case Ended:
		c.end(now, ev)
	case Heard:
		c.others[ev.Instance] = heard{Heard: ev, at: now}
		c.addedAt = time.Time{}
	case Warned:
		if u, ok := c.byName[ev.Upstream]; ok {
			u.warnedUntil = now.Add(min(ev.For, longestEjection))
			c.believe(now, u, Ejected, PeerWarned, u.warnedUntil)
		}
	}
}

func (c *Chooser) init() {
	if c.running != nil {
		return
	}
	c.byName = make(map[id.Upstream]*upstream)
	c.running = make(map[Ticket]*run)
	c.others = make(map[id.Instance]heard)
	c.stretch = firstStretch
}

func (c *Chooser) configure(ev Configured) {
	c.service, c.tightest = ev.Service, ev.Tightest
	byName := make(map[id.Upstream]*upstream, len(ev.Upstreams))
	c.upstreams = c.upstreams[:0]
	for _, e := range ev.Upstreams {
		u, known := c.byName[e.Upstream]
		if !known || u.Address != e.Address || u.StartedUnixMS != e.StartedUnixMS {
			u = &upstream{place: score(e.Upstream, "")}
		}
		u.Entry = e
		byName[e.Upstream] = u
		c.upstreams = append(c.upstreams, u)
	}
	c.byName = byName
	c.addedAt = time.Time{}
}

func (c *Chooser) start(now time.Time, ticket Ticket) {
	r, ok := c.running[ticket]
	if !ok || r.started {
		return
	}
	r.started = true
	u := r.upstream
	u.own.Prefill[r.urgency] -= r.prefill
	u.fade(now)
	u.own.Begun++
	pace := float64(now.Sub(r.chosen)) / float64(r.expected)
	u.own.Pace += pace
	if r.kind == bulk && r.expected >= stretchFrom {
		c.stretch += stretchStep * (min(pace, mostStretch) - c.stretch)
	}
	c.judge(now, u)
}

func (c *Chooser) end(now time.Time, ev Ended) {
	r, ok := c.running[ev.Ticket]
	if !ok {
		return
	}
	delete(c.running, ev.Ticket)
	u := r.upstream
	u.own.Running--
	u.own.Memory -= r.memory
	if !r.started {
		u.own.Prefill[r.urgency] -= r.prefill
	}
	if r.kind == sensitive {
		u.own.Sensitive--
	}
	u.fade(now)
	switch {
	case ev.Unreached:
		c.eject(now, u, Unreached)
	case ev.Failed:
		u.own.Ended++
		u.own.Failed++
		u.failures++
		switch {
		case u.failures >= failureLimit:
			c.eject(now, u, FailuresInRow)
		case c.failsMore(now, u):
			c.eject(now, u, FailsMore)
		}
	case r.started:
		u.own.Ended++
		u.succeed(now)
	}
}

// Ejected returns the upstreams that this entry keeps away from, and how long.
func (c *Chooser) Ejected(now time.Time) map[id.Upstream]time.Duration {
	ejected := make(map[id.Upstream]time.Duration)
	for _, u := range c.upstreams {
		if left := u.ejectedUntil.Sub(now); left > 0 {
			ejected[u.Upstream] = left
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
		u, chosen = c.engine(now, r, candidates)
		if !c.Bounded && chosen.kind == bulk && chosen.Expected > r.patience() {
			return chosen, Overloaded
		}
		c.commit(now, r, u, chosen)
	}
	u.own.Running++
	u.own.Memory += r.memory()
	u.own.Prefill[r.Urgency] += chosen.Prefill
	if chosen.kind == sensitive {
		u.own.Sensitive++
	}
	chosen.News, chosen.Age = c.news(now)
	c.running[r.Ticket] = &run{
		upstream: u, prefill: chosen.Prefill, memory: r.memory(), urgency: r.Urgency, kind: chosen.kind,
		expected: usualDelay + u.reading(chosen.Ahead+chosen.Prefill), chosen: now,
	}
	return chosen, Chosen
}

// candidates returns the upstreams that are not excluded and have room. Ejected
// ones are among them only where no other is left.
func (c *Chooser) candidates(now time.Time, r Request) ([]*upstream, Refusal) {
	var good, ejected []*upstream
	for _, u := range c.upstreams {
		switch {
		case !r.mayUse(u.Upstream):
		case u.away(now):
			ejected = append(ejected, u)
		default:
			good = append(good, u)
		}
	}
	left := good
	if len(left) == 0 {
		left = ejected
	}
	if len(left) == 0 {
		return nil, NoUpstream
	}
	left = slices.DeleteFunc(left, func(u *upstream) bool { return c.full(now, u, r.memory()) })
	if len(left) == 0 {
		return nil, Full
	}
	return left, Chosen
}

func (r Request) mayUse(u id.Upstream) bool {
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
func (c *Chooser) Room(now time.Time, admits func(id.Upstream) bool) (free, slots int) {
	for _, u := range c.upstreams {
		if u.away(now) || !admits(u.Upstream) {
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
		la, lb := c.work(now, a, total), c.work(now, b, total)
		if la != lb {
			return cmp.Compare(la, lb)
		}
		if a.own.Begun != b.own.Begun {
			return cmp.Compare(a.own.Begun, b.own.Begun)
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

func (c *Chooser) far(u *upstream) int {
	if u.FailureDomain == c.FailureDomain {
		return 0
	}
	return 1
}
