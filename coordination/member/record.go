// Package member decides which instances are live. It is a pure machine:
// events and times go in, probes and changes come out.
package member

import (
	"samphirehead/state/id"
)

// State is what is believed of an instance.
type State string

// The states of an instance.
const (
	// Alive instances answer probes, directly or through others.
	Alive State = "alive"
	// Suspect instances missed probes and may still refute the suspicion.
	Suspect State = "suspect"
	// Dead instances did not refute a suspicion in time.
	Dead State = "dead"
	// Leaving instances said that they are shutting down.
	Leaving State = "leaving"
)

// Record is what is known of one instance. Records of one instance are
// ordered by incarnation, then sequence, then the gravity of the state.
type Record struct {
	Instance id.Instance
	// Incarnation is 0 while the instance is known from the platform's list
	// only.
	Incarnation id.Incarnation
	State       State
	// Sequence is raised only by the instance itself.
	Sequence      uint64
	FailureDomain id.FailureDomain
	Region        id.Region
	CallerAddress string
	PeerAddress   string
	// Manifest is 0 while the instance is starting or holds a manifest that
	// it knows to be out of date. Otherwise it is a lower bound, as not each
	// version spreads a new record.
	Manifest id.ManifestVersion
	// Headroom is the free share of the instance's own capacity, 0 to 1.
	Headroom float64
	// Unreachable is local and never sent: the last direct probe failed,
	// whatever others say.
	Unreachable bool
	// Held is local and never sent: the instance came back from dead more
	// than once lately and has not been steady for long enough to lend.
	Flapping bool
}

// Ready reports whether the instance has a manifest and is neither suspect,
// dead nor leaving.
func (r Record) Ready() bool {
	return r.State == Alive && r.Incarnation > 0 && r.Manifest > 0
}

// CanOwn reports whether the instance may lend rates to others. A suspicion alone
// moves nothing, as the suspect may refute it.
func (r Record) CanOwn() bool {
	if r.Incarnation == 0 || r.Manifest == 0 || r.Flapping {
		return false
	}
	return r.State == Alive || r.State == Suspect
}

// Newer reports whether r replaces old.
func (r Record) Newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	if r.Sequence != old.Sequence {
		return r.Sequence > old.Sequence
	}
	return r.State.precedence() > old.State.precedence()
}

func (s State) precedence() int {
	switch s {
	case Suspect:
		return 1
	case Leaving:
		return 2
	case Dead:
		return 3
	case Alive:
		return 0
	}
	return 0
}

// Evidence says why an instance is thought to be gone.
type Evidence string

// The kinds of evidence.
const (
	// Refused means that the machine answered and no process listens.
	Refused Evidence = "refused"
	// TimedOut means that no answer came: the network, a pause or a crash.
	TimedOut Evidence = "timed_out"
)
