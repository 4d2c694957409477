// Package reader decides which instances watch a table of the platform closely. The others
// are told by them, and by the platform itself as far as it pushes changes. Who reads follows
// from which instances are live, so that it needs no lease and no messages of its own:
// while views differ there are a few readers more.
package reader

import (
	"slices"

	"samphirehead/coordination/heartbeat"
	"samphirehead/coordination/rendezvous"
	"samphirehead/state/id"
)

const (
	// minInstances is the number of live instances below which all read: their calls are few.
	minInstances = 8
	// perDomain is how many instances of a failure domain read, so that one is left while
	// the loss of the other is not yet known.
	perDomain = 2
)

// Reads reports whether self is one of the readers of a table. live holds the live instances,
// itself among them.
func Reads(table string, self heartbeat.Record, live []heartbeat.Record) bool {
	if len(live) < minInstances {
		return true
	}
	var neighbours []id.Instance
	for _, r := range live {
		if r.FailureDomain == self.FailureDomain && !r.Leaving {
			neighbours = append(neighbours, r.Instance)
		}
	}
	return slices.Contains(rendezvous.Homes(table, neighbours, perDomain), self.Instance)
}
