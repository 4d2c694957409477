// Package bench runs experiments: a cluster under a load and the failures of a
// scenario, scored against the stand-ins' truth.
package bench

import (
	"time"

	"samphirehead/bench/cluster"
	"samphirehead/bench/load"
	"samphirehead/standin/fault"
	"samphirehead/state/id"
)

// Scenario is a load and what fails under it.
type Scenario struct {
	Name    string
	Summary string
	// Changes are made to the steady load.
	Changes []Change
	// Extra streams are added to it.
	Extra []load.Stream
	// Steps are carried out in order.
	Steps []Step
	// Offender is the workspace that causes the trouble; empty if none.
	Offender id.Workspace
}

// Change alters the stream of one class.
type Change struct {
	Class id.Class
	// Rate multiplies the arrivals from From to Until, as shares of the
	// duration; 0 leaves them as they are.
	RateFactor  float64
	From, Until float64
	// Answer multiplies the length of answers; 0 leaves it.
	AnswerFactor float64
	// Copies is how many callers send each call; 0 leaves it.
	Copies int
}

// Step is something that happens during a run.
type Step struct {
	// At is when, as a share of the duration.
	At     float64
	Action Action
}

// Action is what a step does.
type Action interface{ action() }

// EngineFault adds a fault to engines.
type EngineFault struct {
	// Engines are the places; empty means all.
	Engines []int
	Fault   fault.Fault
	// For is how long it lasts, as a share of the duration; 0 uses the
	// fault's own.
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

// Kill ends the instance at a place without warning.
type Kill struct{ Index int }

// Leave drains the instance at a place; later steps do not wait for it.
type Drain struct{ Index int }

// Replace starts the instance at a place anew once it has ended.
type Replace struct{ Index int }

// Isolate cuts the instance at a place off from its peers, and from the platform
// unless PeersOnly is set, for a share of the duration.
type Isolate struct {
	Index     int
	For       float64
	PeersOnly bool
}

// Pause holds back what goes between the instance at a place and the platform
// or its peers for a share of the duration.
type Pause struct {
	Index int
	For   float64
}

// Reapply applies the manifest again with a change that alters no decision.
type Reapply struct{}

// Race lets operators apply different manifests at the same moment, each at
// another instance.
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

// Streams returns the load of the scenario for a duration.
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
