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
	Period = 400 * time.Millisecond
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
	doubtfulTurns = 2
	fillRecords   = 2
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
	pauseGap = time.Second
	// forgetAfter is how long the dead stay known that the platform no
	// longer lists.
	forgetAfter = 10 * time.Minute
	// penaltyHalfLife is the half-life of the count of returns from dead.
	penaltyHalfLife = 30 * time.Second
	holdBase        = time.Second
	holdBound       = 30 * time.Second
	// steadyPenalty is the count below which an instance is not flapping.
	steadyPenalty = 1.5
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
	peers map[id.Instance]*peer
	names []id.Instance
	// ring holds the instances that are still to be probed in this round.
	ring []id.Instance
	// probes holds those in flight.
	probes     map[ProbeNumber]probe
	lastNumber ProbeNumber
	// spread counts the messages that are still to carry a changed record.
	spread map[id.Instance]int
	// quiet is set while records are taken in that are no news to others.
	quiet    bool
	lastTick time.Time
	nextTurn time.Time
	turn     int
	// doubtful is the last suspect or dead instance that was probed again.
	doubtful id.Instance
	sync     syncState
	effects  []Effect
}

// peer is what is known of another instance.
type peer struct {
	Record
	listed bool
	// left stays set for the rest of the incarnation.
	left bool
	// deadline is when the peer counts as dead; zero when not in doubt.
	deadline time.Time
	// recheck is when a refusal is checked again; zero when none.
	recheck  time.Time
	refusals int
	diedAt   time.Time
	// penalty counts returns from dead, decaying since penaltyAt.
	penalty   float64
	penaltyAt time.Time
	heldUntil time.Time
	// probing counts probes in flight about the peer, direct and indirect.
	probing int
}

// syncState tracks how far a starting instance has fetched all records.
type syncState struct {
	done     bool
	inFlight bool
	after    id.Instance
	next     time.Time
	wait     time.Duration
	// unknown counts the instances that were only listed after the last
	// fetch.
	unknown int
}

// Step applies ev at now and returns the effects to carry out, in order.
func (m *Machine) Step(now time.Time, ev Event) []Effect {
	m.init(now)
	m.effects = nil
	m.absorbPause(now)
	switch ev := ev.(type) {
	case Ticked:
		m.tick(now)
	case Listed:
		m.list(now, ev.Members)
	case Heard:
		m.hear(now, ev)
	case ProbeAnswered:
		m.answered(now, ev)
	case ProbeFailed:
		m.failed(now, ev)
	case Noticed:
		m.notice(ev.Instance)
	case Updated:
		m.update(ev)
	case Learned:
		m.mergeAll(now, ev.Records)
	case Left:
		m.leave()
	}
	return m.effects
}

// Records returns Self and all instances, dead ones too, that have been heard
// of from instances rather than from the list only, ordered by id.
func (m *Machine) Records() []Record {
	records := make([]Record, 0, len(m.names)+1)
	records = append(records, m.Self)
	for _, name := range m.names {
		if p := m.peers[name]; p.Incarnation > 0 {
			records = append(records, p.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return compareNames(a.Instance, b.Instance) })
	return records
}

// Known returns the number of known instances, this one included.
func (m *Machine) Known() int { return len(m.names) + 1 }

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
	m.probes = map[ProbeNumber]probe{}
	m.spread = map[id.Instance]int{}
	m.lastTick, m.nextTurn = now, now
	m.announce(m.Self.Instance)
}

func (m *Machine) tick(now time.Time) {
	m.lastTick = now
	for _, name := range slices.Clone(m.names) {
		m.age(now, m.peers[name])
	}
	m.syncNext(now)
	if now.Before(m.nextTurn) {
		return
	}
	m.nextTurn = now.Add(m.jitter(Period))
	m.turn++
	m.probeNext()
	if m.turn%doubtfulTurns == 0 {
		m.probeDoubtful()
	}
}

// absorbPause keeps a process that was paused from blaming the others: probes
// in flight are void, and suspicions get the lost time back.
func (m *Machine) absorbPause(now time.Time) {
	gap := now.Sub(m.lastTick)
	if gap < pauseGap {
		return
	}
	m.lastTick = now
	m.probes = map[ProbeNumber]probe{}
	m.sync.inFlight = false
	for _, p := range m.peers {
		p.probing = 0
		if !p.deadline.IsZero() {
			p.deadline = p.deadline.Add(gap)
		}
	}
}

// age applies the timeouts of one peer.
func (m *Machine) age(now time.Time, p *peer) {
	if !p.deadline.IsZero() && !now.Before(p.deadline) {
		m.kill(now, p)
	}
	if !p.recheck.IsZero() && !now.Before(p.recheck) {
		p.recheck = time.Time{}
		m.probe(p)
	}
	if p.Held && !now.Before(p.heldUntil) {
		p.Held = false
		m.changed(p)
	}
	if p.State == Dead && !p.listed && now.Sub(p.diedAt) >= forgetAfter {
		m.forget(p)
	}
}

func (m *Machine) forget(p *peer) {
	delete(m.peers, p.Instance)
	delete(m.spread, p.Instance)
	if i, found := slices.BinarySearch(m.names, p.Instance); found {
		m.names = slices.Delete(m.names, i, i+1)
	}
	m.effects = append(m.effects, Forgotten{Instance: p.Instance})
}

func (m *Machine) add(r Record) *peer {
	p := &peer{Record: r}
	m.peers[r.Instance] = p
	if i, found := slices.BinarySearch(m.names, r.Instance); !found {
		m.names = slices.Insert(m.names, i, r.Instance)
	}
	m.ring = append(m.ring, r.Instance)
	return p
}

func (m *Machine) list(now time.Time, members []Record) {
	for _, p := range m.peers {
		p.listed = false
	}
	for _, r := range members {
		if r.Instance == m.Self.Instance {
			continue
		}
		p, known := m.peers[r.Instance]
		if !known {
			p = m.add(Record{Instance: r.Instance, State: Alive})
		}
		p.listed = true
		if p.Incarnation == 0 || p.State == Dead {
			p.FailureDomain, p.Region = r.FailureDomain, r.Region
			p.CallerAddress, p.PeerAddress = r.CallerAddress, r.PeerAddress
		}
	}
	m.tick(now)
}

func (m *Machine) update(ev Updated) {
	ready := (ev.Manifest > 0) != (m.Self.Manifest > 0)
	if ev.Manifest == m.Self.Manifest && ev.Headroom == m.Self.Headroom {
		return
	}
	m.Self.Manifest, m.Self.Headroom = ev.Manifest, ev.Headroom
	m.Self.Sequence++
	if ready {
		m.announce(m.Self.Instance)
		m.effects = append(m.effects, Changed{Record: m.Self})
	}
}

func (m *Machine) leave() {
	if m.Self.State == Leaving {
		return
	}
	m.Self.State = Leaving
	m.Self.Sequence++
	m.announce(m.Self.Instance)
	m.effects = append(m.effects, Changed{Record: m.Self})
}

func (m *Machine) changed(p *peer) {
	m.effects = append(m.effects, Changed{Record: p.Record})
}

// suspicion is the time that a suspect has to refute.
func (m *Machine) suspicion() time.Duration {
	return suspicionBase + time.Duration(bits.Len(uint(len(m.names))))*suspicionStep
}

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*m.Random.Float64()))
}

// punish counts a return from dead, and holds a peer back that flaps.
func (p *peer) punish(now time.Time) {
	p.penalty = p.decayed(now) + 1
	p.penaltyAt = now
	if p.penalty < steadyPenalty {
		return
	}
	hold := min(time.Duration(float64(holdBase)*math.Exp2(p.penalty)), holdBound)
	p.heldUntil = now.Add(hold)
	p.Held = true
}

func (p *peer) decayed(now time.Time) float64 {
	age := now.Sub(p.penaltyAt).Seconds()
	return p.penalty * math.Exp2(-age/penaltyHalfLife.Seconds())
}

func compareNames(a, b id.Instance) int {
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
func HealBound(n int) time.Duration {
	round := time.Duration(n) * doubtfulTurns * Period * 11 / 10
	suspicion := suspicionBase + time.Duration(bits.Len(uint(n)))*suspicionStep
	spread := time.Duration(bits.Len(uint(n))) * Period
	return round + suspicion + spread + ProbeTimeout + IndirectTimeout
}
