package member

import (
	"time"

	"samphirehead/state/id"
)

// probe is one probe in flight.
type probe struct {
	target id.Instance
	// via is empty for a direct probe.
	via id.Instance
	// sync is set on a fetch of records, which is no evidence about anyone.
	sync bool
}

// probeNext probes the next instance of the ring, which it refills in random
// order, so that each is probed once a round.
func (m *Machine) probeNext() {
	for range 2 {
		for len(m.ring) > 0 {
			name := m.ring[len(m.ring)-1]
			m.ring = m.ring[:len(m.ring)-1]
			if p, ok := m.peers[name]; ok && p.State != Dead && p.probing == 0 {
				m.probe(p)
				return
			}
		}
		m.ring = append(m.ring, m.names...)
		m.Random.Shuffle(len(m.ring), func(i, j int) { m.ring[i], m.ring[j] = m.ring[j], m.ring[i] })
	}
}

// probeDoubtful probes the next suspect or dead instance in the order of ids.
// It heals a partition after which each side believes the other dead.
func (m *Machine) probeDoubtful() {
	var first *peer
	for _, name := range m.names {
		p := m.peers[name]
		if p.probing > 0 || (p.State != Dead && p.State != Suspect) {
			continue
		}
		if name > m.doubtful {
			first = p
			break
		}
		if first == nil {
			first = p
		}
	}
	if first != nil {
		m.doubtful = first.Instance
		m.probe(first)
	}
}

func (m *Machine) notice(instance id.Instance) {
	p, ok := m.peers[instance]
	if !ok || p.probing > 0 || p.State == Dead {
		return
	}
	m.probe(p)
}

func (m *Machine) probe(p *peer) {
	p.probing++
	m.lastNumber++
	m.probes[m.lastNumber] = probe{target: p.Instance}
	m.effects = append(m.effects, Probe{
		Number:  m.lastNumber,
		To:      p.Instance,
		Address: p.PeerAddress,
		Timeout: ProbeTimeout,
		Records: m.gossip(p.Instance),
	})
}

// probeThrough asks others to probe p, and reports whether there are any.
func (m *Machine) probeThrough(p *peer) bool {
	helpers := m.helpers(p.Instance)
	for _, helper := range helpers {
		p.probing++
		m.lastNumber++
		m.probes[m.lastNumber] = probe{target: p.Instance, via: helper.Instance}
		m.effects = append(m.effects, Probe{
			Number:  m.lastNumber,
			To:      helper.Instance,
			Address: helper.PeerAddress,
			Target:  p.Instance,
			Timeout: IndirectTimeout,
			Records: m.gossip(p.Instance),
		})
	}
	return len(helpers) > 0
}

func (m *Machine) helpers(target id.Instance) []*peer {
	var helpers []*peer
	for _, i := range m.Random.Perm(len(m.names)) {
		p := m.peers[m.names[i]]
		if p.Instance == target || p.Incarnation == 0 || p.State != Alive || p.Unreachable {
			continue
		}
		helpers = append(helpers, p)
		if len(helpers) == indirectProbes {
			break
		}
	}
	return helpers
}

// take removes a probe that is in flight. It reports false for one that a
// pause made void or whose target is forgotten.
func (m *Machine) take(number ProbeNumber) (probe, *peer, bool) {
	pr, ok := m.probes[number]
	if !ok {
		return probe{}, nil, false
	}
	delete(m.probes, number)
	if pr.sync {
		m.sync.inFlight = false
	}
	p, ok := m.peers[pr.target]
	if !ok {
		return probe{}, nil, false
	}
	if !pr.sync {
		p.probing--
	}
	return pr, p, true
}

func (m *Machine) answered(now time.Time, ev ProbeAnswered) {
	m.mergeAll(now, ev.Records)
	m.mergePage(now, ev.Page)
	pr, p, ok := m.take(ev.Number)
	switch {
	case !ok:
	case pr.sync:
		m.synced(now, ev.Page)
	case pr.via != "":
		m.answeredThrough(now, p, ev.Reached)
	case ev.From != pr.target:
		m.fail(now, p, Refused)
	default:
		m.reached(p)
	}
}

func (m *Machine) reached(p *peer) {
	p.refusals = 0
	p.recheck = time.Time{}
	if p.State == Leaving {
		p.deadline = time.Time{}
	}
	m.setUnreachable(p, false)
}

func (m *Machine) answeredThrough(now time.Time, p *peer, reached bool) {
	if reached {
		m.voidProbes(p)
		m.setUnreachable(p, true)
		return
	}
	m.failedThrough(now, p)
}

// voidProbes ignores what is still to come of the open probes of p.
func (m *Machine) voidProbes(p *peer) {
	for number, pr := range m.probes {
		if pr.target == p.Instance && !pr.sync {
			delete(m.probes, number)
		}
	}
	p.probing = 0
}

func (m *Machine) setUnreachable(p *peer, unreachable bool) {
	if p.Unreachable == unreachable {
		return
	}
	p.Unreachable = unreachable
	m.changed(p)
}

func (m *Machine) failed(now time.Time, ev ProbeFailed) {
	pr, p, ok := m.take(ev.Number)
	switch {
	case !ok || pr.sync:
	case pr.via != "":
		m.failedThrough(now, p)
	default:
		m.fail(now, p, ev.Evidence)
	}
}

// failedThrough doubts p when the last of its indirect probes has failed.
func (m *Machine) failedThrough(now time.Time, p *peer) {
	if p.probing == 0 {
		m.doubt(now, p, TimedOut)
	}
}

// fail handles a direct probe that failed. A refusal says that no process
// listens, so nobody else is asked, unless earlier refusals proved wrong.
func (m *Machine) fail(now time.Time, p *peer, evidence Evidence) {
	m.setUnreachable(p, true)
	if evidence == Refused && p.decayed(now) < steadyPenalty {
		m.doubt(now, p, Refused)
		return
	}
	if p.State == Alive && p.Incarnation > 0 && m.probeThrough(p) {
		return
	}
	m.doubt(now, p, TimedOut)
}

func (m *Machine) doubt(now time.Time, p *peer, evidence Evidence) {
	if evidence == Refused {
		p.refusals++
	}
	switch p.State {
	case Alive:
		m.suspect(now, p, evidence)
	case Suspect:
		m.doubtSuspect(now, p, evidence)
	case Leaving:
		m.doubtLeaving(now, p, evidence)
	case Dead:
	}
}

func (m *Machine) suspect(now time.Time, p *peer, evidence Evidence) {
	if p.Incarnation == 0 {
		m.kill(now, p)
		return
	}
	p.State = Suspect
	p.deadline = now.Add(m.suspicion())
	if evidence == Refused {
		p.deadline = now.Add(refusedSuspicion)
		p.recheck = now.Add(refusedRecheck)
	}
	m.announce(p.Instance)
	m.changed(p)
}

func (m *Machine) doubtSuspect(now time.Time, p *peer, evidence Evidence) {
	if evidence != Refused {
		return
	}
	if p.refusals > 1 {
		m.kill(now, p)
		return
	}
	p.recheck = now.Add(refusedRecheck)
}

func (m *Machine) doubtLeaving(now time.Time, p *peer, evidence Evidence) {
	switch {
	case evidence == Refused:
		m.kill(now, p)
	case p.deadline.IsZero():
		p.deadline = now.Add(m.suspicion())
	}
}

func (m *Machine) kill(now time.Time, p *peer) {
	p.State = Dead
	p.diedAt = now
	p.deadline, p.recheck = time.Time{}, time.Time{}
	if p.Incarnation > 0 {
		m.announce(p.Instance)
		m.changed(p)
	}
}
