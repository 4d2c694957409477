package ratelimit

import (
	"github.com/cespare/xxhash/v2"

	"samphirehead/coordination/membership"
	"samphirehead/state/id"
)

// Rendezvous finds owners by rendezvous hashing. It hashes the members once,
// for any number of keys, and is immutable.
type Rendezvous struct{ members []hashedMember }

type hashedMember struct {
	instance id.Instance
	hash     uint64
}

// NewRendezvous hashes the members that are eligible as owners.
func NewRendezvous(members []membership.Record) Rendezvous {
	var r Rendezvous
	for _, m := range members {
		if !m.CanOwn() {
			continue
		}
		h := hashedMember{instance: m.Instance, hash: xxhash.Sum64String(string(m.Instance))}
		r.members = append(r.members, h)
	}
	return r
}

// Owner returns the owner of key: the member with the highest rendezvous hash,
// or "" if there are no members. The order of the members does not matter, so
// that all callers with the same members get the same owner.
func (r Rendezvous) Owner(key string) id.Instance {
	return highest(xxhash.Sum64String(key), r.members)
}

func highest(key uint64, candidates []hashedMember) id.Instance {
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

// mix combines two hashes into one that is independent of either, with the
// finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	z := a ^ (b * 0x9e3779b97f4a7c15)
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb
	return z ^ (z >> 31)
}
