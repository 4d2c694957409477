// Package membership detects which instances are live, with probes, suspicion and
// gossip as in SWIM. It does no I/O: a state machine takes events and times, and
// returns the probes to send and the changes it found.
package membership

import (
	"samphirehead/state/id"
)

// State is the membership state of an instance.
type State string

// The states of an instance.
const (
	// Alive instances answer probes, directly or through a relay.
	Alive State = "alive"
	// Suspect instances failed to answer probes and may still refute the
	// suspicion.
	Suspect State = "suspect"
	// Dead instances did not refute a suspicion in time, or kept refusing
	// connections.
	Dead State = "dead"
	// Leaving instances announced that they are shutting down.
	Leaving State = "leaving"
)

// Record is what is known of one instance. Records of the same instance are
// ordered by incarnation, then by sequence, then by the precedence of the state.
type Record struct {
	Instance id.Instance
	// Incarnation is 0 while the instance is known only from the platform's
	// list.
	Incarnation id.Incarnation
	State       State
	// Sequence is raised by the instance itself only.
	Sequence      uint64
	FailureDomain id.FailureDomain
	Region        id.Region
	CallerAddress string
	PeerAddress   string
	// Manifest is 0 while the instance is starting or knows that its manifest
	// is out of date. Otherwise it is a lower bound of the version, because a
	// new version alone is not queued for gossip.
	Manifest id.ManifestVersion
	// Headroom is the free fraction of the instance's capacity, 0 to 1.
	Headroom float64
	// Unreachable is local and never sent: the last direct probe from here
	// failed, even if other instances reach the instance.
	Unreachable bool
	// Flapping is local and never sent: the instance changed from dead back to
	// alive more than once recently, and its hold-down period has not ended.
	Flapping bool
}

// Ready reports whether the instance has a manifest and is neither suspect,
// dead nor leaving.
func (r Record) Ready() bool {
	return r.State == Alive && r.Incarnation > 0 && r.Manifest > 0
}

// CanOwn reports whether the instance may own rate limits, from which it lends to
// others. A suspect keeps what it owns, because it may refute the suspicion.
func (r Record) CanOwn() bool {
	if r.Incarnation == 0 || r.Manifest == 0 || r.Flapping {
		return false
	}
	return r.State == Alive || r.State == Suspect
}

// Newer reports whether r replaces old, a record of the same instance.
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

// Evidence says how a call to an instance failed.
type Evidence string

// The kinds of evidence.
const (
	// Refused means that the host answered and no process listens there.
	Refused Evidence = "refused"
	// TimedOut means that no answer came: a network fault, a paused process
	// or a crashed host.
	TimedOut Evidence = "timed_out"
)
