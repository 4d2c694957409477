package balancer

import (
	"cmp"

	"samphirehead/coordination/registry"
)

// PrefillRate returns how many prompt tokens an upstream processes a second.
func PrefillRate(e registry.Entry) float64 {
	return cmp.Or(e.PrefillTokensPerSecond, defaultPrefillRate)
}
