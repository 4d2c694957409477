package membership

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
	// ProbeInterval is the mean time between two regular probes by an
	// instance. Jitter changes it by up to 10%.
	ProbeInterval = 400 * time.Millisecond
	// ProbeTimeout bounds a direct probe.
	ProbeTimeout = 400 * time.Millisecond
	// IndirectTimeout bounds a probe through a relay.
	IndirectTimeout = 700 * time.Millisecond
	// MaxRecords bounds the gossiped records of one message.
	MaxRecords = 12
	// MaxSyncRecords bounds the page of records that a reply adds for a
	// starting instance.
	MaxSyncRecords = 256

	indirectProbes = 3
	// reprobeIntervals is the number of probe intervals between two extra
	// probes of suspect or dead instances.
	reprobeIntervals = 2
	randomRecords    = 2
	// refusedRecheck is the delay until an instance that refused a connection
	// is probed again, refusedSuspicion the time until it counts as dead even
	// without a second refusal.
	refusedRecheck   = 200 * time.Millisecond
	refusedSuspicion = 600 * time.Millisecond
	// The suspicion timeout is suspicionBase and one suspicionStep for each
	// doubling of the members, as gossip then takes longer to reach all.
	suspicionBase = 600 * time.Millisecond
	suspicionStep = 300 * time.Millisecond
	// pauseThreshold is the time since the last tick from which this process
	// counts as having been paused.
	pauseThreshold = time.Second
	// forgetAfter is how long a dead instance stays known that the platform
	// does not list.
	forgetAfter = 10 * time.Minute
	// flapHalfLife is the half-life of the decaying count of returns from
	// dead.
	flapHalfLife = 30 * time.Second
	holdDownBase = time.Second
	holdDownMax  = 30 * time.Second
	// flapThreshold is the count of returns from which an instance is
	// flapping.
	flapThreshold = 1.5
)

// Machine is the state machine that tracks the known instances. It is not safe
// for concurrent use.
type Machine struct {
	// Self is set before the first Step. Its incarnation should exceed all
	// earlier ones of this instance. If the clock was set back and others know
	// a later incarnation, the machine raises it above that one.
	Self Record
	// Random is set before the first Step.
	Random *rand.Rand

	// peers holds every known instance but Self.
	peers map[id.Instance]*peer
	// sortedIDs holds the keys of peers.
	sortedIDs []id.Instance
	// probeQueue holds the instances that are still to be probed in this
	// round, the next one last.
	probeQueue []id.Instance
	// probes holds the probes in flight.
	probes     map[ProbeNumber]pendingProbe
	lastNumber ProbeNumber
	// retransmits counts, for each queued record, the messages that are still
	// to carry it.
	retransmits map[id.Instance]int
	// skipGossip is set while a sync page is merged, because its records are
	// already known to others.
	skipGossip  bool
	lastTick    time.Time
	nextProbeAt time.Time
	// intervals counts probe intervals.
	intervals int
	// lastReprobed is the instance that reprobeNext probed last.
	lastReprobed id.Instance
	sync         syncState
	effects      []Effect
}

// peer is what is known of another instance.
type peer struct {
	Record
	// listed is set if the platform's last list contains the instance.
	listed bool
	// announcedLeaving stays set for the rest of the incarnation, also when the
	// peer is dead.
	announcedLeaving bool
	// deadline is when the peer counts as dead; zero without a suspicion.
	deadline time.Time
	// recheckAt is when the peer is probed again after a refusal; zero without
	// one.
	recheckAt time.Time
	refusals  int
	diedAt    time.Time
	// flaps is the count of returns from dead as of flapsAt. It decays by
	// flapHalfLife.
	flaps         float64
	flapsAt       time.Time
	holdDownUntil time.Time
	// probesInFlight counts the direct and indirect probes of the peer.
	probesInFlight int
}

// syncState tracks how far this instance has fetched the records of all others.
type syncState struct {
	done     bool
	inFlight bool
	// cursor is the last id of the last page; empty before the first page.
	cursor   id.Instance
	nextAt   time.Time
	interval time.Duration
	// listedOnly is the number of instances that were known only from the list
	// after the last fetch.
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

// Records returns Self and all other instances, dead ones too, ordered by id.
// Instances that are known only from the platform's list are left out.
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

// KnownCount returns the number of known instances, including this one.
func (m *Machine) KnownCount() int { return len(m.sortedIDs) + 1 }

// Lookup returns the record of a known instance, which may be dead.
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

// adjustForPause discards the probes in flight and extends all suspicions by the
// length of a pause of this process. Otherwise peers would be marked dead for
// answers that this process could not receive.
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

// checkTimers applies the timers of p that have expired.
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

// suspicionTimeout is how long a suspect has to refute the suspicion.
func (m *Machine) suspicionTimeout() time.Duration {
	return suspicionBase + time.Duration(bits.Len(uint(len(m.sortedIDs))))*suspicionStep
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.Random.Float64()))
}

// recordFlap counts a return from dead. If the peer is flapping, it starts a
// hold-down period: holdDownBase, doubled for each counted return.
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

// RecoveryBound is the time after the end of all faults within which none of n
// running members counts another as dead any more: the time to reprobe all
// instances, a suspicion that was under way, and the dissemination by gossip.
func RecoveryBound(n int) time.Duration {
	reprobe := time.Duration(n) * reprobeIntervals * ProbeInterval * 11 / 10
	suspicion := suspicionBase + time.Duration(bits.Len(uint(n)))*suspicionStep
	dissemination := time.Duration(bits.Len(uint(n))) * ProbeInterval
	return reprobe + suspicion + dissemination + ProbeTimeout + IndirectTimeout
}
