// Package directory selects the instances that a caller is told to connect to.
package directory

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"samphirehead/coordination/heartbeat"
	"samphirehead/state/id"
)

const (
	// listAll is the number of instances up to which an answer lists all.
	listAll = 8
	// minLocal is the number of instances with room in the caller's failure domain below
	// which others are listed, too.
	minLocal = 3
	// An answer lists a share of the failure domain's instances, but at least minListed
	// and at most maxListed: with fewer a caller may lose all at once, with more those with
	// little headroom are listed as often as the others.
	listedShare = 1.0 / 3
	minListed   = 6
	maxListed   = 32
)

// Query describes a caller.
type Query struct {
	// Caller identifies the caller: as long as the instances stay the same, so do its
	// answers, wherever it asks. Callers close connections to instances that a later answer
	// lacks.
	Caller        string
	FailureDomain id.FailureDomain
	// Entries holds the instances that callers may use.
	Entries []heartbeat.Record
}

// Select returns the instances for a caller, those in its failure domain first. Over all
// callers, each one is listed about as often as its headroom is.
func Select(q Query) []heartbeat.Record {
	var local, others []heartbeat.Record
	withRoom := 0
	for _, e := range q.Entries {
		switch {
		case e.FailureDomain != q.FailureDomain:
			others = append(others, e)
		default:
			local = append(local, e)
			if e.Headroom != noRoom {
				withRoom++
			}
		}
	}
	if len(q.Entries) <= listAll {
		return append(local, others...)
	}
	listed := q.draw(local, int(listedShare*float64(len(local))))
	if withRoom < minLocal {
		listed = append(listed, q.draw(others, int(listedShare*float64(len(others))))...)
	}
	return listed
}

// draw returns some of the entries, by a weighted sample without replacement.
func (q Query) draw(entries []heartbeat.Record, n int) []heartbeat.Record {
	n = min(max(n, minListed), maxListed, len(entries))
	slices.SortFunc(entries, func(a, b heartbeat.Record) int {
		return cmp.Or(cmp.Compare(q.variate(a), q.variate(b)), cmp.Compare(a.Instance, b.Instance))
	})
	return entries[:n]
}

// variate returns a number for an instance, the same for each answer to the caller.
func (q Query) variate(r heartbeat.Record) float64 {
	hash := xxhash.Sum64String(q.Caller + "\x00" + string(r.Instance))
	return Variate(hash, float64(max(r.Headroom, noRoom)))
}

// Variate returns a variate of the exponential distribution whose rate is the weight, drawn by
// a hash. Sorting by it is a weighted sample without replacement.
func Variate(hash uint64, weight float64) float64 {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -math.Log(uniform) / weight
}
