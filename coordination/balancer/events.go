package balancer

import (
	"time"

	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// Event is an input of a Chooser.
type Event interface{ event() }

// Configured replaces the service and its list of usable upstreams.
type Configured struct {
	Service   routing.Service
	Upstreams []registry.Entry
	// TightestObjective is the shortest objective of the service's streaming
	// routes; 0 if there is none, and then no request counts as bulk.
	TightestObjective time.Duration
	// TightestPause is the shortest pause objective of these routes; 0 if there
	// is none.
	TightestPause time.Duration
}

// Started reports the first byte of an answer.
type Started struct{ Ticket Ticket }

// Paused reports the longest pause of a stream between two events.
type Paused struct {
	Ticket  Ticket
	Longest time.Duration
}

// Ended reports that a request no longer runs. Failed is set if the upstream
// aborted it or gave no answer, Unreachable if the connection failed.
type Ended struct {
	Ticket      Ticket
	Failed      bool
	Unreachable bool
}

// LoadReceived carries a load report of another instance. It replaces the
// instance's previous one.
type LoadReceived struct {
	Instance      id.Instance
	FailureDomain id.FailureDomain
	// WholeDomain is set for the load of all instances of a failure domain, another than
	// that of the chooser. It replaces the last one of that domain.
	WholeDomain bool
	Loads       map[id.Upstream]Load
	// Demand is the result of Chooser.Demand there.
	Demand Demand
}

// InstancesListed reports how many instances are live, this one included.
type InstancesListed struct{ Live int }

// SlowdownStated reports how long work takes at an upstream at this moment, as it said in
// an answer; 1 is as usual for its service.
type SlowdownStated struct {
	Upstream id.Upstream
	Slowdown float64
}

// NeighboursListed reports how many other instances of the failure domain are live. The load
// of those whose reports are missing is then taken to be the mean of the others; with 0
// it is taken to be none.
type NeighboursListed struct{ Live int }

// EjectionReceived reports that another instance has ejected an upstream, and for
// how much longer.
type EjectionReceived struct {
	Upstream id.Upstream
	For      time.Duration
	// OtherDomain is set if the instance is in another failure domain.
	OtherDomain bool
}

// PathsChanged reports that this instance has lost its paths to all upstreams, or has them again:
// its ejections are void.
type PathsChanged struct{}

func (PathsChanged) event()     {}
func (Configured) event()       {}
func (Started) event()          {}
func (Paused) event()           {}
func (Ended) event()            {}
func (LoadReceived) event()     {}
func (SlowdownStated) event()   {}
func (NeighboursListed) event() {}
func (InstancesListed) event()  {}
func (EjectionReceived) event() {}
