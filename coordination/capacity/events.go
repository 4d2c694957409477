package capacity

import (
	"time"

	"samphirehead/state/id"
)

// Event is an input of a Machine.
type Event interface{ event() }

// Configured replaces the configuration of the service.
type Configured struct {
	Bounds   Bounds
	BootTime time.Duration
	// Spot is set if spot upstreams may be ordered and cost less than others.
	Spot bool
	// Prices holds the price of a second of an upstream by failure domain.
	Prices   map[id.FailureDomain]float64
	Upstream Upstream
}

// Bounds bound the upstreams of both kinds together in each failure domain;
// 0 <= Min <= Max.
type Bounds struct{ Min, Max int }

// Listed replaces the upstreams that are listed, by failure domain. Domains of which none is
// listed may be left out.
type Listed struct{ Counts map[id.FailureDomain]Counts }

// Counts is a number of upstreams of each kind in a failure domain. Those that leave don't
// count.
type Counts struct{ Spot, Others int }

func (c Counts) total() int { return c.Spot + c.Others }

func (c Counts) of(k kind) int {
	if k == spot {
		return c.Spot
	}
	return c.Others
}

// kind tells spot upstreams from others.
type kind string

const (
	spot   kind = "spot"
	others kind = "others"
)

func (k kind) other() kind {
	if k == spot {
		return others
	}
	return spot
}

func kindOf(o Order) kind {
	if o.Spot {
		return spot
	}
	return others
}

// Demanded reports the demand at all instances.
type Demanded struct{ Demand }

// HoldingChanged reports whether this instance gives the orders.
type HoldingChanged struct{ Holds bool }

// Answered reports the result of an order.
type Answered struct {
	Order
	Result Result
}

// Ticked reports that time has passed.
type Ticked struct{}

func (Configured) event()     {}
func (Listed) event()         {}
func (Demanded) event()       {}
func (HoldingChanged) event() {}
func (Answered) event()       {}
func (Ticked) event()         {}

// Result is what became of an order.
type Result string

// The results of an order.
const (
	Accepted Result = "accepted"
	// SoldOut means that none more are to be had there at the moment.
	SoldOut Result = "sold_out"
	// NotSent means that the order had no effect and may be sent again.
	NotSent Result = "not_sent"
	// Unknown means that the order may have been taken: its answer was lost.
	Unknown Result = "unknown"
	// Invalid means that the platform does not take the order at all.
	Invalid Result = "invalid"
)

// Send is an effect: an order is to be sent. The next one follows after its result.
type Send struct {
	Order
	Reason Reason
}

// Reason holds the figures that decided an order.
type Reason struct {
	// Cause is what the demand needs most of.
	Cause Cause
	// Needed is how many upstreams the demand needs at a comfortable use, over all failure
	// domains, and Kept how many it needed at most within HoldTime.
	Needed, Kept float64
	// Before is the count in force, and Listed what is listed of the kind.
	Before, Listed int
}
