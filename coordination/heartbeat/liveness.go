package heartbeat

import (
	"slices"
	"strings"
	"time"

	"samphirehead/state/id"
)

// LivenessChange reports that a peer became live, or that it no longer is.
type LivenessChange struct {
	Record
	Live bool
	// SilentFor is the time since the peer's sequence number last rose, or
	// forgetAfter for a peer that is no longer known.
	SilentFor time.Duration
	// Unreachable is set if the last exchange with the peer failed.
	Unreachable bool
}

// LivenessChanges returns the peers whose liveness changed since the previous
// call, ordered by id. The first call returns all live peers.
func (m *Machine) LivenessChanges(now time.Time) []LivenessChange {
	if m.reportedLive == nil {
		m.reportedLive = make(map[id.Instance]Record)
	}
	var changes []LivenessChange
	for instance, p := range m.peers {
		_, wasLive := m.reportedLive[instance]
		live := m.isLive(now, p)
		if live {
			m.reportedLive[instance] = p.Record
		}
		if live != wasLive {
			changes = append(changes, LivenessChange{Record: p.Record, Live: live, SilentFor: now.Sub(p.lastSeen), Unreachable: p.unreachable})
		}
		if !live {
			delete(m.reportedLive, instance)
		}
	}
	for instance, record := range m.reportedLive {
		if _, known := m.peers[instance]; !known {
			delete(m.reportedLive, instance)
			changes = append(changes, LivenessChange{Record: record, SilentFor: forgetAfter})
		}
	}
	slices.SortFunc(changes, func(a, b LivenessChange) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return changes
}
