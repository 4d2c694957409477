// Package rendezvous picks the instances that decide for a key, by rendezvous hashing:
// instances with the same view of which are live pick the same ones.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirehead/state/id"
)

// Home returns the instance that decides for a key, or "" if there is none. The order of
// the instances does not matter.
func Home(key string, instances []id.Instance) id.Instance {
	if len(instances) == 0 {
		return ""
	}
	return slices.MinFunc(instances, byScore(key))
}

// Homes returns the n instances that decide for a key, or all if there are fewer; the first
// is the Home.
func Homes(key string, instances []id.Instance, n int) []id.Instance {
	return slices.SortedFunc(slices.Values(instances), byScore(key))[:min(n, len(instances))]
}

// byScore orders instances by their weight for a key, the highest first.
func byScore(key string) func(a, b id.Instance) int {
	score := func(i id.Instance) uint64 { return xxhash.Sum64String(string(i) + "/" + key) }
	return func(a, b id.Instance) int { return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b)) }
}
