// Package leave decides how an instance shuts down without cutting a request.
package leave

import (
	"cmp"
	"time"

	"samphirehead/coordination/entries"
)

const (
	// DefaultMargin is added to the lifetime of entries answers: the time
	// that it takes other instances to hear that this one leaves.
	DefaultMargin = 500 * time.Millisecond
)

// Phase is how far an instance has left.
type Phase string

// The phases, in order. None is ever left for an earlier one.
const (
	// Serving instances are not leaving.
	Serving Phase = "serving"
	// Announced instances are no longer named to callers and still accept
	// from those that were told of them before.
	Announced Phase = "announced"
	// Refusing instances take no new work and finish what they have.
	Refusing Phase = "refusing"
	// Done instances have nothing left and may exit.
	Done Phase = "done"
)

// Event is one input of the machine.
type Event interface{ event() }

// Asked starts the shutdown; repeats change nothing.
type DrainRequested struct{}

// Ticked passes time.
type Ticked struct{}

// InFlight reports the work in progress.
type InFlight struct {
	// Requests counts callers' requests at this entry.
	Requests int
}

func (DrainRequested) event() {}
func (Ticked) event()         {}
func (InFlight) event()       {}

// Effect is one output of the machine.
type Effect interface{ effect() }

// Entered reports a new phase. On Announced the shell tells the other
// instances; on Done it ends the process.
type PhaseEntered struct{ Phase Phase }

func (PhaseEntered) effect() {}

// Machine drives one shutdown. The zero value is ready. It is not safe for
// concurrent use.
type Machine struct {
	// Margin is set before the first Step; 0 means DefaultMargin. It is less
	// than a second, so that no new work is taken 3 s after Asked.
	Margin time.Duration
	// CallersFor is how long callers keep the answers that name the instance;
	// 0 means entries.Lifetime.
	EntryLifetime time.Duration
	// Grace, unless 0, is when the instance is Done whatever is in progress.
	Grace time.Duration

	phase Phase
	// askedAt is when the shutdown began; zero until then.
	drainStart time.Time
	// refuseAt is when new work is refused; set once Announced.
	refuseAt time.Time
	inFlight InFlight
}

// Step applies ev at now and returns the effects to carry out, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case DrainRequested:
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

// Phase returns the current phase.
func (m *Machine) Phase() Phase {
	if m.phase == "" {
		return Serving
	}
	return m.phase
}

// Named reports whether the instance may be named to callers.
func (m *Machine) Advertised() bool { return m.Phase() == Serving }

// Accepting reports whether new requests are taken.
func (m *Machine) Accepting() bool { return m.Phase() == Serving || m.Phase() == Announced }

// Done reports whether the process may exit.
func (m *Machine) Done() bool { return m.Phase() == Done }

// Begun reports whether the shutdown has begun.
func (m *Machine) Started() bool { return m.Phase() != Serving }

// Left returns how much of Grace is left.
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
		// The end waits for a count made after the refusal began, as work
		// may have come since the last one.
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
