package choice

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehead/state/id"
)

const (
	// tokensPerSecond is the rate at which an engine is assumed to read
	// prompts where nothing tells.
	defaultPrefillRate = 38_000
	// rankPenalty is the cost of each step down the order of affinity.
	rankPenalty = 4 * time.Millisecond
	// runPenalty is the cost of each request that runs beside.
	runPenalty = 500 * time.Microsecond
	// farPenalty is the cost of another failure domain.
	domainPenalty = 2 * time.Millisecond
	// streamPenalty is the cost of each sensitive stream that runs beside and
	// that reading delays.
	streamPenalty = 2 * time.Millisecond
	// readingWeight is how many times its own time the reading of a prompt
	// costs: it delays all that come later.
	prefillWeight = 6
	// slowPenalty is the cost of an engine that takes twice as long as others.
	slowPenalty = 100 * time.Millisecond
	// lessUrgent is the part of less urgent reading that is ahead all the same.
	lessUrgentShare = 0.25
	// fullShare is the part of an engine's slots or memory from which on more
	// requests would preempt others, fullPenalty the cost of all above it.
	maxOccupancy     = 0.8
	occupancyPenalty = 10 * time.Second
)

// engine chooses among engines: within the lane of the request, the one with
// the least expected time to the first event.
func (c *Chooser) chooseEngine(now time.Time, r Request, candidates []*upstream) (*upstream, Choice) {
	kind := c.kindOf(r)
	engines := c.enginesFor(now, kind, candidates)
	best, choice, cost := c.cheapest(now, r, kind, engines)
	if kind == sensitive && cost > r.Objective {
		// The lane is full: anywhere is better than after the objective.
		best, choice, _ = c.cheapest(now, r, kind, candidates)
	}
	choice.Expected = baseDelay + best.prefillTime(choice.PrefillAhead+choice.Prefill)
	if kind == bulk {
		choice.Expected = time.Duration(c.bulkDelayFactor * float64(choice.Expected))
	}
	return best, choice
}

// commit notes that a request goes to an engine.
func (c *Chooser) commit(now time.Time, r Request, u *upstream, choice Choice) {
	u.cache.add(r.Parts, cmp.Or(c.service.Engine.KVTokens, u.KVTokens))
	if choice.kind == sensitive {
		c.partition.decay(now)
		c.partition.prefillSeconds += u.prefillTime(choice.Prefill).Seconds()
	}
}

// cheapest returns the engine of least cost, and that cost.
func (c *Chooser) cheapest(now time.Time, r Request, k kind, engines []*upstream) (*upstream, Choice, time.Duration) {
	total := c.total(now)
	var best *upstream
	var choice Choice
	lowestCost := time.Duration(0)
	for rank, u := range rankByAffinity(engines, affinityKey(r.Parts)) {
		load := c.load(now, u)
		ahead := load.prefillAhead(r.Urgency)
		prefill := u.cache.uncachedTokens(r.Parts, rank == 0)
		slowness := load.slowness(total)
		cost := time.Duration(slowness*float64(u.prefillTime(ahead)+prefillWeight*u.prefillTime(prefill))) +
			time.Duration((slowness-1)*float64(slowPenalty)) +
			time.Duration(rank)*rankPenalty +
			time.Duration(load.Running)*runPenalty +
			time.Duration(c.domainDistance(u))*domainPenalty +
			c.occupancyCost(u, load)
		if k == tolerant {
			cost += time.Duration(load.Sensitive) * streamPenalty
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = u, cost
			choice = Choice{Entry: u.Entry, Prefill: prefill, PrefillAhead: ahead, Rank: rank, kind: k}
		}
	}
	return best, choice, lowestCost
}

// crowding is the cost of an engine that is nearly full.
func (c *Chooser) occupancyCost(u *upstream, l Load) time.Duration {
	engine := c.service.Engine
	occupancy := 0.0
	if slots := cmp.Or(engine.Slots, u.Slots); slots > 0 {
		occupancy = float64(l.Running) / float64(slots)
	}
	if memory := cmp.Or(engine.KVTokens, u.KVTokens); memory > 0 {
		occupancy = max(occupancy, float64(l.Memory)/float64(memory))
	}
	return time.Duration(max(occupancy-maxOccupancy, 0) * float64(occupancyPenalty))
}

// memory is what a run holds that no other run shares, when it is half done.
func (r Request) memory() id.Tokens {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].Tokens + r.OutputTokens/2
}

// ahead returns how many tokens are read before those of a new request.
func (l Load) prefillAhead(urgency int) id.Tokens {
	ahead := 0.0
	for u, tokens := range l.Prefill {
		if u <= urgency {
			ahead += float64(tokens)
		} else {
			ahead += lessUrgentShare * float64(tokens)
		}
	}
	return id.Tokens(ahead)
}

// reading is the time that an engine takes to read a prompt.
func (u *upstream) prefillTime(tokens id.Tokens) time.Duration {
	return time.Duration(float64(tokens) / cmp.Or(u.PrefillTokensPerSecond, defaultPrefillRate) * float64(time.Second))
}

// affinity is the key by which requests that share a prompt keep together: the
// last part that is shared.
func affinityKey(parts []Part) string {
	if len(parts) == 1 {
		return parts[0].Name
	}
	return parts[len(parts)-2].Name
}

// ranked returns engines in the order of affinity to a key.
func rankByAffinity(engines []*upstream, key string) []*upstream {
	type scored struct {
		engine *upstream
		score  uint64
	}
	all := make([]scored, len(engines))
	for i, u := range engines {
		all[i] = scored{u, score(u.Upstream, key)}
	}
	slices.SortFunc(all, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	order := make([]*upstream, len(all))
	for i, s := range all {
		order[i] = s.engine
	}
	return order
}

// score orders upstreams for a key, in the same way at all entries (rendezvous
// hashing).
func score(name id.Upstream, key string) uint64 {
	return xxhash.Sum64String(string(name) + "/" + key)
}
