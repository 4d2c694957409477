// Package exchange holds the messages between routers, and their mapping to what
// the decisions use.
package exchange

import (
	"math"

	"samphirehead/coordination/choice"
	"samphirehead/state/id"
)

// LoadFrom makes the message of a load.
func LoadFrom(upstream id.Upstream, l choice.Load) *Load {
	out := &Load{Upstream: string(upstream), Running: uint32(l.Running), Sensitive: uint32(l.Sensitive), Memory: uint32(l.Memory),
		Ended: float32(l.Ended), Failed: float32(l.Failed), Begun: float32(l.Begun), Pace: float32(l.Pace)}
	for urgency, tokens := range l.Prefill {
		if tokens > 0 {
			out.Prefill = append(out.Prefill, &Prefill{Urgency: uint32(urgency), Tokens: uint32(tokens)})
		}
	}
	return out
}

// Load reads the message of a load. Counts that no load can have become 0, so
// that a peer's faulty figure does not spoil the sums.
func (l *Load) Load() choice.Load {
	out := choice.Load{
		Running: int(l.Running), Sensitive: int(l.Sensitive), Memory: id.Tokens(l.Memory),
		Ended: count(l.Ended), Failed: count(l.Failed), Begun: count(l.Begun), Pace: count(l.Pace),
	}
	for _, p := range l.Prefill {
		if p.Urgency < choice.Urgencies {
			out.Prefill[p.Urgency] += id.Tokens(p.Tokens)
		}
	}
	return out
}

func count(n float32) float64 {
	if !(n >= 0) || math.IsInf(float64(n), 1) {
		return 0
	}
	return float64(n)
}
