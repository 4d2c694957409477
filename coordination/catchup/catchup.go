// Package catchup decides when an instance brings its copy of a table up to date by a peer's.
// The platform is expected to do that at once. Where it does not, its call hangs or it turns
// this instance away: the copy is then fetched from the first peer that has a newer one, and the
// platform is called anew. How many other peers have the newer state does not matter.
package catchup

import (
	"time"

	"samphirehead/state/id"
	"samphirehead/state/mirror"
)

const (
	// DefaultPatience is how long a platform that answers has to bring the copy up to date.
	DefaultPatience = 100 * time.Millisecond
	// maxFetches is how many peers are asked at a time, and slowAfter how long a fetch takes
	// before another peer is asked as well.
	maxFetches = 3
	slowAfter  = 300 * time.Millisecond
	// minPause is the shortest time between the end of a fetch and the next one.
	minPause = 50 * time.Millisecond
)

// State is how new a copy of a table is.
type State struct {
	// Content is the last change that the copy has: of a peer's the one that it has seen, of the
	// own one any up to the state that it is of.
	Content mirror.Revision
	// Version is that of the active configuration, for the table that it is made of; 0 for
	// others. It is newer than the content after the platform was restored from a copy.
	Version id.ManifestVersion
}

// behind reports whether s lacks what other has.
func (s State) behind(other State) bool {
	return other.Content.After(s.Content) || other.Version > s.Version
}

// and returns the newer of each field.
func (s State) and(other State) State {
	if other.Content.After(s.Content) {
		s.Content = other.Content
	}
	s.Version = max(s.Version, other.Version)
	return s
}

// Event is an input of the Machine.
type Event interface{ event() }

// PeerHeard reports the state of a peer's copy.
type PeerHeard struct {
	Address string
	Peer    State
	// Own is the state of the copy here, and Reached is set while the platform answers.
	Own     State
	Reached bool
}

// FetchEnded reports that the fetch from a peer ended.
type FetchEnded struct {
	Address string
	// Read is set if the peer's copy was read. It was used as far as it was newer.
	Read bool
}

func (PeerHeard) event()  {}
func (FetchEnded) event() {}

// Effect is an output of the Machine.
type Effect interface{ effect() }

// FetchFrom has the copy fetched from a peer. FetchEnded is due after it.
type FetchFrom struct {
	Address string
	// Behind is for how long the copy has been known to be behind.
	Behind time.Duration
}

// CallAnew has the platform called anew: the call that waits for changes may hang.
type CallAnew struct{}

func (FetchFrom) effect() {}
func (CallAnew) effect()  {}

// Machine tracks whether one copy is behind those of the peers. The zero value is ready for use.
// It is not safe for concurrent use.
type Machine struct {
	// Patience is set before the first Step; 0 means DefaultPatience.
	Patience time.Duration

	// newest is what the peers have, each field by itself.
	newest State
	// read is the newest content that was fetched. A copy with a newer content can be older as
	// a whole, and is not used then.
	read mirror.Revision
	// endedAt is when the last fetch ended.
	endedAt time.Time
	// behindSince is when the copy was first known to be behind; zero while it is not.
	behindSince time.Time
	// calledAnew is set once the platform was called anew since then.
	calledAnew bool
	// fetches holds the fetches that run by address.
	fetches map[string]fetch
}

// fetch is one that runs.
type fetch struct {
	began time.Time
	// content is that of the peer's copy, or older.
	content mirror.Revision
}

// Step applies ev at now and returns the effects to carry out.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	switch ev := ev.(type) {
	case PeerHeard:
		return m.peerHeard(now, ev)
	case FetchEnded:
		m.fetchEnded(now, ev)
	}
	return nil
}

func (m *Machine) peerHeard(now time.Time, ev PeerHeard) []Effect {
	own := ev.Own.and(State{Content: m.read})
	if !own.behind(m.newest) {
		m.behindSince, m.calledAnew = time.Time{}, false
	}
	if !own.behind(ev.Peer) {
		return nil
	}
	m.newest = m.newest.and(ev.Peer)
	if m.behindSince.IsZero() {
		m.behindSince = now
	}
	behind := now.Sub(m.behindSince)
	if ev.Reached && behind < m.patience() {
		return nil
	}
	var effects []Effect
	if !m.calledAnew {
		m.calledAnew = true
		effects = append(effects, CallAnew{})
	}
	if m.mayFetch(now, ev.Address) {
		m.fetches[ev.Address] = fetch{now, ev.Peer.Content}
		effects = append(effects, FetchFrom{ev.Address, behind})
	}
	return effects
}

func (m *Machine) fetchEnded(now time.Time, ev FetchEnded) {
	m.endedAt = now
	if content := m.fetches[ev.Address].content; ev.Read && content.After(m.read) {
		m.read = content
	}
	delete(m.fetches, ev.Address)
}

// mayFetch reports whether another fetch may begin: none runs, or those that do are slow.
func (m *Machine) mayFetch(now time.Time, address string) bool {
	if m.fetches == nil {
		m.fetches = make(map[string]fetch)
	}
	if _, runs := m.fetches[address]; runs || len(m.fetches) >= maxFetches || now.Sub(m.endedAt) < minPause {
		return false
	}
	for _, f := range m.fetches {
		if now.Sub(f.began) < slowAfter {
			return false
		}
	}
	return true
}

func (m *Machine) patience() time.Duration {
	if m.Patience > 0 {
		return m.Patience
	}
	return DefaultPatience
}
