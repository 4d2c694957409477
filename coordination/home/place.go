// Package home decides which instance holds the queue of each upstream, and
// which home an entry asks for a slot.
package home

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

// Upstream is what placement needs to know of an upstream.
type Upstream struct {
	Name          id.Upstream
	FailureDomain id.FailureDomain
	Pools         []id.Pool
	// Slots is at least 1.
	Slots int
}

// Owner returns the home of an upstream: the live member with the highest
// rendezvous hash, among those of the upstream's failure domain if it has any.
// It returns "" when no member can own. Every caller with the same members
// gets the same answer, whatever their order.
func Owner(upstream id.Upstream, domain id.FailureDomain, members []member.Record) id.Instance {
	return NewRanking(members).Owner(string(upstream), domain)
}

// Owned returns the upstreams whose home is self, in the given order.
func Owned(self id.Instance, upstreams []Upstream, members []member.Record) []Upstream {
	ranking := NewRanking(members)
	var owned []Upstream
	for _, u := range upstreams {
		if ranking.Owner(string(u.Name), u.FailureDomain) == self {
			owned = append(owned, u)
		}
	}
	return owned
}

// PoolHome is a home with its share of a pool.
type PoolHome struct {
	Instance      id.Instance
	FailureDomain id.FailureDomain
	PeerAddress   string
	// Slots sums the slots of the upstreams of the pool at this home.
	Slots int
	// Doubtful homes are suspect or not directly reachable from here.
	Doubtful bool
}

// Placement maps upstreams to homes. It is immutable.
type Placement struct {
	// Owners holds every upstream that has a home.
	Owners map[id.Upstream]id.Instance
	// Pools lists the homes of each pool, ordered by instance.
	Pools map[id.Pool][]PoolHome
}

// Place computes the homes of all upstreams.
func Place(upstreams []Upstream, members []member.Record) Placement {
	ranking := NewRanking(members)
	placement := Placement{
		Owners: make(map[id.Upstream]id.Instance, len(upstreams)),
		Pools:  map[id.Pool][]PoolHome{},
	}
	slots := map[id.Pool]map[id.Instance]int{}
	for _, u := range upstreams {
		owner := ranking.Owner(string(u.Name), u.FailureDomain)
		if owner == "" {
			continue
		}
		placement.Owners[u.Name] = owner
		for _, pool := range u.Pools {
			addSlots(slots, pool, owner, u.Slots)
		}
	}
	known := byInstance(members)
	for pool, homes := range slots {
		placement.Pools[pool] = poolHomes(homes, known)
	}
	return placement
}

func addSlots(slots map[id.Pool]map[id.Instance]int, pool id.Pool, owner id.Instance, n int) {
	if slots[pool] == nil {
		slots[pool] = map[id.Instance]int{}
	}
	slots[pool][owner] += n
}

func byInstance(members []member.Record) map[id.Instance]member.Record {
	known := make(map[id.Instance]member.Record, len(members))
	for _, m := range members {
		known[m.Instance] = m
	}
	return known
}

func poolHomes(slots map[id.Instance]int, known map[id.Instance]member.Record) []PoolHome {
	homes := make([]PoolHome, 0, len(slots))
	for instance, n := range slots {
		m := known[instance]
		homes = append(homes, PoolHome{
			Instance:      instance,
			FailureDomain: m.FailureDomain,
			PeerAddress:   m.PeerAddress,
			Slots:         n,
			Doubtful:      m.Unreachable || m.State != member.Alive,
		})
	}
	slices.SortFunc(homes, func(a, b PoolHome) int { return compare(a.Instance, b.Instance) })
	return homes
}

// Ranking answers many questions for owners over the same members. It is
// immutable.
type Ranking struct {
	all     []hashed
	domains map[id.FailureDomain][]hashed
}

type hashed struct {
	instance id.Instance
	hash     uint64
}

// NewRanking hashes the members that can own.
func NewRanking(members []member.Record) Ranking {
	r := Ranking{domains: map[id.FailureDomain][]hashed{}}
	for _, m := range members {
		if !m.CanOwn() {
			continue
		}
		h := hashed{instance: m.Instance, hash: xxhash.Sum64String(string(m.Instance))}
		r.all = append(r.all, h)
		r.domains[m.FailureDomain] = append(r.domains[m.FailureDomain], h)
	}
	return r
}

// Owner returns the owner of key: the member with the highest rendezvous hash
// among those of the failure domain if it has any, or "" without members.
func (r Ranking) Owner(key string, domain id.FailureDomain) id.Instance {
	candidates := r.domains[domain]
	if len(candidates) == 0 {
		candidates = r.all
	}
	return highest(xxhash.Sum64String(key), candidates)
}

func highest(key uint64, candidates []hashed) id.Instance {
	var best id.Instance
	var bestScore uint64
	for _, c := range candidates {
		score := mix(key, c.hash)
		if best == "" || score > bestScore || (score == bestScore && c.instance < best) {
			best, bestScore = c.instance, score
		}
	}
	return best
}

// mix combines two hashes into an independent one (the finalizer of
// splitmix64).
func mix(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}

func compare[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
