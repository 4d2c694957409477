// Package paths decides whether an instance has lost its paths to the upstreams, while those of
// other instances may work: from connections that fail and from silence, confirmed by probes of
// several upstreams. The probes go on until upstreams are reached again.
package paths

import (
	"time"

	"samphirehead/state/id"
)

const (
	// ProbeCount is how many upstreams are probed at a time.
	ProbeCount = 8
	// ProbeTimeout bounds a probe.
	ProbeTimeout = 400 * time.Millisecond

	// suspectFailures is how many upstreams in a row refuse connections before probes.
	suspectFailures = 3
	// silenceTimeout is how long no upstream sends a byte, though some are to, before probes.
	silenceTimeout = 700 * time.Millisecond
	// suspectPause is the shortest time between the probes of a suspicion, and lostPause
	// that between probes while the paths are lost.
	suspectPause = 300 * time.Millisecond
	lostPause    = 400 * time.Millisecond
)

// Event is an input of the Machine.
type Event interface{ event() }

// Heard reports bytes of an upstream. Connected is set if the connection is a new one.
type Heard struct{ Connected bool }

// ConnectFailed reports that a connection to an upstream, begun at Begun, could not be opened.
type ConnectFailed struct {
	Upstream id.Upstream
	Begun    time.Time
}

// Ticked reports that time has passed. WaitingSince is when the request was sent that has waited
// longest for the first byte of an upstream; zero if none waits.
type Ticked struct{ WaitingSince time.Time }

// Probed reports the end of the probes of a Probe.
type Probed struct{ Reached, Failed int }

func (Heard) event()         {}
func (ConnectFailed) event() {}
func (Ticked) event()        {}
func (Probed) event()        {}

// Effect is an output of the Machine.
type Effect interface{ effect() }

// Probe has connections to ProbeCount upstreams opened, drawn at random from all services. Probed
// is due afterwards.
type Probe struct{}

// Changed reports that the paths were lost, or are there again.
type Changed struct{ Lost bool }

func (Probe) effect()   {}
func (Changed) effect() {}

// Machine is the state machine of the paths of one instance. The zero value is ready for use. It
// is not safe for concurrent use.
type Machine struct {
	lost bool
	// heardAt is when an upstream was last heard.
	heardAt time.Time
	// failed holds the upstreams to which no connection could be opened since the last that
	// could.
	failed map[id.Upstream]bool
	// probing is set from a Probe to its Probed, and probedAt is when that was.
	probing  bool
	probedAt time.Time
}

// Lost reports whether the paths to the upstreams are lost.
func (m *Machine) Lost() bool { return m.lost }

// Doubtful reports whether the paths are lost, or that is being found out.
func (m *Machine) Doubtful() bool { return m.lost || m.probing }

// Step applies ev at now and returns the effects to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case Heard:
		m.heardAt = now
		if ev.Connected {
			m.failed = nil
		}
	case ConnectFailed:
		return m.connectFailed(now, ev)
	case Ticked:
		return m.ticked(now, ev)
	case Probed:
		return m.probed(now, ev)
	}
	return nil
}

func (m *Machine) connectFailed(now time.Time, ev ConnectFailed) []Effect {
	if m.failed == nil {
		m.failed = make(map[id.Upstream]bool)
	}
	if len(m.failed) < suspectFailures {
		m.failed[ev.Upstream] = true
	}
	if m.lost || !m.heardAt.Before(ev.Begun) && len(m.failed) < suspectFailures {
		return nil
	}
	return m.probe(now, suspectPause)
}

func (m *Machine) ticked(now time.Time, ev Ticked) []Effect {
	if m.lost {
		return m.probe(now, lostPause)
	}
	silent := now.Sub(m.heardAt) >= silenceTimeout
	if silent && !ev.WaitingSince.IsZero() && now.Sub(ev.WaitingSince) >= silenceTimeout {
		return m.probe(now, silenceTimeout)
	}
	return nil
}

// probe starts probes unless some run, or have ended less than a pause ago.
func (m *Machine) probe(now time.Time, pause time.Duration) []Effect {
	if m.probing || now.Sub(m.probedAt) < pause {
		return nil
	}
	m.probing = true
	return []Effect{Probe{}}
}

// probed takes the paths for lost if no probe reached an upstream, and for there again if half of
// them did.
func (m *Machine) probed(now time.Time, ev Probed) []Effect {
	m.probing, m.probedAt = false, now
	if ev.Reached > 0 && !m.lost {
		m.failed = nil
	}
	lost := m.lost
	switch {
	case ev.Reached == 0 && ev.Failed > 0:
		lost = true
	case ev.Reached > 0 && ev.Reached >= ev.Failed:
		lost = false
	}
	if lost == m.lost {
		return nil
	}
	m.lost, m.failed = lost, nil
	return []Effect{Changed{lost}}
}
