// Package entries selects the instances to which a caller sends its requests.
package entries

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"samphirehead/coordination/directory"
	"samphirehead/coordination/membership"
	"samphirehead/state/id"
)

const (
	// Lifetime is how long a caller may use the entries that it received.
	Lifetime = 2 * time.Second
	// MaxEntries bounds the entries of an answer.
	MaxEntries = 4
	// shardSize bounds the instances that receive requests of one workspace,
	// so that a flood of requests from it affects few instances.
	shardSize = 8
	// minLocalHeadroom is the headroom below which an instance of the same
	// failure domain is no longer preferred.
	minLocalHeadroom = 0.1
	// minWeight is the weight of instances without headroom. It is not zero,
	// because the reported headroom may be out of date.
	minWeight = 0.02
)

// Query describes the caller for whom Rank selects entries.
type Query struct {
	Workspace id.Workspace
	// FailureDomain and Region are those of the instance that answers the
	// caller.
	FailureDomain id.FailureDomain
	Region        id.Region
	Members       []membership.Record
	// Seed is random for each query, so that the callers of a workspace are
	// spread over its instances.
	Seed uint64
}

// Rank returns at most MaxEntries entries, the preferred one first. It leaves out
// instances that are starting, out of date, suspect, dead, leaving or unreachable
// from here. Instances of the same failure domain come first while they have
// headroom. Apart from that the order is random, weighted by headroom.
func Rank(q Query) []membership.Record {
	candidates := q.candidates()
	ranked := make([]rankedEntry, len(candidates))
	for i, c := range candidates {
		ranked[i] = q.rank(*c.record)
	}
	slices.SortFunc(ranked, compareRanked)
	entries := make([]membership.Record, 0, MaxEntries)
	for _, r := range ranked[:min(len(ranked), MaxEntries)] {
		entries = append(entries, r.record)
	}
	return entries
}

// candidates returns the shard of the workspace: the eligible members with the
// highest rendezvous hashes, from the same region if it has at least MaxEntries.
// Each workspace has its own shard (shuffle sharding), of which at most one member
// changes when an instance is added or removed.
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
	record *membership.Record
	hash   uint64
}

// insert adds candidate to the shard, which holds the shardSize highest hashes in
// descending order, one for each caller address.
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
	record membership.Record
	local  bool
	// variate is drawn from the exponential distribution whose rate is the
	// headroom. Sorting by it is a weighted sample without replacement.
	variate float64
}

func (q Query) rank(r membership.Record) rankedEntry {
	return rankedEntry{
		record:  r,
		local:   r.FailureDomain == q.FailureDomain && r.Headroom >= minLocalHeadroom,
		variate: directory.Variate(q.hash(r.Instance, q.Seed), max(r.Headroom, minWeight)),
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
