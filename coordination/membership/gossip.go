package membership

import (
	"math/bits"
	"slices"
	"time"

	"samphirehead/state/id"
)

// retransmitFactor times the logarithm of the number of members is the number of
// messages that carry a changed record.
const retransmitFactor = 3

const (
	// syncInterval is the time between two fetches of all records. It doubles,
	// up to syncIntervalMax, after each fetch that brings no more than a tenth
	// of the missing records.
	syncInterval    = 500 * time.Millisecond
	syncIntervalMax = time.Minute
	// listedOnlyDivisor is the divisor of the number of instances that gives
	// how many may be known only from the platform's list before all records
	// are fetched again.
	listedOnlyDivisor = 100
)

// queueRecord queues a changed record for gossip.
func (m *Machine) queueRecord(instance id.Instance) {
	if m.skipGossip && instance != m.Self.Instance {
		return
	}
	m.retransmits[instance] = retransmitFactor * bits.Len(uint(len(m.sortedIDs)+1))
}

// gossipFor returns at most MaxRecords for a message to an instance: Self, a
// suspicion or death that the instance has to refute, the queued records that
// were sent least, and a few drawn at random.
func (m *Machine) gossipFor(to id.Instance) []Record {
	records := make([]Record, 0, MaxRecords)
	records = append(records, m.Self)
	if p, ok := m.peers[to]; ok && p.Incarnation > 0 && (p.State == Suspect || p.State == Dead) {
		records = append(records, p.withoutLocal())
	}
	for _, instance := range m.queuedRecords() {
		if len(records) == MaxRecords-randomRecords {
			break
		}
		m.countTransmit(instance)
		if p, ok := m.peers[instance]; ok && instance != to {
			records = append(records, p.withoutLocal())
		}
	}
	for range min(randomRecords, len(m.sortedIDs)) {
		p := m.peers[m.sortedIDs[m.Random.IntN(len(m.sortedIDs))]]
		if p.Instance != to && p.Incarnation > 0 && p.State != Dead {
			records = append(records, p.withoutLocal())
		}
	}
	return records
}

// queuedRecords returns the instances whose records are queued, those with the
// most retransmissions left first.
func (m *Machine) queuedRecords() []id.Instance {
	instances := make([]id.Instance, 0, len(m.retransmits))
	for instance := range m.retransmits {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b id.Instance) int {
		if m.retransmits[a] != m.retransmits[b] {
			return m.retransmits[b] - m.retransmits[a]
		}
		return compareIDs(a, b)
	})
	return instances
}

func (m *Machine) countTransmit(instance id.Instance) {
	m.retransmits[instance]--
	if m.retransmits[instance] <= 0 {
		delete(m.retransmits, instance)
	}
}

// withoutLocal returns the record without its local fields, for sending.
func (p *peer) withoutLocal() Record {
	r := p.Record
	r.Unreachable, r.Flapping = false, false
	return r
}

func (m *Machine) probeReceived(now time.Time, ev ProbeReceived) {
	m.mergeAll(now, ev.Records)
	reply := SendReply{Records: m.gossipFor(ev.From)}
	if ev.Sync {
		reply.Page = m.syncPage(ev.SyncAfter)
	}
	m.effects = append(m.effects, reply)
}

// syncPage returns at most MaxSyncRecords records, from the first id after the
// given one. Dead instances are left out.
func (m *Machine) syncPage(after id.Instance) []Record {
	start, found := slices.BinarySearch(m.sortedIDs, after)
	if found {
		start++
	}
	var records []Record
	for _, instance := range m.sortedIDs[start:] {
		if len(records) == MaxSyncRecords {
			break
		}
		if p := m.peers[instance]; p.Incarnation > 0 && p.State != Dead {
			records = append(records, p.withoutLocal())
		}
	}
	return records
}

// requestSyncPage asks a random instance for the next page of records. After the
// last page it starts again while many instances are known only from the list,
// which happens when all instances start together.
func (m *Machine) requestSyncPage(now time.Time) {
	if m.sync.inFlight || len(m.sortedIDs) == 0 || now.Before(m.sync.nextAt) {
		return
	}
	if m.sync.done && m.countListedOnly() <= len(m.sortedIDs)/listedOnlyDivisor {
		return
	}
	p := m.peers[m.sortedIDs[m.Random.IntN(len(m.sortedIDs))]]
	if p.State == Dead {
		return
	}
	m.sync.inFlight = true
	m.lastNumber++
	m.probes[m.lastNumber] = pendingProbe{target: p.Instance, sync: true}
	m.effects = append(m.effects, SendProbe{
		Number:    m.lastNumber,
		To:        p.Instance,
		Address:   p.PeerAddress,
		Timeout:   ProbeTimeout,
		Records:   m.gossipFor(p.Instance),
		Sync:      true,
		SyncAfter: m.sync.cursor,
	})
}

func (m *Machine) syncPageReceived(now time.Time, page []Record) {
	if len(page) == MaxSyncRecords {
		m.sync.cursor = page[len(page)-1].Instance
		return
	}
	m.sync.done, m.sync.cursor = true, ""
	listedOnly := m.countListedOnly()
	m.sync.interval = min(max(2*m.sync.interval, syncInterval), syncIntervalMax)
	if listedOnly*10 < m.sync.listedOnly*9 {
		m.sync.interval = syncInterval
	}
	m.sync.listedOnly = listedOnly
	m.sync.nextAt = now.Add(m.sync.interval)
}

func (m *Machine) countListedOnly() int {
	n := 0
	for _, p := range m.peers {
		if p.Incarnation == 0 && p.State != Dead {
			n++
		}
	}
	return n
}

// mergeSyncPage merges records that other instances already know, without queueing
// them for gossip.
func (m *Machine) mergeSyncPage(now time.Time, page []Record) {
	m.skipGossip = true
	m.mergeAll(now, page)
	m.skipGossip = false
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
		m.mergeUnknown(now, r)
		return
	}
	if !r.Newer(p.Record) || p.revokesLeaving(r) {
		return
	}
	m.replaceRecord(now, p, r)
}

// mergeUnknown adds an unknown instance. It ignores dead ones, so that an instance
// that has been forgotten here is not added again by gossip of others.
func (m *Machine) mergeUnknown(now time.Time, r Record) {
	if r.State == Dead {
		return
	}
	p := m.addPeer(Record{Instance: r.Instance, State: Alive})
	m.replaceRecord(now, p, r)
}

func (p *peer) revokesLeaving(r Record) bool {
	return p.announcedLeaving && r.Incarnation == p.Incarnation && (r.State == Alive || r.State == Suspect)
}

func (m *Machine) replaceRecord(now time.Time, p *peer, r Record) {
	old := p.Record
	r.Unreachable, r.Flapping = old.Unreachable, old.Flapping
	p.Record = r
	p.announcedLeaving = r.State == Leaving || (p.announcedLeaving && r.Incarnation == old.Incarnation)
	if old.Incarnation != r.Incarnation {
		p.Unreachable = false
	}
	m.stateChanged(now, p, old)
	if isSignificant(old, p.Record) {
		m.queueRecord(p.Instance)
		m.reportChange(p)
	}
}

// stateChanged sets the timers of a new state, and counts returns from dead.
func (m *Machine) stateChanged(now time.Time, p *peer, old Record) {
	switch p.State {
	case Alive, Leaving:
		p.deadline, p.recheckAt = time.Time{}, time.Time{}
		p.refusals = 0
		if old.State == Dead && old.Incarnation > 0 {
			p.recordFlap(now)
		}
	case Suspect:
		if p.deadline.IsZero() {
			p.deadline = now.Add(m.suspicionTimeout())
		}
	case Dead:
		p.deadline, p.recheckAt = time.Time{}, time.Time{}
		p.diedAt = now
	}
}

// isSignificant reports whether a change is queued for gossip and reported.
func isSignificant(old, r Record) bool {
	return old.Incarnation != r.Incarnation ||
		old.State != r.State ||
		(old.Manifest > 0) != (r.Manifest > 0) ||
		old.PeerAddress != r.PeerAddress ||
		old.CallerAddress != r.CallerAddress ||
		old.Flapping != r.Flapping
}

// refute raises the incarnation or the sequence of Self, so that its record
// replaces the record r about Self that another instance sent.
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
	m.queueRecord(m.Self.Instance)
}

func (s State) valid() bool {
	return s == Alive || s == Suspect || s == Dead || s == Leaving
}
