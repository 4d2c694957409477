// Package bench runs experiments: it puts a cluster under the load and the
// failures of a scenario, and scores what callers received against what the
// stand-ins recorded.
package bench

import (
	"time"

	"samphirehead/bench/cluster"
	"samphirehead/bench/load"
	"samphirehead/standin/fault"
	"samphirehead/state/id"
)

// Scenario is a load and the failures that are injected under it.
type Scenario struct {
	Name    string
	Summary string
	// Changes alter streams of the steady load.
	Changes []Change
	// Extra streams are added to the steady load.
	Extra []load.Stream
	// Steps are carried out one after another, in the order of At.
	Steps []Step
	// Offender is the workspace whose requests overload or crash upstreams;
	// empty if there is none.
	Offender id.Workspace
}

// Change alters the stream of one class.
type Change struct {
	Class id.Class
	// RateFactor multiplies the arrival rate between From and Until, which
	// are fractions of the duration; 0 leaves the rate unchanged.
	RateFactor  float64
	From, Until float64
	// AnswerFactor multiplies the length of answers; 0 leaves it unchanged.
	AnswerFactor float64
	// Copies is how many callers send each call at the same moment; 0 leaves
	// the number unchanged.
	Copies int
}

// Step is an action at a given time of a run.
type Step struct {
	// At is the time since the start, as a fraction of the duration.
	At     float64
	Action Action
}

// Action is what a step does, for instance EngineFault or Kill.
type Action interface{ action() }

// EngineFault adds a fault to engines.
type EngineFault struct {
	// Engines are indices into cluster.Cluster.Engines; empty means all.
	Engines []int
	Fault   fault.Fault
	// For is how long the fault lasts, as a fraction of the run's duration;
	// with 0 Fault.DurationMS applies.
	For float64
}

// PlatformFault adds a fault to the platform.
type PlatformFault struct {
	Fault fault.Fault
	For   float64
}

// ServiceFault adds a fault to every service worker.
type ServiceFault struct {
	Fault fault.Fault
	For   float64
}

// Kill ends an instance abruptly, without draining it.
type Kill struct{ Index int }

// Drain asks an instance to drain; later steps do not wait for its end.
type Drain struct{ Index int }

// Replace waits until an instance has ended and starts another with the same
// index and name.
type Replace struct{ Index int }

// Isolate disconnects an instance from its peers, and from the platform unless
// PeersOnly is set. For is a fraction of the run's duration.
type Isolate struct {
	Index     int
	For       float64
	PeersOnly bool
}

// Pause delays the traffic between an instance and the platform or its peers
// without closing connections. For is a fraction of the run's duration.
type Pause struct {
	Index int
	For   float64
}

// Reapply applies the manifest again with another queue bound, which the load
// does not reach, so that routing stays the same.
type Reapply struct{}

// Race makes operators apply different manifests at the same moment with the
// same base version, each through another instance. At most one may be accepted.
type Race struct{}

func (EngineFault) action()   {}
func (PlatformFault) action() {}
func (ServiceFault) action()  {}
func (Kill) action()          {}
func (Drain) action()         {}
func (Replace) action()       {}
func (Isolate) action()       {}
func (Pause) action()         {}
func (Reapply) action()       {}
func (Race) action()          {}

// Streams returns the streams of the scenario for a run of the given duration:
// the steady load with Changes, then Extra.
func (s Scenario) Streams(duration time.Duration) []load.Stream {
	streams := cluster.Streams()
	for _, c := range s.Changes {
		for i := range streams {
			if streams[i].Class == c.Class {
				c.apply(&streams[i], duration)
			}
		}
	}
	return append(streams, s.Extra...)
}

func (c Change) apply(s *load.Stream, duration time.Duration) {
	if c.RateFactor != 0 {
		s.Phases = append(s.Phases, load.Phase{From: scale(duration, c.From), To: scale(duration, c.Until), Factor: c.RateFactor})
	}
	if c.AnswerFactor != 0 {
		s.AnswerTokens.Median *= c.AnswerFactor
		s.AnswerTokens.Max = int(float64(s.AnswerTokens.Max) * c.AnswerFactor)
	}
	if c.Copies != 0 {
		s.Copies = c.Copies
	}
}

func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
