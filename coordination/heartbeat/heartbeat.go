// Package heartbeat detects which instances are live. Each instance raises the
// sequence number of its own record and exchanges records with a few random peers
// each Interval, most of them in its own failure domain where those are large. A peer
// whose number stops rising is no longer listed as an entry for callers. Messages have a
// bounded size.
package heartbeat

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirehead/state/id"
)

const (
	// Interval is the time between two rounds of exchanges.
	Interval = 200 * time.Millisecond
	// Fanout is the number of addresses contacted in one round.
	Fanout = 3
	// MaxRecords bounds the records of one message, not counting the sender's.
	MaxRecords = 16

	silenceTimeoutBase = time.Second
	silenceTimeoutStep = 100 * time.Millisecond
	// forgetAfter is how long a silent peer stays known.
	forgetAfter = 10 * time.Minute
	// maxSeedFailures is the number of failed exchanges in a row after which
	// a seed is dropped.
	maxSeedFailures = 30
	// pauseThreshold is the time between two ticks from which this process
	// counts as having been paused.
	pauseThreshold = time.Second
)

// Record is what an instance reports about itself.
type Record struct {
	Instance    id.Instance
	Incarnation id.Incarnation
	// Sequence is raised by the instance at each tick and each change.
	Sequence      uint64
	FailureDomain id.FailureDomain
	CallerAddress string
	PeerAddress   string
	// Ready is set once the instance has a routing table.
	Ready bool
	// Leaving is set while the instance drains before it shuts down.
	Leaving bool
	// PathsLost is set while the instance reaches no upstream.
	PathsLost bool
	// Headroom is what the instance can carry, as a weight among instances; 0 if unknown.
	Headroom uint32
}

// Newer reports whether r replaces old, a record of the same instance.
func (r Record) Newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

// Event is an input of the Machine.
type Event interface{ event() }

// Ticked starts a round of exchanges. It is due every Interval.
type Ticked struct {
	// Uniform is set if this instance has to hear of each other one directly, wherever
	// it is: all peers are then equally likely to be contacted.
	Uniform bool
}

// RecordsReceived reports a message from another instance.
type RecordsReceived struct {
	// From is the sender's own record.
	From    Record
	Records []Record
}

// SeedsAdded adds peer addresses that are known from the settings or from the
// platform. Addresses of known instances are ignored.
type SeedsAdded struct{ Addresses []string }

// ExchangeFailed reports that an exchange with the instance at Address failed.
type ExchangeFailed struct{ Address string }

// SelfUpdated sets the state that this instance reports about itself.
type SelfUpdated struct{ Ready, Leaving bool }

// HeadroomChanged sets the headroom that this instance reports.
type HeadroomChanged struct{ Headroom uint32 }

// PathsChanged sets whether this instance reports that it reaches no upstream.
type PathsChanged struct{ Lost bool }

func (PathsChanged) event()    {}
func (Ticked) event()          {}
func (RecordsReceived) event() {}
func (SeedsAdded) event()      {}
func (ExchangeFailed) event()  {}
func (SelfUpdated) event()     {}
func (HeadroomChanged) event() {}

// Machine is the state machine that tracks the known instances. It is not safe
// for concurrent use.
type Machine struct {
	// Self is set before the first Step.
	Self Record
	// Random is set before the first Step.
	Random *rand.Rand

	peers map[id.Instance]*peer
	// seeds holds the addresses that belong to no known instance, with the
	// number of exchanges in a row that failed there.
	seeds    map[string]int
	lastTick time.Time
	// paused is how long this process was paused before the last tick.
	paused time.Duration
	// clustered is set while most exchanges are within the failure domain.
	clustered bool
	// reportedLive holds the peers that LivenessChanges last reported as live.
	reportedLive map[id.Instance]Record
}

type peer struct {
	Record
	// lastSeen is when the sequence number last rose.
	lastSeen time.Time
	// unreachable is set by a failed exchange and cleared by a newer record.
	unreachable bool
}

// Step applies ev at now and returns the addresses of the peers with which to
// exchange messages.
func (m *Machine) Step(now time.Time, ev Event) []string {
	if m.peers == nil {
		m.peers = make(map[id.Instance]*peer)
		m.seeds = make(map[string]int)
		m.lastTick = now
	}
	switch ev := ev.(type) {
	case Ticked:
		return m.tick(now, ev)
	case RecordsReceived:
		m.merge(now, ev.From)
		for _, r := range ev.Records {
			m.merge(now, r)
		}
	case SeedsAdded:
		m.addSeeds(ev.Addresses)
	case ExchangeFailed:
		m.exchangeFailed(ev.Address)
	case SelfUpdated:
		return m.updateSelf(ev)
	case HeadroomChanged:
		m.Self.Headroom = ev.Headroom
	case PathsChanged:
		m.Self.PathsLost = ev.Lost
		m.Self.Sequence++
	}
	return nil
}

func (m *Machine) tick(now time.Time, ev Ticked) []string {
	m.adjustForPause(now)
	m.Self.Sequence++
	for instance, p := range m.peers {
		if now.Sub(p.lastSeen) > forgetAfter {
			delete(m.peers, instance)
		}
	}
	m.clustered = !ev.Uniform && m.liveNeighbours(now) >= minNeighbours
	if m.clustered {
		return m.clusteredTargets(now)
	}
	return m.targets(Fanout)
}

// adjustForPause moves lastSeen of all peers by the length of a pause of this
// process. Otherwise peers would count as silent whose records could not be
// received in that time.
func (m *Machine) adjustForPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	m.paused = 0
	if gap < pauseThreshold {
		return
	}
	m.paused = gap
	for _, p := range m.peers {
		p.lastSeen = p.lastSeen.Add(gap)
	}
}

// Paused returns how long this process was paused before the last tick, or 0 if
// the gap between the last two ticks was below pauseThreshold.
func (m *Machine) Paused() time.Duration { return m.paused }

func (m *Machine) merge(now time.Time, r Record) {
	if r.Instance == m.Self.Instance || r.Instance == "" {
		return
	}
	known, ok := m.peers[r.Instance]
	if !ok {
		m.peers[r.Instance] = &peer{Record: r, lastSeen: now}
		delete(m.seeds, r.PeerAddress)
		return
	}
	if !r.Newer(known.Record) {
		return
	}
	// An instance cannot revoke its leaving within an incarnation.
	wasLeaving := known.Leaving && known.Incarnation == r.Incarnation
	known.Record = r
	known.Leaving = known.Leaving || wasLeaving
	known.lastSeen = now
	known.unreachable = false
}

func (m *Machine) addSeeds(addresses []string) {
	for _, address := range addresses {
		if _, known := m.seeds[address]; !known && address != m.Self.PeerAddress && !m.hasPeerAt(address) {
			m.seeds[address] = 0
		}
	}
}

func (m *Machine) hasPeerAt(address string) bool {
	for _, p := range m.peers {
		if p.PeerAddress == address {
			return true
		}
	}
	return false
}

func (m *Machine) exchangeFailed(address string) {
	if failures, ok := m.seeds[address]; ok {
		m.seeds[address]++
		if failures+1 >= maxSeedFailures {
			delete(m.seeds, address)
		}
	}
	for _, p := range m.peers {
		if p.PeerAddress == address {
			p.unreachable = true
		}
	}
}

// updateSelf sets the state of Self. On a change it returns the addresses of all
// peers and seeds, so that they receive the new record at once.
func (m *Machine) updateSelf(ev SelfUpdated) []string {
	if m.Self.Ready == ev.Ready && m.Self.Leaving == ev.Leaving {
		return nil
	}
	m.Self.Ready, m.Self.Leaving = ev.Ready, ev.Leaving
	m.Self.Sequence++
	return m.targets(len(m.peers) + len(m.seeds))
}

// Live returns the records of this instance and of all live peers, ordered by
// id.
func (m *Machine) Live(now time.Time) []Record {
	live := []Record{m.Self}
	for _, p := range m.peers {
		if m.isLive(now, p) {
			live = append(live, p.Record)
		}
	}
	sortRecords(live)
	return live
}

// Entries returns the live instances that callers may use: those that are ready
// and not leaving.
func (m *Machine) Entries(now time.Time) []Record {
	return slices.DeleteFunc(m.Live(now), func(r Record) bool { return !r.Ready || r.Leaving })
}

func (m *Machine) isLive(now time.Time, p *peer) bool {
	return !p.unreachable && !m.silent(now, p)
}

// silent reports whether the sequence number of a peer has not risen for longer than that
// of a live one may.
func (m *Machine) silent(now time.Time, p *peer) bool {
	timeout := m.silenceTimeout()
	if m.clustered && p.FailureDomain != m.Self.FailureDomain {
		timeout += outsideSilence
	}
	return now.Sub(p.lastSeen) > timeout
}

// silenceTimeout is how long the sequence number of a live peer may stay the
// same. It grows by a step with each doubling of the peers, because gossip then
// takes longer to reach all of them.
func (m *Machine) silenceTimeout() time.Duration {
	return silenceTimeoutBase + time.Duration(bits.Len(uint(len(m.peers))))*silenceTimeoutStep
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
}
