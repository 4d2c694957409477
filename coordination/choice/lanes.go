package choice

import (
	"cmp"
	"math"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// demandMemory is the time constant of the demand for reading.
	demandMemory = 2 * time.Second
	// promptUse is the part of their time that engines of prompt requests are
	// meant to read at most, bulkUse that of engines of bulk requests.
	promptUse = 0.3
	bulkUse   = 0.6
	// streamsPerEngine is the number of streams with an objective for pauses
	// that one engine is meant to carry at most.
	streamsPerEngine = 24
	// moveInterval is the least time between two moves of the line.
	moveInterval = time.Second
	// moveSlack is how many engines the line may be off before it moves.
	moveSlack = 1
)

// Demand is what the requests of one entry ask for, in engines.
type Demand struct {
	// Prompt and Bulk are the parts of one engine's time that reading takes.
	Prompt, Bulk float64
}

// lanes keeps bulk requests, whose long prompts delay the events of all
// streams beside them, and all others on different engines. The line between
// them follows the demand of all entries.
type lanes struct {
	// prompt is the number of engines that bulk requests stay away from.
	prompt int
	moved  time.Time
	// own is this entry's decaying sum of seconds of reading, as of at.
	own Demand
	at  time.Time
}

// demand counts tokens to be read.
func (l *lanes) demand(now time.Time, bulk bool, tokens id.Tokens) {
	l.decay(now)
	if bulk {
		l.own.Bulk += reading(tokens).Seconds()
		return
	}
	l.own.Prompt += reading(tokens).Seconds()
}

func (l *lanes) decay(now time.Time) {
	if passed := now.Sub(l.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / demandMemory.Seconds())
		l.own.Bulk *= factor
		l.own.Prompt *= factor
		l.at = now
	}
}

// Demand returns what the requests of this entry ask for.
func (c *Chooser) Demand(now time.Time) Demand {
	c.lanes.decay(now)
	return Demand{
		Prompt: c.lanes.own.Prompt / demandMemory.Seconds(),
		Bulk:   c.lanes.own.Bulk / demandMemory.Seconds(),
	}
}

// lane returns the candidates for bulk or for other requests. Where there is
// one engine only, both get it.
func (c *Chooser) lane(now time.Time, bulk bool, candidates []*upstream) []*upstream {
	if len(candidates) < 2 {
		return candidates
	}
	ordered := slices.Clone(candidates)
	slices.SortFunc(ordered, func(a, b *upstream) int { return cmp.Compare(a.score(""), b.score("")) })
	total := c.Demand(now)
	sensitive := 0
	for _, h := range c.others {
		if now.Sub(h.at) <= heardFor {
			total.Prompt += h.Demand.Prompt
			total.Bulk += h.Demand.Bulk
		}
	}
	for _, u := range candidates {
		sensitive += c.load(now, u).Sensitive
	}
	c.lanes.resize(now, total, sensitive, len(ordered))
	if bulk {
		return ordered[c.lanes.prompt:]
	}
	return ordered[:c.lanes.prompt]
}

// resize moves the line to where the demand of both sides puts it. Engines
// that neither needs go to bulk requests, whose shared prompts fill the caches.
func (l *lanes) resize(now time.Time, total Demand, sensitive, engines int) {
	prompt := max(total.Prompt/promptUse, float64(sensitive)/streamsPerEngine, 1)
	bulk := max(total.Bulk/bulkUse, 1)
	if scarce := (prompt + bulk) / float64(engines); scarce > 1 {
		prompt /= scarce
	}
	wanted := min(max(int(math.Ceil(prompt)), (engines+2)/3), engines-1)
	off := wanted - l.prompt
	switch {
	case l.prompt == 0 || l.prompt >= engines:
		l.prompt, l.moved = wanted, now
	case off > 0 || off < -moveSlack:
		if now.Sub(l.moved) >= moveInterval {
			l.prompt += off / max(off, -off)
			l.moved = now
		}
	}
}
