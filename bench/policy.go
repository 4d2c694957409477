package bench

import (
	"net/http"

	"samphirehead/bench/cluster"
	"samphirehead/state/settings"
)

// Policy names how requests are given to upstreams.
type Policy string

// The policies.
const (
	Samphirehead     Policy = "samphirehead"
	RoundRobin       Policy = "round_robin"
	LeastOutstanding Policy = "least_outstanding"
)

// Policies lists all policies.
func Policies() []Policy { return []Policy{Samphirehead, RoundRobin, LeastOutstanding} }

// NewInstance makes an instance that follows the policy.
func (p Policy) NewInstance(settings.Settings, func(http.RoundTripper) http.RoundTripper) cluster.Instance {
	return nil
}
