package home

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirehead/state/id"
)

// DefaultSubset bounds the homes of one pool that an entry asks.
const DefaultSubset = 16

// Narrow returns the placement as one entry uses it: at most bound homes of
// each pool, those with the highest rendezvous hash of entry and home, half
// of them kept for the entry's own failure domain. The hash leaves the pool
// out, so that the homes of several pools are the same where they can be: each
// home more costs renewals. Doubtful homes are
// taken last. The same members give the same subset, and a lost member
// replaces at most one home of it.
func (p Placement) Narrow(entry id.Instance, domain id.FailureDomain, bound int) Placement {
	narrowed := Placement{Owners: p.Owners, Pools: make(map[id.Pool][]PoolHome, len(p.Pools))}
	for pool, homes := range p.Pools {
		narrowed.Pools[pool] = subset(entry, domain, homes, bound)
	}
	return narrowed
}

func subset(entry id.Instance, domain id.FailureDomain, homes []PoolHome, bound int) []PoolHome {
	if len(homes) <= bound {
		return homes
	}
	ranked := rank(xxhash.Sum64String(string(entry)), homes)
	near := bound / 2
	var chosen, far []PoolHome
	for _, h := range ranked {
		if h.FailureDomain == domain && !h.Doubtful && near > 0 {
			chosen = append(chosen, h)
			near--
			continue
		}
		far = append(far, h)
	}
	return append(chosen, far[:bound-len(chosen)]...)
}

// rank sorts homes by rendezvous hash with key, doubtful ones last.
func rank(key uint64, homes []PoolHome) []PoolHome {
	ranked := slices.Clone(homes)
	slices.SortFunc(ranked, func(a, b PoolHome) int {
		if a.Doubtful != b.Doubtful {
			return boolOrder(!a.Doubtful, !b.Doubtful)
		}
		return compareOrdered(score(key, b), score(key, a))
	})
	return ranked
}

func score(key uint64, h PoolHome) uint64 {
	return mix(key, xxhash.Sum64String(string(h.Instance)))
}
