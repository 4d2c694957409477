// Package entries decides which instances a caller is told to use.
package entries

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

const (
	// Lifetime is how long a caller may keep an answer.
	Lifetime = 2 * time.Second
	// MaxEntries bounds the entries of an answer.
	MaxEntries = 4
	// shardSize bounds the instances that one workspace is ever sent to, so
	// that a flood of one workspace reaches few.
	shardSize = 8
	// leastNear is the headroom below which an instance of the near failure
	// domain is no longer preferred.
	minLocalHeadroom = 0.1
	// leastWeight keeps full instances in the draw, as headroom is late.
	minWeight = 0.02
)

// Query asks for the entries of one caller.
type Query struct {
	Workspace id.Workspace
	// FailureDomain and Region are those of the instance that answers.
	FailureDomain id.FailureDomain
	Region        id.Region
	Members       []member.Record
	// Draw is random; it spreads the callers of a workspace.
	Seed uint64
}

// Rank returns the entries to use, the preferred one first, at most
// MaxEntries. Instances that are starting, out of date, suspect, dead,
// leaving or unreachable from here are never among them. Members of the own
// failure domain come first while they have headroom; otherwise the order is
// drawn at random, weighted by headroom.
func Rank(q Query) []member.Record {
	candidates := q.candidates()
	ranked := make([]rankedEntry, len(candidates))
	for i, c := range candidates {
		ranked[i] = q.rank(*c.record)
	}
	slices.SortFunc(ranked, compareRanked)
	entries := make([]member.Record, 0, MaxEntries)
	for _, r := range ranked[:min(len(ranked), MaxEntries)] {
		entries = append(entries, r.record)
	}
	return entries
}

// candidates returns the shard of the workspace: the members that may be
// named with the highest rendezvous hashes, from the own region if it has
// enough. Each workspace has a shard of its own, which changes by one member
// when one comes or goes.
func (q Query) candidates() []shardMember {
	regional := make([]shardMember, 0, shardSize+1)
	all := make([]shardMember, 0, shardSize+1)
	for i := range q.Members {
		r := &q.Members[i]
		if !r.Ready() || r.Unreachable || r.CallerAddress == "" {
			continue
		}
		candidate := shardMember{record: r, hash: q.hash(r.Instance, 0)}
		all = insert(all, candidate)
		if r.Region == q.Region {
			regional = insert(regional, candidate)
		}
	}
	if len(regional) >= MaxEntries {
		return regional
	}
	return all
}

type shardMember struct {
	record *member.Record
	hash   uint64
}

// insert keeps the shardSize highest hashes in falling order, one for each
// address.
func insert(shard []shardMember, candidate shardMember) []shardMember {
	if len(shard) == shardSize && candidate.hash <= shard[shardSize-1].hash {
		return shard
	}
	for _, other := range shard {
		if other.record.CallerAddress == candidate.record.CallerAddress {
			return shard
		}
	}
	i, _ := slices.BinarySearchFunc(shard, candidate.hash, func(other shardMember, hash uint64) int {
		return compareOrdered(hash, other.hash)
	})
	shard = slices.Insert(shard, i, candidate)
	return shard[:min(len(shard), shardSize)]
}

type rankedEntry struct {
	record member.Record
	local  bool
	// variate is exponential with the headroom as its rate, so that sorting
	// draws without replacement.
	variate float64
}

func (q Query) rank(r member.Record) rankedEntry {
	uniform := (float64(q.hash(r.Instance, q.Seed)>>11) + 0.5) / (1 << 53)
	return rankedEntry{
		record:  r,
		local:   r.FailureDomain == q.FailureDomain && r.Headroom >= minLocalHeadroom,
		variate: -math.Log(uniform) / max(r.Headroom, minWeight),
	}
}

func compareRanked(a, b rankedEntry) int {
	if a.local != b.local {
		if a.local {
			return -1
		}
		return 1
	}
	return compareOrdered(a.variate, b.variate)
}

func (q Query) hash(instance id.Instance, seed uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.WriteString(string(q.Workspace))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(instance))
	return d.Sum64()
}

func compareOrdered[T uint64 | float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
