package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehead/state/id"
)

const (
	// defaultPrefillRate, in tokens a second, is assumed for engines that
	// report no rate.
	defaultPrefillRate = 38_000
	// rankPenalty is the cost of each position down the order of affinity.
	rankPenalty = 4 * time.Millisecond
	// runPenalty is the cost of each request that the engine already runs.
	runPenalty = 500 * time.Microsecond
	// domainPenalty is the cost of sending to another failure domain.
	domainPenalty = 2 * time.Millisecond
	// streamPenalty is the cost to other requests of each sensitive stream that
	// their prefill would delay, and longPausePenalty the cost of each one
	// whose objective it would violate.
	streamPenalty    = 2 * time.Millisecond
	longPausePenalty = 35 * time.Millisecond
	// delayWeight multiplies the delay of a running request by a prefill.
	delayWeight = 0.25
	// rereadWeight multiplies the time of reading shared parts, which other
	// engines have and which evict other parts.
	rereadWeight = 6
	// slowPenalty is the cost of an engine with a slowness of 2, twice the delay
	// of the others; it grows linearly.
	slowPenalty = 100 * time.Millisecond
	// stepPenalty is the cost to a stream of an engine whose steps take twice as long as
	// usual; it grows linearly.
	stepPenalty = 25 * time.Millisecond
	// lessUrgentShare is the share of less urgent prefill that is expected to run
	// before a request all the same.
	lessUrgentShare = 0.25
	// maxOccupancy is the share of an engine's slots or memory above which
	// further requests would preempt running ones. occupancyPenalty times the
	// excess share is the cost.
	maxOccupancy     = 0.8
	occupancyPenalty = 10 * time.Second
)

// chooseEngine returns the cheapest engine of those that run the request's kind. If
// they are overloaded, any engine may run it: running beside requests of the other
// kind is better than starting after the objective. The engines of a single software
// version are not divided by kinds, which follow the demand for all engines.
func (c *Chooser) chooseEngine(now time.Time, r Request, candidates []*upstream) (*upstream, Choice) {
	kind := c.kindOf(r)
	engines := candidates
	if r.Software == nil {
		engines = c.enginesFor(now, kind, candidates)
	}
	ranked := rankByAffinity(engines, affinityKey(r.Parts))
	source := c.copySource(now, r, nil)
	best, choice, cost := c.cheapest(now, r, kind, ranked, source)
	if kind == sensitive && cost > r.Objective || kind == bulk && choice.Expected > r.maxStartDelay() {
		best, choice, _ = c.cheapest(now, r, kind, rankByAffinity(candidates, affinityKey(r.Parts)), source)
	}
	choice.CopyFrom = c.copyAddress(now, r, best, source, ranked)
	if kind == bulk {
		c.observeBulkWait(choice.Expected, r.Objective)
	}
	return best, choice
}

// expectedDelay returns the time to the first byte that the work ahead of a request
// and its own take.
func (c *Chooser) expectedDelay(now time.Time, u *upstream, choice Choice) time.Duration {
	return baseDelay + u.prefillTimeAt(now, choice.PrefillAhead+choice.Prefill) + c.copyTime(choice.Copied)
}

// expectedStart returns the expected time to the first event of a request. For bulk
// requests, it allows for the delays that they have had lately.
func (c *Chooser) expectedStart(now time.Time, u *upstream, choice Choice) time.Duration {
	expected := c.expectedDelay(now, u, choice)
	if choice.kind == bulk {
		return time.Duration(c.bulkDelayFactor * float64(expected))
	}
	return expected
}

// commit updates the cache and the prefill demand for a request that is about to
// be sent to an engine.
func (c *Chooser) commit(now time.Time, r Request, u *upstream, choice Choice) {
	u.cache.add(r.Parts, cmp.Or(c.service.Engine.KVTokens, u.KVTokens))
	c.partition.observe(now, choice.kind, u.prefillTimeAt(now, choice.Prefill))
}

// cheapest returns the engine with the lowest cost, and that cost. Delays and
// penalties add up to a cost in time. ranked has the engines in the order of
// affinity; they may copy from source, which may be nil.
func (c *Chooser) cheapest(now time.Time, r Request, k kind, ranked []*upstream, source *upstream) (*upstream, Choice, time.Duration) {
	total := c.total(now)
	var excess []time.Duration
	if k == sensitive {
		excess = c.excessCosts(now, ranked)
	}
	var best *upstream
	var choice Choice
	lowestCost := time.Duration(0)
	for rank, u := range ranked {
		load := c.load(now, u)
		ahead := load.prefillAhead(r.Urgency)
		prefill, copied := u.cache.missingTokens(r.Parts, rank == 0, source)
		slowness := load.slowness(total)
		shared := max(prefill-r.Parts[len(r.Parts)-1].Tokens, 0)
		reading := u.prefillTimeAt(now, ahead) + load.prefillCost(u.prefillTimeAt(now, prefill-shared)) +
			rereadWeight*u.prefillTimeAt(now, shared)
		cost := time.Duration(slowness*float64(reading)) +
			copyWeight*c.copyTime(copied) +
			time.Duration((slowness-1)*float64(slowPenalty)) +
			r.stepCost(u.speed.at(now)) +
			time.Duration(rank)*rankPenalty +
			time.Duration(load.Running)*runPenalty +
			time.Duration(c.domainDistance(u))*domainPenalty +
			c.occupancyCost(u, load)
		if k == sensitive {
			cost += excess[rank]
		} else {
			cost += time.Duration(load.Sensitive) * streamPenalty
		}
		if c.lengthensPauses(now, u, load, prefill) {
			cost += time.Duration(load.Sensitive) * longPausePenalty
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = u, cost
			choice = Choice{Entry: u.Entry, Prefill: prefill, PrefillAhead: ahead, Rank: rank, Copied: copied, kind: k}
		}
	}
	choice.Expected = c.expectedStart(now, best, choice)
	return best, choice, lowestCost
}

// prefillCost is the time of a prefill and the delay by which it lengthens the
// answers of the running requests.
func (l Load) prefillCost(prefill time.Duration) time.Duration {
	return time.Duration((1 + delayWeight*float64(l.Running)) * float64(prefill))
}

// stepCost is the cost of the steps of an answer to a caller who minds pauses, at an
// engine of some slowdown.
func (r Request) stepCost(slowdown float64) time.Duration {
	if r.PauseObjective <= 0 {
		return 0
	}
	return time.Duration((slowdown - 1) * float64(stepPenalty))
}

// occupancyCost is the cost of an engine that is nearly full.
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

// memory is the KV cache, in tokens, that a run shares with no other, halfway
// through its answer.
func (r Request) memory() id.Tokens {
	if len(r.Parts) == 0 {
		return 0
	}
	return r.Parts[len(r.Parts)-1].Tokens + r.OutputTokens/2
}

// prefillAhead returns how many tokens are expected to be processed before those
// of a new request.
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

// prefillTimeAt returns how long an engine is expected to take at now to process prompt
// tokens.
func (u *upstream) prefillTimeAt(now time.Time, tokens id.Tokens) time.Duration {
	return time.Duration(u.speed.at(now) * float64(u.prefillTime(tokens)))
}

// prefillTime returns how long an engine at the usual speed of its service takes to process
// prompt tokens.
func (u *upstream) prefillTime(tokens id.Tokens) time.Duration {
	return time.Duration(float64(tokens) / cmp.Or(u.PrefillTokensPerSecond, defaultPrefillRate) * float64(time.Second))
}

// affinityKey returns the name of the last shared part of a prompt. Requests with
// the same key prefer the same engines.
func affinityKey(parts []Part) string {
	if len(parts) == 1 {
		return parts[0].Name
	}
	return parts[len(parts)-2].Name
}

// rankByAffinity returns engines in the order of affinity to a key.
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

// score is the weight of an upstream for a key in rendezvous hashing. It is the
// same at all instances.
func score(name id.Upstream, key string) uint64 {
	return xxhash.Sum64String(string(name) + "/" + key)
}
