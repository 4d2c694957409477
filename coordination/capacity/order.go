// Package capacity decides how many upstreams of a service run in a failure domain.
package capacity

import "samphirehead/state/id"

// Order is how many upstreams of one kind a service is to have in a failure domain.
type Order struct {
	Service       id.Service
	FailureDomain id.FailureDomain
	Count         int
	// Spot asks for upstreams that cost less and may be reclaimed, all of a failure domain
	// at once.
	Spot bool
}
