package capacity

import (
	"math"
	"time"

	"samphirehead/state/id"
)

// meanTime is the time constant of the decaying means of a Demand.
const meanTime = 2 * time.Second

// Demand is what callers ask of a service.
type Demand struct {
	// Requests, PrefillTokens and Refused are decaying means a second: of requests, of the
	// prompt tokens that upstreams have to process for them, and of refused requests.
	Requests, PrefillTokens, Refused float64
	// Running counts the requests that run, and Memory is the KV cache that they need.
	Running float64
	Memory  float64
}

// add returns the sum of two demands.
func (d Demand) add(other Demand) Demand {
	d.Requests += other.Requests
	d.PrefillTokens += other.PrefillTokens
	d.Refused += other.Refused
	d.Running += other.Running
	d.Memory += other.Memory
	return d
}

// times returns a multiple of a demand.
func (d Demand) times(factor float64) Demand {
	d.Requests *= factor
	d.PrefillTokens *= factor
	d.Refused *= factor
	d.Running *= factor
	d.Memory *= factor
	return d
}

// Meter measures the demand for one service at one instance. The zero value is ready. It
// is not safe for concurrent use.
type Meter struct {
	demand    Demand
	decayedAt time.Time
}

// Arrived records a request.
func (m *Meter) Arrived(now time.Time) {
	m.decay(now)
	m.demand.Requests += 1 / meanTime.Seconds()
}

// Sent records that a request was sent to an upstream that has to process prompt tokens
// for it.
func (m *Meter) Sent(now time.Time, prefill id.Tokens) {
	m.decay(now)
	m.demand.PrefillTokens += float64(prefill) / meanTime.Seconds()
}

// Refused records that no upstream had room for a request.
func (m *Meter) Refused(now time.Time) {
	m.decay(now)
	m.demand.Refused += 1 / meanTime.Seconds()
}

// Demand returns the demand, with what runs at the moment.
func (m *Meter) Demand(now time.Time, running int, memory id.Tokens) Demand {
	m.decay(now)
	demand := m.demand
	demand.Running, demand.Memory = float64(max(running, 0)), float64(max(memory, 0))
	return demand
}

func (m *Meter) decay(now time.Time) {
	if elapsed := now.Sub(m.decayedAt); elapsed > 0 {
		m.demand = m.demand.times(math.Exp(-elapsed.Seconds() / meanTime.Seconds()))
		m.decayedAt = now
	}
}

// idleRequests is the rate of requests a second below which nothing is asked.
const idleRequests = 0.1

// idle reports whether nothing runs and nothing is asked.
func (d Demand) idle() bool { return d.Running < 1 && d.Requests < idleRequests }
