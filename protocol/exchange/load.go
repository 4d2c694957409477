// Package exchange holds the messages between routers, and their mapping to what
// the decisions use.
package exchange

import (
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

// Load reads the message of a load.
func (l *Load) Load() choice.Load {
	out := choice.Load{Running: int(l.Running), Sensitive: int(l.Sensitive), Memory: id.Tokens(l.Memory),
		Ended: float64(l.Ended), Failed: float64(l.Failed), Begun: float64(l.Begun), Pace: float64(l.Pace)}
	for _, p := range l.Prefill {
		if p.Urgency < choice.Urgencies {
			out.Prefill[p.Urgency] += id.Tokens(p.Tokens)
		}
	}
	return out
}
