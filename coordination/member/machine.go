package member

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// TickInterval is the time between two Ticked events.
	TickInterval = 100 * time.Millisecond
	// Period is the time between two probes of one instance.
	ProbeInterval = 400 * time.Millisecond
	// ProbeTimeout bounds a direct probe.
	ProbeTimeout = 400 * time.Millisecond
	// IndirectTimeout bounds a probe through another instance.
	IndirectTimeout = 700 * time.Millisecond
	// MaxRecords bounds the records of one message.
	MaxRecords = 12
	// MaxSyncRecords bounds the records that a reply adds for an instance
	// that starts.
	MaxSyncRecords = 256

	indirectProbes = 3
	// doubtfulTurns is the number of periods between two probes of suspect
	// or dead instances.
	reprobeIntervals = 2
	randomRecords    = 2
	// refusedRecheck is the wait before a refusal is checked again, and
	// refusedSuspicion the wait before the instance counts as dead anyway.
	refusedRecheck   = 200 * time.Millisecond
	refusedSuspicion = 600 * time.Millisecond
	// suspicionBase and suspicionStep make the suspicion timeout: a step for
	// each doubling of the members, as gossip takes longer to go round.
	suspicionBase = 600 * time.Millisecond
	suspicionStep = 300 * time.Millisecond
	// pauseGap is the time between two ticks from which this process counts
	// as having been paused.
	pauseThreshold = time.Second
	// forgetAfter is how long the dead stay known that the platform no
	// longer lists.
	forgetAfter = 10 * time.Minute
	// penaltyHalfLife is the half-life of the count of returns from dead.
	flapHalfLife = 30 * time.Second
	holdDownBase = time.Second
	holdDownMax  = 30 * time.Second
	// steadyPenalty is the count below which an instance is not flapping.
	flapThreshold = 1.5
)

// Machine decides which instances are live. It is not safe for concurrent use.
type Machine struct {
	// Self is set before the first Step, with an incarnation above that of
	// any earlier life where the clock allows it. The machine raises it when
	// it meets traces of a later one.
	Self Record
	// Random is set before the first Step.
	Random *rand.Rand

	// peers holds every known instance but Self; names orders them.
	peers     map[id.Instance]*peer
	sortedIDs []id.Instance
	// ring holds the instances that are still to be probed in this round.
	probeQueue []id.Instance
	// probes holds those in flight.
	probes     map[ProbeNumber]pendingProbe
	lastNumber ProbeNumber
	// spread counts the messages that are still to carry a changed record.
	retransmits map[id.Instance]int
	// quiet is set while records are taken in that are no news to others.
	skipGossip  bool
	lastTick    time.Time
	nextProbeAt time.Time
	intervals   int
	// doubtful is the last suspect or dead instance that was probed again.
	lastReprobed id.Instance
	sync         syncState
	effects      []Effect
}

// peer is what is known of another instance.
type peer struct {
	Record
	listed bool
	// left stays set for the rest of the incarnation.
	announcedLeaving bool
	// deadline is when the peer counts as dead; zero when not in doubt.
	deadline time.Time
	// recheck is when a refusal is checked again; zero when none.
	recheckAt time.Time
	refusals  int
	diedAt    time.Time
	// penalty counts returns from dead, decaying since penaltyAt.
	flaps         float64
	flapsAt       time.Time
	holdDownUntil time.Time
	// probing counts probes in flight about the peer, direct and indirect.
	probesInFlight int
}

// syncState tracks how far a starting instance has fetched all records.
type syncState struct {
	done     bool
	inFlight bool
	cursor   id.Instance
	next     time.Time
	interval time.Duration
	// unknown counts the instances that were only listed after the last
	// fetch.
	listedOnly int
}

// Step applies ev at now and returns the effects to carry out, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.init(now)
	m.effects = nil
	m.adjustForPause(now)
	switch ev := ev.(type) {
	case Ticked:
		m.tick(now)
	case InstancesListed:
		m.updateListed(now, ev.Members)
	case ProbeReceived:
		m.probeReceived(now, ev)
	case ProbeAnswered:
		m.probeAnswered(now, ev)
	case ProbeFailed:
		m.probeFailed(now, ev)
	case ProbeRequested:
		m.probeNow(ev.Instance)
	case SelfUpdated:
		m.updateSelf(ev)
	case RecordsReceived:
		m.mergeAll(now, ev.Records)
	case LeaveRequested:
		m.leave()
	}
	return m.effects
}

// Records returns Self and all instances, dead ones too, that have been heard
// of from instances rather than from the list only, ordered by id.
func (m *Machine) Records() []Record {
	records := make([]Record, 0, len(m.sortedIDs)+1)
	records = append(records, m.Self)
	for _, instance := range m.sortedIDs {
		if p := m.peers[instance]; p.Incarnation > 0 {
			records = append(records, p.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return compareIDs(a.Instance, b.Instance) })
	return records
}

// Known returns the number of known instances, this one included.
func (m *Machine) KnownCount() int { return len(m.sortedIDs) + 1 }

// Lookup returns what is known of an instance, dead or not.
func (m *Machine) Lookup(instance id.Instance) (Record, bool) {
	if instance == m.Self.Instance {
		return m.Self, true
	}
	if p, ok := m.peers[instance]; ok {
		return p.Record, true
	}
	return Record{}, false
}

func (m *Machine) init(now time.Time) {
	if m.peers != nil {
		return
	}
	m.peers = map[id.Instance]*peer{}
	m.probes = map[ProbeNumber]pendingProbe{}
	m.retransmits = map[id.Instance]int{}
	m.lastTick, m.nextProbeAt = now, now
	m.queueRecord(m.Self.Instance)
}

func (m *Machine) tick(now time.Time) {
	m.lastTick = now
	for _, instance := range slices.Clone(m.sortedIDs) {
		m.checkTimers(now, m.peers[instance])
	}
	m.requestSyncPage(now)
	if now.Before(m.nextProbeAt) {
		return
	}
	m.nextProbeAt = now.Add(m.jitter(ProbeInterval))
	m.intervals++
	m.probeNext()
	if m.intervals%reprobeIntervals == 0 {
		m.reprobeNext()
	}
}

// absorbPause keeps a process that was paused from blaming the others: probes
// in flight are void, and suspicions get the lost time back.
func (m *Machine) adjustForPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < pauseThreshold {
		return
	}
	m.lastTick = now
	m.probes = map[ProbeNumber]pendingProbe{}
	m.sync.inFlight = false
	for _, p := range m.peers {
		p.probesInFlight = 0
		if !p.deadline.IsZero() {
			p.deadline = p.deadline.Add(gap)
		}
	}
}

// age applies the timeouts of one peer.
func (m *Machine) checkTimers(now time.Time, p *peer) {
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		m.markDead(now, p)
	}
	if !p.recheckAt.IsZero() && !now.Before(p.recheckAt) {
		p.recheckAt = time.Time{}
		m.sendProbe(p)
	}
	if p.Flapping && !now.Before(p.holdDownUntil) {
		p.Flapping = false
		m.reportChange(p)
	}
	if p.State == Dead && !p.listed && now.Sub(p.diedAt) >= forgetAfter {
		m.forget(p)
	}
}

func (m *Machine) forget(p *peer) {
	delete(m.peers, p.Instance)
	delete(m.retransmits, p.Instance)
	if i, found := slices.BinarySearch(m.sortedIDs, p.Instance); found {
		m.sortedIDs = slices.Delete(m.sortedIDs, i, i+1)
	}
	m.effects = append(m.effects, InstanceForgotten{Instance: p.Instance})
}

func (m *Machine) addPeer(r Record) *peer {
	p := &peer{Record: r}
	m.peers[r.Instance] = p
	if i, found := slices.BinarySearch(m.sortedIDs, r.Instance); !found {
		m.sortedIDs = slices.Insert(m.sortedIDs, i, r.Instance)
	}
	m.probeQueue = append(m.probeQueue, r.Instance)
	return p
}

func (m *Machine) updateListed(now time.Time, members []Record) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, r := range members {
		if r.Instance == m.Self.Instance {
			continue
		}
		p, known := m.peers[r.Instance]
		if !known {
			p = m.addPeer(Record{Instance: r.Instance, State: Alive})
		}
		p.listed = true
		if p.Incarnation == 0 || p.State == Dead {
			p.FailureDomain, p.Region = r.FailureDomain, r.Region
			p.CallerAddress, p.PeerAddress = r.CallerAddress, r.PeerAddress
		}
	}
	m.tick(now)
}

func (m *Machine) updateSelf(ev SelfUpdated) {
	readinessChanged := (ev.Manifest > 0) != (m.Self.Manifest > 0)
	if ev.Manifest == m.Self.Manifest && ev.Headroom == m.Self.Headroom {
		return
	}
	m.Self.Manifest, m.Self.Headroom = ev.Manifest, ev.Headroom
	m.Self.Sequence++
	if readinessChanged {
		m.queueRecord(m.Self.Instance)
		m.effects = append(m.effects, RecordChanged{Record: m.Self})
	}
}

func (m *Machine) leave() {
	if m.Self.State == Leaving {
		return
	}
	m.Self.State = Leaving
	m.Self.Sequence++
	m.queueRecord(m.Self.Instance)
	m.effects = append(m.effects, RecordChanged{Record: m.Self})
}

func (m *Machine) reportChange(p *peer) {
	m.effects = append(m.effects, RecordChanged{Record: p.Record})
}

// suspicion is the time that a suspect has to refute.
func (m *Machine) suspicionTimeout() time.Duration {
	return suspicionBase + time.Duration(bits.Len(uint(len(m.sortedIDs))))*suspicionStep
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.Random.Float64()))
}

// punish counts a return from dead, and holds a peer back that flaps.
func (p *peer) recordFlap(now time.Time) {
	p.flaps = p.decayedFlaps(now) + 1
	p.flapsAt = now
	if p.flaps < flapThreshold {
		return
	}
	holdDown := min(time.Duration(float64(holdDownBase)*math.Exp2(p.flaps)), holdDownMax)
	p.holdDownUntil = now.Add(holdDown)
	p.Flapping = true
}

func (p *peer) decayedFlaps(now time.Time) float64 {
	age := now.Sub(p.flapsAt).Seconds()
	return p.flaps * math.Exp2(-age/flapHalfLife.Seconds())
}

func compareIDs(a, b id.Instance) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// HealBound is the time after the end of losses, pauses and crashes within
// which none of n running members counts another as dead: a round over the
// doubtful instances, a suspicion that was under way, and the spread.
func RecoveryBound(n int) time.Duration {
	reprobe := time.Duration(n) * reprobeIntervals * ProbeInterval * 11 / 10
	suspicion := suspicionBase + time.Duration(bits.Len(uint(n)))*suspicionStep
	dissemination := time.Duration(bits.Len(uint(n))) * ProbeInterval
	return reprobe + suspicion + dissemination + ProbeTimeout + IndirectTimeout
}
