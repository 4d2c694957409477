// Package exchange holds the messages between routers, and their mapping to what
// the decisions use.
package exchange

import (
	"math"
	"time"

	"samphirehead/coordination/choice"
	"samphirehead/state/id"
)

// Told makes the messages of what a chooser has in progress and keeps away from.
func LoadReport(c *choice.Chooser, now time.Time) ([]*Load, []*Failing) {
	var loads []*Load
	for upstream, l := range c.Loads(now) {
		loads = append(loads, LoadToProto(upstream, l))
	}
	var failing []*Failing
	for upstream, remaining := range c.Ejected(now) {
		failing = append(failing, &Failing{Upstream: string(upstream), ForUs: remaining.Microseconds()})
	}
	return loads, failing
}

// LoadsOf reads the messages of loads, by upstream.
func LoadsFromProto(messages []*Load) map[id.Upstream]choice.Load {
	loads := make(map[id.Upstream]choice.Load, len(messages))
	for _, l := range messages {
		loads[id.Upstream(l.Upstream)] = l.AsLoad()
	}
	return loads
}

// Hear passes what another instance told to a chooser.
func ApplyLoadReport(c *choice.Chooser, now time.Time, received choice.LoadReceived, failing []*Failing) {
	c.Step(now, received)
	for _, f := range failing {
		c.Step(now, choice.EjectionReceived{Upstream: id.Upstream(f.Upstream), For: time.Duration(f.ForUs) * time.Microsecond})
	}
}

// LoadFrom makes the message of a load.
func LoadToProto(upstream id.Upstream, l choice.Load) *Load {
	out := &Load{Upstream: string(upstream), Running: uint32(l.Running), Sensitive: uint32(l.Sensitive), Memory: uint32(l.Memory),
		Ended: float32(l.Ended), Failed: float32(l.Failed), Begun: float32(l.Started), Pace: float32(l.DelayRatioSum)}
	for urgency, tokens := range l.Prefill {
		if tokens > 0 {
			out.Prefill = append(out.Prefill, &Prefill{Urgency: uint32(urgency), Tokens: uint32(tokens)})
		}
	}
	return out
}

// Load reads the message of a load. Counts that no load can have become 0, so
// that a peer's faulty figure does not spoil the sums.
func (l *Load) AsLoad() choice.Load {
	out := choice.Load{
		Running: int(l.Running), Sensitive: int(l.Sensitive), Memory: id.Tokens(l.Memory),
		Ended: validCount(l.Ended), Failed: validCount(l.Failed), Started: validCount(l.Begun), DelayRatioSum: validCount(l.Pace),
	}
	for _, p := range l.Prefill {
		if p.Urgency < choice.Urgencies {
			out.Prefill[p.Urgency] += id.Tokens(p.Tokens)
		}
	}
	return out
}

func validCount(n float32) float64 {
	if !(n >= 0) || math.IsInf(float64(n), 1) {
		return 0
	}
	return float64(n)
}
