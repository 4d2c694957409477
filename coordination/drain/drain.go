// Package drain decides how an instance drains, so that it shuts down without
// interrupting a request unless its grace period ends.
package drain

import (
	"cmp"
	"time"

	"samphirehead/coordination/entries"
)

const (
	// DefaultMargin is added to the time for which callers cache an answer
	// with entries. It covers the time until the other instances have learned
	// that this one is draining and no longer include it in their answers.
	DefaultMargin = 500 * time.Millisecond
)

// Phase is a step of the drain.
type Phase string

// The phases, in order. An instance never returns to an earlier one.
const (
	// Serving instances are not draining.
	Serving Phase = "serving"
	// Announced instances are no longer advertised to callers, but still
	// accept requests from callers whose cached answer contains them.
	Announced Phase = "announced"
	// Refusing instances reject new requests and finish those in progress.
	Refusing Phase = "refusing"
	// Done instances have no requests in progress, or have used up their
	// grace period, and may exit.
	Done Phase = "done"
)

// Event is an input of the machine.
type Event interface{ event() }

// Requested starts the drain. Repeated requests have no effect.
type Requested struct{}

// Ticked reports that time has passed.
type Ticked struct{}

// InFlight reports the current number of requests in progress.
type InFlight struct {
	// Requests counts the callers' requests that this instance is serving.
	Requests int
}

func (Requested) event() {}
func (Ticked) event()    {}
func (InFlight) event()  {}

// Effect is an output of the machine.
type Effect interface{ effect() }

// PhaseEntered reports a new phase. On Announced the driver notifies the other
// instances; on Done it ends the process.
type PhaseEntered struct{ Phase Phase }

func (PhaseEntered) effect() {}

// Machine is the state machine of one drain. The zero value is ready. It is not
// safe for concurrent use.
type Machine struct {
	// Margin is set before the first Step; 0 means DefaultMargin. With the
	// default EntryLifetime it must be below one second, so that no new
	// request is accepted 3 s after the drain was requested.
	Margin time.Duration
	// EntryLifetime is how long callers may use a cached answer that contains
	// this instance; 0 means entries.Lifetime.
	EntryLifetime time.Duration
	// Grace is how long after the first Requested the instance becomes Done
	// even if requests are in progress; 0 means no limit.
	Grace time.Duration

	phase Phase
	// drainStart is the time of the first Requested; zero until then.
	drainStart time.Time
	// refuseAt is when the instance starts to reject new requests; set once
	// Announced.
	refuseAt time.Time
	inFlight InFlight
}

// Step applies ev at the time now and returns the effects to carry out, in
// order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Requested:
		if m.Phase() == Serving {
			m.drainStart = now
			m.refuseAt = now.Add(cmp.Or(m.EntryLifetime, entries.Lifetime) + cmp.Or(m.Margin, DefaultMargin))
			return m.enter(Announced)
		}
	case InFlight:
		m.inFlight = ev
		return m.advance(now)
	case Ticked:
		return m.advance(now)
	}
	return nil
}

// Phase returns the current phase, which is Serving before the drain.
func (m *Machine) Phase() Phase {
	if m.phase == "" {
		return Serving
	}
	return m.phase
}

// Advertised reports whether answers to callers may contain the instance.
func (m *Machine) Advertised() bool { return m.Phase() == Serving }

// Accepting reports whether the instance accepts new requests.
func (m *Machine) Accepting() bool { return m.Phase() == Serving || m.Phase() == Announced }

// Done reports whether the phase is Done and the process may exit.
func (m *Machine) Done() bool { return m.Phase() == Done }

// Started reports whether a drain was requested. It remains true once Done.
func (m *Machine) Started() bool { return m.Phase() != Serving }

// RemainingGrace returns how much of Grace remains at the time now: all of it
// before the drain. It is negative after the end and meaningless if Grace is 0.
func (m *Machine) RemainingGrace(now time.Time) time.Duration {
	if !m.Started() {
		return m.Grace
	}
	return m.drainStart.Add(m.Grace).Sub(now)
}

func (m *Machine) advance(now time.Time) []Effect {
	switch {
	case m.Started() && !m.Done() && m.Grace > 0 && m.RemainingGrace(now) <= 0:
		return m.enter(Done)
	case m.phase == Announced && !now.Before(m.refuseAt):
		// Requests may have arrived since the last InFlight. Assume one, so
		// that Done waits for a count made after new requests are rejected.
		m.inFlight = InFlight{Requests: 1}
		return m.enter(Refusing)
	case m.phase == Refusing && m.inFlight.Requests == 0:
		return m.enter(Done)
	}
	return nil
}

func (m *Machine) enter(p Phase) []Effect {
	m.phase = p
	return []Effect{PhaseEntered{Phase: p}}
}
