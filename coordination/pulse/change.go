package pulse

import (
	"slices"
	"strings"
	"time"

	"samphirehead/state/id"
)

// Change says that an instance became live, or is no longer.
type Change struct {
	Record
	Live bool
	// Unheard is how long the instance has been silent, Unreached that the
	// last exchange with it failed; both explain why it is not live.
	Unheard   time.Duration
	Unreached bool
}

// Changes returns what changed since it was last asked, ordered by id.
func (m *Machine) Changes(now time.Time) []Change {
	if m.told == nil {
		m.told = make(map[id.Instance]Record)
	}
	var changes []Change
	for instance, p := range m.peers {
		_, told := m.told[instance]
		live := m.alive(now, p)
		if live {
			m.told[instance] = p.Record
		}
		if live != told {
			changes = append(changes, Change{Record: p.Record, Live: live, Unheard: now.Sub(p.heard), Unreached: p.unreached})
		}
		if !live {
			delete(m.told, instance)
		}
	}
	for instance, record := range m.told {
		if _, known := m.peers[instance]; !known {
			delete(m.told, instance)
			changes = append(changes, Change{Record: record, Unheard: forgetAfter})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
	return changes
}
