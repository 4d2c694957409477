package capacity

import (
	"time"

	"samphirehead/state/id"
)

const (
	// resendPause is the pause until an order without a clear answer is sent again, and
	// invalidPause the same if the platform does not take it: the holder before may have
	// ordered what is not listed yet.
	resendPause  = time.Second
	invalidPause = 5 * time.Second
	// soldOutPause is the pause until upstreams are ordered again that could not be had.
	soldOutPause = 3 * time.Second
	// reclaimMemory is how long no spot upstreams are expected of another failure domain
	// that has lost all of its own.
	reclaimMemory = 20 * time.Second
)

// Machine decides on the orders for one service in one failure domain. Its exported fields
// are set before the first Step. All instances step theirs, so that the next one that gives
// the orders knows the demand of before; only the one that holds the duty sends orders. It
// is not safe for concurrent use.
type Machine struct {
	Service       id.Service
	FailureDomain id.FailureDomain

	config  Configured
	holds   bool
	started time.Time
	counts  map[id.FailureDomain]Counts
	// ran holds the most upstreams of each kind that ran in each failure domain until the
	// demand has been watched for HoldTime, and 0 afterwards.
	ran map[id.FailureDomain]Counts
	// lost holds when other failure domains lost all their spot upstreams.
	lost   map[id.FailureDomain]time.Time
	demand Demand
	peak   peak

	orders   map[kind]placed
	inFlight bool
	// pausedUntil is when the next order may be sent, and soldOutUntil when spot upstreams
	// are asked for again.
	pausedUntil, soldOutUntil time.Time
	// steppedAt is when fewer were ordered last, and excessSince since when more than
	// enough of a kind are in force.
	steppedAt   time.Time
	excessSince map[kind]time.Time
}

// placed is an order that is in force.
type placed struct {
	count int
	at    time.Time
}

// Step applies ev at now and returns the orders that are to be sent: one at most, and the
// next one after its result.
func (m *Machine) Step(now time.Time, ev Event) []Send {
	m.init(now)
	switch ev := ev.(type) {
	case Configured:
		m.config = ev
	case Listed:
		m.list(now, ev.Counts)
	case Demanded:
		m.demand = ev.Demand
		m.peak.observe(now.Sub(m.started), needOf(ev.Demand, m.config.Upstream))
	case HoldingChanged:
		m.hold(ev.Holds)
	case Answered:
		m.answered(now, ev)
	case Ticked:
		return m.decide(now)
	}
	return nil
}

func (m *Machine) init(now time.Time) {
	if !m.started.IsZero() {
		return
	}
	m.started = now
	m.ran = make(map[id.FailureDomain]Counts)
	m.lost = make(map[id.FailureDomain]time.Time)
	m.orders = make(map[kind]placed)
	m.excessSince = make(map[kind]time.Time)
}

// list records what is listed.
func (m *Machine) list(now time.Time, counts map[id.FailureDomain]Counts) {
	for domain, before := range m.counts {
		if before.Spot > 0 && counts[domain].Spot == 0 {
			m.lost[domain] = now
		}
	}
	for domain, c := range counts {
		ran := m.ran[domain]
		m.ran[domain] = Counts{Spot: max(ran.Spot, c.Spot), Others: max(ran.Others, c.Others)}
		if c.Spot > 0 {
			delete(m.lost, domain)
		}
	}
	if now.Sub(m.started) >= HoldTime {
		for domain := range m.ran {
			m.ran[domain] = Counts{}
		}
	}
	m.counts = counts
}

// hold starts or ends giving the orders. What the holder before has ordered follows from
// the list; an order may be sent twice, as its count is absolute.
func (m *Machine) hold(holds bool) {
	if holds && !m.holds {
		clear(m.orders)
		m.inFlight = false
	}
	m.holds = holds
}

func (m *Machine) answered(now time.Time, ev Answered) {
	m.inFlight = false
	switch ev.Result {
	case Accepted:
		m.orders[kindOf(ev.Order)] = placed{count: ev.Count, at: now}
		if ev.Spot {
			m.soldOutUntil = time.Time{}
		}
	case SoldOut:
		if ev.Spot {
			m.soldOutUntil = now.Add(soldOutPause)
		} else {
			m.pausedUntil = now.Add(soldOutPause)
		}
	case Unknown:
		delete(m.orders, kindOf(ev.Order))
		m.pausedUntil = now.Add(resendPause)
	case NotSent:
		m.pausedUntil = now.Add(resendPause)
	case Invalid:
		m.pausedUntil = now.Add(invalidPause)
	}
}
