package bench

import (
	"net/http"

	"samphirehead/bench/baseline"
	"samphirehead/bench/cluster"
	"samphirehead/instance"
	"samphirehead/instance/dispatch"
	"samphirehead/state/manifest"
	"samphirehead/state/settings"
)

// Policy is the name of a rule by which instances assign requests to upstreams.
type Policy string

// The policies.
const (
	Samphirehead     Policy = "samphirehead"
	RoundRobin       Policy = "round_robin"
	LeastOutstanding Policy = "least_outstanding"
)

// Policies lists all policies.
func Policies() []Policy { return []Policy{Samphirehead, RoundRobin, LeastOutstanding} }

// NewInstance returns an instance that dispatches by the policy; peerFaults
// wraps the transport of its messages to peers.
func (p Policy) NewInstance(s settings.Settings, peerFaults func(http.RoundTripper) http.RoundTripper) cluster.Instance {
	i := &instance.Instance{Settings: &s, WrapPeerTransport: peerFaults}
	if p != Samphirehead {
		i.NewDispatcher = func(index func() *manifest.Index) dispatch.Dispatcher {
			return &baseline.Dispatcher{Policy: baseline.Policy(p), Index: index}
		}
	}
	return i
}
