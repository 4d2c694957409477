package member

import (
	"math/bits"
	"slices"
	"time"

	"samphirehead/state/id"
)

// spreadFactor times the logarithm of the members is how many messages carry
// a changed record.
const spreadFactor = 3

const (
	// syncInterval is the time between two fetches of all records; it
	// doubles up to syncIntervalBound while they bring less than a tenth of
	// what is missing.
	syncInterval      = 500 * time.Millisecond
	syncIntervalBound = time.Minute
	// syncShare is the share, as one in so many, of instances known from
	// the list only above which all records are fetched again.
	syncShare = 100
)

// announce queues a changed record.
func (m *Machine) announce(instance id.Instance) {
	if m.quiet && instance != m.Self.Instance {
		return
	}
	m.spread[instance] = spreadFactor * bits.Len(uint(len(m.names)+1))
}

// gossip returns the records for one message to an instance: Self, what that
// instance must refute, changes that have been sent least, and a few others
// in turn. There are at most MaxRecords.
func (m *Machine) gossip(to id.Instance) []Record {
	records := make([]Record, 0, MaxRecords)
	records = append(records, m.Self)
	if p, ok := m.peers[to]; ok && p.Incarnation > 0 && (p.State == Suspect || p.State == Dead) {
		records = append(records, p.sent())
	}
	for _, name := range m.pending() {
		if len(records) == MaxRecords-fillRecords {
			break
		}
		m.sentOnce(name)
		if p, ok := m.peers[name]; ok && name != to {
			records = append(records, p.sent())
		}
	}
	for range min(fillRecords, len(m.names)) {
		p := m.peers[m.names[m.Random.IntN(len(m.names))]]
		if p.Instance != to && p.Incarnation > 0 && p.State != Dead {
			records = append(records, p.sent())
		}
	}
	return records
}

// pending returns the queued changes, those sent least first.
func (m *Machine) pending() []id.Instance {
	names := make([]id.Instance, 0, len(m.spread))
	for name := range m.spread {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b id.Instance) int {
		if m.spread[a] != m.spread[b] {
			return m.spread[b] - m.spread[a]
		}
		return compareNames(a, b)
	})
	return names
}

func (m *Machine) sentOnce(name id.Instance) {
	m.spread[name]--
	if m.spread[name] <= 0 {
		delete(m.spread, name)
	}
}

// sent returns the record without what is local.
func (p *peer) sent() Record {
	r := p.Record
	r.Unreachable, r.Held = false, false
	return r
}

func (m *Machine) hear(now time.Time, ev Heard) {
	m.mergeAll(now, ev.Records)
	reply := Reply{Records: m.gossip(ev.From)}
	if ev.Sync {
		reply.Page = m.page(ev.SyncAfter)
	}
	m.effects = append(m.effects, reply)
}

// page returns the records that follow an id, at most MaxSyncRecords.
func (m *Machine) page(after id.Instance) []Record {
	start, found := slices.BinarySearch(m.names, after)
	if found {
		start++
	}
	var records []Record
	for _, name := range m.names[start:] {
		if len(records) == MaxSyncRecords {
			break
		}
		if p := m.peers[name]; p.Incarnation > 0 && p.State != Dead {
			records = append(records, p.sent())
		}
	}
	return records
}

// syncNext asks any instance for the next page of records. After the last page
// it starts again while many instances are known from the list only, as when
// all start together.
func (m *Machine) syncNext(now time.Time) {
	if m.sync.inFlight || len(m.names) == 0 || now.Before(m.sync.next) {
		return
	}
	if m.sync.done && m.onlyListed() <= len(m.names)/syncShare {
		return
	}
	p := m.peers[m.names[m.Random.IntN(len(m.names))]]
	if p.State == Dead {
		return
	}
	m.sync.inFlight = true
	m.lastNumber++
	m.probes[m.lastNumber] = probe{target: p.Instance, sync: true}
	m.effects = append(m.effects, Probe{
		Number:    m.lastNumber,
		To:        p.Instance,
		Address:   p.PeerAddress,
		Timeout:   ProbeTimeout,
		Records:   m.gossip(p.Instance),
		Sync:      true,
		SyncAfter: m.sync.after,
	})
}

func (m *Machine) synced(now time.Time, page []Record) {
	if len(page) == MaxSyncRecords {
		m.sync.after = page[len(page)-1].Instance
		return
	}
	m.sync.done, m.sync.after = true, ""
	unknown := m.onlyListed()
	m.sync.wait = min(max(2*m.sync.wait, syncInterval), syncIntervalBound)
	if unknown*10 < m.sync.unknown*9 {
		m.sync.wait = syncInterval
	}
	m.sync.unknown = unknown
	m.sync.next = now.Add(m.sync.wait)
}

func (m *Machine) onlyListed() int {
	n := 0
	for _, p := range m.peers {
		if p.Incarnation == 0 && p.State != Dead {
			n++
		}
	}
	return n
}

// mergePage takes in what others have known before, and spreads none of it.
func (m *Machine) mergePage(now time.Time, page []Record) {
	m.quiet = true
	m.mergeAll(now, page)
	m.quiet = false
}

func (m *Machine) mergeAll(now time.Time, records []Record) {
	for _, r := range records {
		m.merge(now, r)
	}
}

func (m *Machine) merge(now time.Time, r Record) {
	if r.Incarnation == 0 || !r.State.valid() {
		return
	}
	if r.Instance == m.Self.Instance {
		m.refute(r)
		return
	}
	p, known := m.peers[r.Instance]
	if !known {
		m.learn(now, r)
		return
	}
	if !r.Newer(p.Record) || p.undoesLeaving(r) {
		return
	}
	m.replace(now, p, r)
}

// learn adds an unknown instance. A dead one is not added, so that what some
// have forgotten does not come back from others.
func (m *Machine) learn(now time.Time, r Record) {
	if r.State == Dead {
		return
	}
	p := m.add(Record{Instance: r.Instance, State: Alive})
	m.replace(now, p, r)
}

func (p *peer) undoesLeaving(r Record) bool {
	return p.left && r.Incarnation == p.Incarnation && (r.State == Alive || r.State == Suspect)
}

func (m *Machine) replace(now time.Time, p *peer, r Record) {
	old := p.Record
	r.Unreachable, r.Held = old.Unreachable, old.Held
	p.Record = r
	p.left = r.State == Leaving || (p.left && r.Incarnation == old.Incarnation)
	if old.Incarnation != r.Incarnation {
		p.Unreachable = false
	}
	m.restate(now, p, old)
	if material(old, p.Record) {
		m.announce(p.Instance)
		m.changed(p)
	}
}

// restate sets the timers that belong to a new state.
func (m *Machine) restate(now time.Time, p *peer, old Record) {
	switch p.State {
	case Alive, Leaving:
		p.deadline, p.recheck = time.Time{}, time.Time{}
		p.refusals = 0
		if old.State == Dead && old.Incarnation > 0 {
			p.punish(now)
		}
	case Suspect:
		if p.deadline.IsZero() {
			p.deadline = now.Add(m.suspicion())
		}
	case Dead:
		p.deadline, p.recheck = time.Time{}, time.Time{}
		p.diedAt = now
	}
}

// material reports whether a change has to be spread at once.
func material(old, r Record) bool {
	return old.Incarnation != r.Incarnation ||
		old.State != r.State ||
		(old.Manifest > 0) != (r.Manifest > 0) ||
		old.PeerAddress != r.PeerAddress ||
		old.CallerAddress != r.CallerAddress ||
		old.Held != r.Held
}

// refute answers what others say of Self.
func (m *Machine) refute(r Record) {
	switch {
	case r.Incarnation > m.Self.Incarnation:
		m.Self.Incarnation = r.Incarnation + 1
	case r.Incarnation < m.Self.Incarnation:
		return
	case r.Sequence > m.Self.Sequence:
	case r.Sequence == m.Self.Sequence && (r.State == Suspect || r.State == Dead):
	default:
		return
	}
	m.Self.Sequence = max(m.Self.Sequence, r.Sequence) + 1
	m.announce(m.Self.Instance)
}

func (s State) valid() bool {
	return s == Alive || s == Suspect || s == Dead || s == Leaving
}
