// Package pulse decides which instances are live, from the states that they
// exchange. Each instance raises a sequence number; one whose number has not
// risen for a while is not named to callers. Messages have a bounded size.
package pulse

import (
	"maps"
	"math/bits"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"samphirehead/state/id"
)

const (
	// Interval is the time between two exchanges.
	Interval = 200 * time.Millisecond
	// Fanout is the number of instances asked in one exchange.
	Fanout = 3
	// MaxRecords bounds the records of one message, beside the sender's.
	MaxRecords = 16

	silenceTimeoutBase = time.Second
	silenceTimeoutStep = 100 * time.Millisecond
	// forgetAfter is how long a silent instance stays known.
	forgetAfter = 10 * time.Minute
	// namedLimit is the number of failed exchanges in a row after which an
	// address that no known instance has is given up.
	maxSeedFailures = 30
	// pauseGap is the time between two ticks from which this process counts
	// as having been paused.
	pauseThreshold = time.Second
)

// Record is what an instance says of itself.
type Record struct {
	Instance      id.Instance
	Incarnation   id.Incarnation
	Sequence      uint64
	FailureDomain id.FailureDomain
	CallerAddress string
	PeerAddress   string
	// Ready instances have a routing table.
	Ready   bool
	Leaving bool
}

// Newer reports whether r replaces old.
func (r Record) Newer(old Record) bool {
	if r.Incarnation != old.Incarnation {
		return r.Incarnation > old.Incarnation
	}
	return r.Sequence > old.Sequence
}

// Event is one input of the machine.
type Event interface{ event() }

// Ticked passes time; it is due every Interval and asks for exchanges.
type Ticked struct{}

// Heard brings records from another instance.
type RecordsReceived struct {
	// From is the sender's own record.
	From    Record
	Records []Record
}

// Named brings addresses of instances that are known from elsewhere.
type SeedsAdded struct{ Addresses []string }

// Unreached reports that an exchange with the instance at Address failed.
type ExchangeFailed struct{ Address string }

// Updated sets what the instance says of itself.
type SelfUpdated struct{ Ready, Leaving bool }

func (Ticked) event()          {}
func (RecordsReceived) event() {}
func (SeedsAdded) event()      {}
func (ExchangeFailed) event()  {}
func (SelfUpdated) event()     {}

// Machine holds the known instances. It is not safe for concurrent use.
type Machine struct {
	// Self is set before the first Step.
	Self Record
	// Random is set before the first Step.
	Random *rand.Rand

	peers map[id.Instance]*peer
	// named holds addresses that no known instance has, with the number of
	// exchanges in a row that failed there.
	seeds    map[string]int
	lastTick time.Time
	// paused is how long this process did not run before the last tick.
	paused time.Duration
	// told holds the instances that Changes last called live.
	reportedLive map[id.Instance]Record
}

type peer struct {
	Record
	// heard is when the sequence last rose.
	lastSeen time.Time
	// unreached is set from a failed exchange to the next sign of life.
	unreachable bool
}

// Step applies ev at now and returns the addresses with which to exchange
// states.
func (m *Machine) Step(now time.Time, ev Event) []string {
	if m.peers == nil {
		m.peers = make(map[id.Instance]*peer)
		m.seeds = make(map[string]int)
		m.lastTick = now
	}
	switch ev := ev.(type) {
	case Ticked:
		return m.tick(now)
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
	}
	return nil
}

func (m *Machine) tick(now time.Time) []string {
	m.adjustForPause(now)
	m.Self.Sequence++
	for instance, p := range m.peers {
		if now.Sub(p.lastSeen) > forgetAfter {
			delete(m.peers, instance)
		}
	}
	return m.targets(Fanout)
}

// absorbPause keeps a process that was paused from blaming the others.
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

// Paused returns how long this process did not run before the last tick; 0 where
// that was not longer than usual.
func (m *Machine) Paused() time.Duration { return m.paused }

// targets draws addresses of instances, and of places where one may be.
func (m *Machine) targets(limit int) []string {
	addresses := slices.Collect(maps.Keys(m.seeds))
	for _, p := range m.peers {
		addresses = append(addresses, p.PeerAddress)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	m.Random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	return addresses[:min(limit, len(addresses))]
}

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

// update returns all addresses where others must hear of the change at once.
func (m *Machine) updateSelf(ev SelfUpdated) []string {
	if m.Self.Ready == ev.Ready && m.Self.Leaving == ev.Leaving {
		return nil
	}
	m.Self.Ready, m.Self.Leaving = ev.Ready, ev.Leaving
	m.Self.Sequence++
	return m.targets(len(m.peers) + len(m.seeds))
}

// Live returns the records of this instance and of all others that are not
// silent, ordered by id.
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

// Entries returns the instances to which callers may be sent.
func (m *Machine) Entries(now time.Time) []Record {
	return slices.DeleteFunc(m.Live(now), func(r Record) bool { return !r.Ready || r.Leaving })
}

func (m *Machine) isLive(now time.Time, p *peer) bool {
	return !p.unreachable && now.Sub(p.lastSeen) <= m.silenceTimeout()
}

// silence is how long an instance may go unheard: news take longer to go round
// among many.
func (m *Machine) silenceTimeout() time.Duration {
	return silenceTimeoutBase + time.Duration(bits.Len(uint(len(m.peers))))*silenceTimeoutStep
}

// Message returns the records for one message: this instance's and a bounded
// draw of the others that are live.
func (m *Machine) Message(now time.Time) (Record, []Record) {
	var others []Record
	for _, p := range m.peers {
		if now.Sub(p.lastSeen) <= m.silenceTimeout() {
			others = append(others, p.Record)
		}
	}
	sortRecords(others)
	m.Random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return m.Self, others[:min(MaxRecords, len(others))]
}

func sortRecords(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return strings.Compare(string(a.Instance), string(b.Instance))
	})
}
