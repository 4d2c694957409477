package pulse

import (
	"slices"
	"strings"
	"time"

	"samphirehead/state/id"
)

// Change says that an instance became live, or is no longer.
type LivenessChange struct {
	Record
	Live bool
	// Unheard is how long the instance has been silent, Unreached that the
	// last exchange with it failed; both explain why it is not live.
	SilentFor   time.Duration
	Unreachable bool
}

// Changes returns what changed since it was last asked, ordered by id.
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
