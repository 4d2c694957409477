package membership

import (
	"time"

	"samphirehead/state/id"
)

// pendingProbe is a probe in flight.
type pendingProbe struct {
	target id.Instance
	// via is the relay of an indirect probe, and empty for a direct one.
	via id.Instance
	// sync is set on a fetch of records. Its failure is not counted against
	// the target.
	sync bool
}

// probeNext probes the next instance of the queue. It refills an empty queue with
// all instances in random order, so that each is probed once a round.
func (m *Machine) probeNext() {
	for range 2 {
		for len(m.probeQueue) > 0 {
			instance := m.probeQueue[len(m.probeQueue)-1]
			m.probeQueue = m.probeQueue[:len(m.probeQueue)-1]
			if p, ok := m.peers[instance]; ok && p.State != Dead && p.probesInFlight == 0 {
				m.sendProbe(p)
				return
			}
		}
		m.probeQueue = append(m.probeQueue, m.sortedIDs...)
		m.Random.Shuffle(len(m.probeQueue), func(i, j int) { m.probeQueue[i], m.probeQueue[j] = m.probeQueue[j], m.probeQueue[i] })
	}
}

// reprobeNext probes the next suspect or dead instance in the order of ids. After
// a partition, in which each side marked the other as dead, the two sides find
// each other only through these probes.
func (m *Machine) reprobeNext() {
	var next *peer
	for _, instance := range m.sortedIDs {
		p := m.peers[instance]
		if p.probesInFlight > 0 || (p.State != Dead && p.State != Suspect) {
			continue
		}
		if instance > m.lastReprobed {
			next = p
			break
		}
		if next == nil {
			next = p
		}
	}
	if next != nil {
		m.lastReprobed = next.Instance
		m.sendProbe(next)
	}
}

func (m *Machine) probeNow(instance id.Instance) {
	p, ok := m.peers[instance]
	if !ok || p.probesInFlight > 0 || p.State == Dead {
		return
	}
	m.sendProbe(p)
}

func (m *Machine) sendProbe(p *peer) {
	p.probesInFlight++
	m.lastNumber++
	m.probes[m.lastNumber] = pendingProbe{target: p.Instance}
	m.effects = append(m.effects, SendProbe{
		Number:  m.lastNumber,
		To:      p.Instance,
		Address: p.PeerAddress,
		Timeout: ProbeTimeout,
		Records: m.gossipFor(p.Instance),
	})
}

// sendIndirectProbes asks relays to probe p, and reports whether there are any.
func (m *Machine) sendIndirectProbes(p *peer) bool {
	relays := m.pickRelays(p.Instance)
	for _, relay := range relays {
		p.probesInFlight++
		m.lastNumber++
		m.probes[m.lastNumber] = pendingProbe{target: p.Instance, via: relay.Instance}
		m.effects = append(m.effects, SendProbe{
			Number:  m.lastNumber,
			To:      relay.Instance,
			Address: relay.PeerAddress,
			Target:  p.Instance,
			Timeout: IndirectTimeout,
			Records: m.gossipFor(p.Instance),
		})
	}
	return len(relays) > 0
}

func (m *Machine) pickRelays(target id.Instance) []*peer {
	var relays []*peer
	for _, i := range m.Random.Perm(len(m.sortedIDs)) {
		p := m.peers[m.sortedIDs[i]]
		if p.Instance == target || p.Incarnation == 0 || p.State != Alive || p.Unreachable {
			continue
		}
		relays = append(relays, p)
		if len(relays) == indirectProbes {
			break
		}
	}
	return relays
}

// takeProbe removes a probe in flight and returns it with its target. It reports
// false for a probe that was discarded or whose target was forgotten.
func (m *Machine) removeProbe(number ProbeNumber) (pendingProbe, *peer, bool) {
	probe, ok := m.probes[number]
	if !ok {
		return pendingProbe{}, nil, false
	}
	delete(m.probes, number)
	if probe.sync {
		m.sync.inFlight = false
	}
	p, ok := m.peers[probe.target]
	if !ok {
		return pendingProbe{}, nil, false
	}
	if !probe.sync {
		p.probesInFlight--
	}
	return probe, p, true
}

func (m *Machine) probeAnswered(now time.Time, ev ProbeAnswered) {
	m.mergeAll(now, ev.Records)
	m.mergeSyncPage(now, ev.Page)
	probe, p, ok := m.removeProbe(ev.Number)
	switch {
	case !ok:
	case probe.sync:
		m.syncPageReceived(now, ev.Page)
	case probe.via != "":
		m.indirectProbeAnswered(now, p, ev.Reached)
	case ev.From != probe.target:
		m.directProbeFailed(now, p, Refused)
	default:
		m.directProbeAnswered(p)
	}
}

func (m *Machine) directProbeAnswered(p *peer) {
	p.refusals = 0
	p.recheckAt = time.Time{}
	if p.State == Leaving {
		p.deadline = time.Time{}
	}
	m.setUnreachable(p, false)
}

func (m *Machine) indirectProbeAnswered(now time.Time, p *peer, reached bool) {
	if reached {
		m.discardProbes(p)
		m.setUnreachable(p, true)
		return
	}
	m.indirectProbeFailed(now, p)
}

// discardProbes makes the machine ignore the results of all probes of p that are
// in flight.
func (m *Machine) discardProbes(p *peer) {
	for number, probe := range m.probes {
		if probe.target == p.Instance && !probe.sync {
			delete(m.probes, number)
		}
	}
	p.probesInFlight = 0
}

func (m *Machine) setUnreachable(p *peer, unreachable bool) {
	if p.Unreachable == unreachable {
		return
	}
	p.Unreachable = unreachable
	m.reportChange(p)
}

func (m *Machine) probeFailed(now time.Time, ev ProbeFailed) {
	probe, p, ok := m.removeProbe(ev.Number)
	switch {
	case !ok || probe.sync:
	case probe.via != "":
		m.indirectProbeFailed(now, p)
	default:
		m.directProbeFailed(now, p, ev.Evidence)
	}
}

// indirectProbeFailed counts p as failed once none of its probes is in flight.
func (m *Machine) indirectProbeFailed(now time.Time, p *peer) {
	if p.probesInFlight == 0 {
		m.peerFailed(now, p, TimedOut)
	}
}

// directProbeFailed sends indirect probes, except after a refusal: then no process
// listens, which a relay would find as well. A refusal counts like a timeout if p
// has been flapping, because the earlier ones proved wrong.
func (m *Machine) directProbeFailed(now time.Time, p *peer, evidence Evidence) {
	m.setUnreachable(p, true)
	if evidence == Refused && p.decayedFlaps(now) < flapThreshold {
		m.peerFailed(now, p, Refused)
		return
	}
	if p.State == Alive && p.Incarnation > 0 && m.sendIndirectProbes(p) {
		return
	}
	m.peerFailed(now, p, TimedOut)
}

func (m *Machine) peerFailed(now time.Time, p *peer, evidence Evidence) {
	if evidence == Refused {
		p.refusals++
	}
	switch p.State {
	case Alive:
		m.markSuspect(now, p, evidence)
	case Suspect:
		m.suspectFailed(now, p, evidence)
	case Leaving:
		m.leavingFailed(now, p, evidence)
	case Dead:
	}
}

func (m *Machine) markSuspect(now time.Time, p *peer, evidence Evidence) {
	if p.Incarnation == 0 {
		m.markDead(now, p)
		return
	}
	p.State = Suspect
	p.deadline = now.Add(m.suspicionTimeout())
	if evidence == Refused {
		p.deadline = now.Add(refusedSuspicion)
		p.recheckAt = now.Add(refusedRecheck)
	}
	m.queueRecord(p.Instance)
	m.reportChange(p)
}

func (m *Machine) suspectFailed(now time.Time, p *peer, evidence Evidence) {
	if evidence != Refused {
		return
	}
	if p.refusals > 1 {
		m.markDead(now, p)
		return
	}
	p.recheckAt = now.Add(refusedRecheck)
}

func (m *Machine) leavingFailed(now time.Time, p *peer, evidence Evidence) {
	switch {
	case evidence == Refused:
		m.markDead(now, p)
	case p.deadline.IsZero():
		p.deadline = now.Add(m.suspicionTimeout())
	}
}

func (m *Machine) markDead(now time.Time, p *peer) {
	p.State = Dead
	p.diedAt = now
	p.deadline, p.recheckAt = time.Time{}, time.Time{}
	if p.Incarnation > 0 {
		m.queueRecord(p.Instance)
		m.reportChange(p)
	}
}
