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
	// prompts.
	tokensPerSecond = 38_000
	// rankPenalty is the cost of each step down the order of affinity.
	rankPenalty = 4 * time.Millisecond
	// runPenalty is the cost of each request that runs beside.
	runPenalty = 500 * time.Microsecond
	// farPenalty is the cost of another failure domain.
	farPenalty = 2 * time.Millisecond
	// bulkObjectives is how many times the tightest objective of its service
	// the objective of bulk requests is.
	bulkObjectives = 3
)

// engine chooses among engines: within the lane of the request, the one with
// the least expected time to the first event.
func (c *Chooser) engine(now time.Time, r Request, candidates []*upstream) (*upstream, Choice) {
	bulk := r.Objective >= bulkObjectives*c.tightest
	lane := c.lane(now, bulk, candidates)
	key := affinity(r.Parts)
	slices.SortFunc(lane, func(a, b *upstream) int { return cmp.Compare(b.score(key), a.score(key)) })

	var best *upstream
	var choice Choice
	least := time.Duration(0)
	for rank, u := range lane {
		load := c.load(now, u)
		prefill := u.cache.missing(r.Parts, rank == 0)
		cost := reading(load.Prefill+prefill) +
			time.Duration(rank)*rankPenalty +
			time.Duration(load.Running)*runPenalty +
			time.Duration(c.far(u))*farPenalty
		if best == nil || cost < least {
			best, least = u, cost
			choice = Choice{Entry: u.Entry, Prefill: prefill, Ahead: load.Prefill, Rank: rank}
		}
	}
	best.cache.add(r.Parts, c.capacity())
	c.lanes.demand(now, bulk, choice.Prefill)
	return best, choice
}

func (c *Chooser) capacity() id.Tokens { return c.service.Engine.KVTokens }

// reading is the time that an engine takes to read a prompt.
func reading(tokens id.Tokens) time.Duration {
	return time.Duration(float64(tokens) / tokensPerSecond * float64(time.Second))
}

// affinity is the key by which requests that share a prompt keep together: the
// last part that is shared.
func affinity(parts []Part) string {
	if len(parts) == 1 {
		return parts[0].Name
	}
	return parts[len(parts)-2].Name
}

// score orders upstreams for a key, in the same way at all entries (rendezvous
// hashing).
func (u *upstream) score(key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(u.Upstream))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
