// Package exchange defines the messages between routers, and converts them to
// and from the types of the coordination packages.
package exchange

import (
	"math"
	"time"

	"samphirehead/coordination/balancer"
	"samphirehead/state/id"
)

// LoadReport returns the messages that report a chooser's load on each upstream
// and the upstreams that it has ejected.
func LoadReport(c *balancer.Chooser, now time.Time) ([]*Load, []*Failing) {
	return loadMessages(c.Loads(now)), failingMessages(c.Ejected(now))
}

// DomainLoadReport returns the same messages for all instances of the failure domain, and
// their demand.
func DomainLoadReport(c *balancer.Chooser, now time.Time) ([]*Load, []*Failing, balancer.Demand) {
	loads, demand := c.DomainLoads(now)
	return loadMessages(loads), failingMessages(c.DomainEjected(now)), demand
}

func loadMessages(loads map[id.Upstream]balancer.Load) []*Load {
	var messages []*Load
	for upstream, l := range loads {
		messages = append(messages, LoadToProto(upstream, l))
	}
	return messages
}

func failingMessages(ejected map[id.Upstream]time.Duration) []*Failing {
	var messages []*Failing
	for upstream, remaining := range ejected {
		messages = append(messages, &Failing{Upstream: string(upstream), ForUs: remaining.Microseconds()})
	}
	return messages
}

// LoadsFromProto converts load messages to loads by upstream.
func LoadsFromProto(messages []*Load) map[id.Upstream]balancer.Load {
	loads := make(map[id.Upstream]balancer.Load, len(messages))
	for _, l := range messages {
		loads[id.Upstream(l.Upstream)] = l.AsLoad()
	}
	return loads
}

// ApplyLoadReport applies the load report of another instance to a chooser: its
// loads, and the upstreams that it has ejected.
func ApplyLoadReport(c *balancer.Chooser, now time.Time, received balancer.LoadReceived, failing []*Failing) {
	c.Step(now, received)
	for _, f := range failing {
		c.Step(now, balancer.EjectionReceived{
			Upstream: id.Upstream(f.Upstream), For: time.Duration(f.ForUs) * time.Microsecond,
			OtherDomain: received.FailureDomain != c.FailureDomain,
		})
	}
}

// LoadToProto converts the load on an upstream to a message.
func LoadToProto(upstream id.Upstream, l balancer.Load) *Load {
	out := &Load{Upstream: string(upstream), Running: uint32(l.Running), Sensitive: uint32(l.Sensitive), Memory: uint32(l.Memory),
		Ended: float32(l.Ended), Failed: float32(l.Failed), Begun: float32(l.Started), Pace: float32(l.DelayRatioSum),
		Slowdown: float32(l.Slowdown)}
	for urgency, tokens := range l.Prefill {
		if tokens > 0 {
			out.Prefill = append(out.Prefill, &Prefill{Urgency: uint32(urgency), Tokens: uint32(tokens)})
		}
	}
	return out
}

// AsLoad converts l to a load. Counts that are negative, infinite or NaN become
// 0, and tokens of an unknown urgency are ignored, so that the invalid values of
// one peer do not corrupt the sums over all peers.
func (l *Load) AsLoad() balancer.Load {
	out := balancer.Load{
		Running: int(l.Running), Sensitive: int(l.Sensitive), Memory: id.Tokens(l.Memory),
		Ended: validCount(float64(l.Ended)), Failed: validCount(float64(l.Failed)),
		Started: validCount(float64(l.Begun)), DelayRatioSum: validCount(float64(l.Pace)),
		Slowdown: validCount(float64(l.Slowdown)),
	}
	for _, p := range l.Prefill {
		if p.Urgency < balancer.Urgencies {
			out.Prefill[p.Urgency] += id.Tokens(p.Tokens)
		}
	}
	return out
}

// DemandFromProto returns the demand for a service that a state message reports. Invalid
// values become 0.
func DemandFromProto(s *State, service id.Service) balancer.Demand {
	return balancer.Demand{
		Sensitive: validCount(float64(s.Demand[string(service)])),
		Other:     validCount(float64(s.OtherDemand[string(service)])),
	}
}

// validCount returns n, or 0 if it is negative, infinite or NaN.
func validCount(n float64) float64 {
	if !(n >= 0) || math.IsInf(n, 1) {
		return 0
	}
	return n
}
