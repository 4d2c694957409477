package choice

import (
	"time"

	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// Event is one input of the chooser.
type Event interface{ event() }

// Configured sets the service and its usable upstreams.
type Configured struct {
	Service   routing.Service
	Upstreams []registry.Entry
	// Tightest is the shortest objective of a streaming route of the service.
	TightestObjective time.Duration
}

// Started reports the first byte of an answer.
type Started struct{ Ticket Ticket }

// Paused reports the longest pause of a stream.
type Paused struct {
	Ticket  Ticket
	Longest time.Duration
}

// Ended reports that a request no longer runs. Failed is set when the upstream
// broke it off or gave no answer, Unreached when it could not be connected to.
type Ended struct {
	Ticket      Ticket
	Failed      bool
	Unreachable bool
}

// Heard brings the load and the demand of another instance.
type LoadReceived struct {
	Instance id.Instance
	Loads    map[id.Upstream]Load
	// Demand is that of Demand.
	Demand float64
}

// Warned reports that another instance keeps away from an upstream.
type EjectionReceived struct {
	Upstream id.Upstream
	For      time.Duration
}

func (Configured) event()       {}
func (Started) event()          {}
func (Paused) event()           {}
func (Ended) event()            {}
func (LoadReceived) event()     {}
func (EjectionReceived) event() {}
