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
	leastNear = 0.1
	// leastWeight keeps full instances in the draw, as headroom is late.
	leastWeight = 0.02
)

// Query asks for the entries of one caller.
type Query struct {
	Workspace id.Workspace
	// FailureDomain and Region are those of the instance that answers.
	FailureDomain id.FailureDomain
	Region        id.Region
	Members       []member.Record
	// Draw is random; it spreads the callers of a workspace.
	Draw uint64
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
	slices.SortFunc(ranked, compare)
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
func (q Query) candidates() []hashed {
	near := make([]hashed, 0, shardSize+1)
	all := make([]hashed, 0, shardSize+1)
	for i := range q.Members {
		r := &q.Members[i]
		if !r.Ready() || r.Unreachable || r.CallerAddress == "" {
			continue
		}
		h := hashed{record: r, hash: q.hash(r.Instance, 0)}
		all = insert(all, h)
		if r.Region == q.Region {
			near = insert(near, h)
		}
	}
	if len(near) >= MaxEntries {
		return near
	}
	return all
}

type hashed struct {
	record *member.Record
	hash   uint64
}

// insert keeps the shardSize highest hashes in falling order, one for each
// address.
func insert(shard []hashed, h hashed) []hashed {
	if len(shard) == shardSize && h.hash <= shard[shardSize-1].hash {
		return shard
	}
	for _, other := range shard {
		if other.record.CallerAddress == h.record.CallerAddress {
			return shard
		}
	}
	at, _ := slices.BinarySearchFunc(shard, h.hash, func(other hashed, hash uint64) int {
		return order(hash, other.hash)
	})
	shard = slices.Insert(shard, at, h)
	return shard[:min(len(shard), shardSize)]
}

type rankedEntry struct {
	record member.Record
	near   bool
	// variate is exponential with the headroom as its rate, so that sorting
	// draws without replacement.
	variate float64
}

func (q Query) rank(r member.Record) rankedEntry {
	uniform := (float64(q.hash(r.Instance, q.Draw)>>11) + 0.5) / (1 << 53)
	return rankedEntry{
		record:  r,
		near:    r.FailureDomain == q.FailureDomain && r.Headroom >= leastNear,
		variate: -math.Log(uniform) / max(r.Headroom, leastWeight),
	}
}

func compare(a, b rankedEntry) int {
	if a.near != b.near {
		if a.near {
			return -1
		}
		return 1
	}
	return order(a.variate, b.variate)
}

func (q Query) hash(instance id.Instance, draw uint64) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(draw)
	_, _ = d.WriteString(string(q.Workspace))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(instance))
	return d.Sum64()
}

func order[T uint64 | float64](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
