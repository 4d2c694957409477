package capacity

import (
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// bootMargin is how much longer than the boot time new upstreams may take until they
	// are listed.
	bootMargin = 2 * time.Second
	// settleTime is how long upstreams are kept that are not needed any more.
	settleTime = 15 * time.Second
	// stepPause is the pause between two steps down, and 1/stepDivisor of the upstreams of
	// a domain go in one: the others take up their work, and read the prompts that they had.
	stepPause   = 2 * time.Second
	stepDivisor = 8
	// A change of less than 1/changeDivisor is not ordered.
	changeDivisor = 10
)

// decide returns the next order: more before fewer, spot upstreams before others.
func (m *Machine) decide(now time.Time) []Send {
	if !m.holds || m.inFlight || now.Before(m.pausedUntil) || m.config.Bounds.Max == 0 || len(m.counts) == 0 {
		return nil
	}
	wanted := m.wanted(now)
	for _, k := range []kind{spot, others} {
		if k == spot && now.Before(m.soldOutUntil) {
			continue
		}
		count := min(wanted.of(k), m.config.Bounds.Max-m.inForce(k.other()))
		if count >= m.inForce(k)+m.smallestChange(k) || m.overdue(now, k) {
			return m.send(k, max(count, m.inForce(k)))
		}
	}
	return m.decideFewer(now, wanted)
}

func (m *Machine) decideFewer(now time.Time, wanted Counts) []Send {
	for _, k := range []kind{others, spot} {
		if wanted.of(k) > m.inForce(k)-m.smallestChange(k)-m.slack() {
			delete(m.excessSince, k)
			continue
		}
		if _, known := m.excessSince[k]; !known {
			m.excessSince[k] = now
		}
		settled := now.Sub(m.excessSince[k]) >= settleTime && now.Sub(m.steppedAt) >= stepPause
		if !settled && !m.demand.idle() {
			continue
		}
		m.steppedAt = now
		return m.send(k, max(wanted.of(k), m.inForce(k)-m.largestStep()))
	}
	return nil
}

// smallestChange returns the smallest change that is ordered. A fixed count is kept exactly.
func (m *Machine) smallestChange(k kind) int {
	if m.config.Bounds.Min == m.config.Bounds.Max {
		return 1
	}
	return max(m.inForce(k)/changeDivisor, 1)
}

// slack returns how many upstreams too many are kept, as the demand varies.
func (m *Machine) slack() int {
	if m.demand.idle() || m.config.Bounds.Min == m.config.Bounds.Max {
		return 0
	}
	return 1
}

// largestStep returns how many upstreams may be given up at a time. While nothing runs,
// nobody notices.
func (m *Machine) largestStep() int {
	if m.demand.idle() {
		return m.config.Bounds.Max
	}
	return max(m.here().total()/stepDivisor, 1)
}

// overdue reports whether upstreams that were ordered are not listed, though they had the
// time.
func (m *Machine) overdue(now time.Time, k kind) bool {
	order, known := m.orders[k]
	return known && m.here().of(k) < order.count && now.Sub(order.at) > m.config.BootTime+bootMargin
}

func (m *Machine) send(k kind, count int) []Send {
	m.inFlight = true
	if count > m.inForce(k) {
		delete(m.excessSince, k)
	}
	needed := needOf(m.demand, m.config.Upstream)
	return []Send{{
		Order: Order{Service: m.Service, FailureDomain: m.FailureDomain, Count: count, Spot: k == spot},
		Reason: Reason{
			Cause: needed.cause, Needed: needed.upstreams, Kept: m.peak.highest().upstreams,
			Before: m.inForce(k), Listed: m.here().of(k),
		},
	}}
}

// inForce returns how many upstreams of a kind were ordered here last, as far as known, or
// are listed.
func (m *Machine) inForce(k kind) int {
	if order, known := m.orders[k]; known {
		return order.count
	}
	return m.here().of(k)
}

func (m *Machine) here() Counts { return m.counts[m.FailureDomain] }

// wanted returns how many upstreams of each kind are wanted here.
func (m *Machine) wanted(now time.Time) Counts {
	wanted := m.market(now).plan()[m.FailureDomain]
	// The others stay until spot upstreams serve in their place.
	staying := min(m.inForce(others), wanted.total()-m.here().Spot)
	wanted.Others = min(max(wanted.Others+m.missing(now), staying), m.config.Bounds.Max)
	return wanted
}

// market returns what the plan goes by.
func (m *Machine) market(now time.Time) market {
	plan := market{
		kept: m.peak.highest().upstreams, grown: max(m.peak.grown(), m.ranBefore()),
		bounds: m.config.Bounds, prices: m.config.Prices, domains: m.domains(),
	}
	if !m.config.Spot {
		return plan
	}
	for _, domain := range plan.domains {
		lostAt, lost := m.lost[domain]
		if domain == m.FailureDomain || !lost || now.Sub(lostAt) > reclaimMemory {
			plan.withSpot = append(plan.withSpot, domain)
		}
	}
	return plan
}

// ranBefore returns how many upstreams ran in all failure domains, as long as the demand was
// not watched for HoldTime. While one kind replaces the other, both run: the larger count is
// what is needed.
func (m *Machine) ranBefore() float64 {
	ran := 0
	for _, c := range m.ran {
		ran += max(c.Spot, c.Others)
	}
	return float64(ran)
}

// missing returns how many others are to be ordered here in place of spot upstreams that
// can't be had, if what is left everywhere does not carry the demand.
func (m *Machine) missing(now time.Time) int {
	if m.soldOutUntil.IsZero() || now.After(m.soldOutUntil.Add(soldOutPause)) {
		return 0
	}
	left := max(m.peak.grown(), m.ranBefore()) * firmShare
	for _, c := range m.counts {
		left += float64(c.Spot)
	}
	short := m.peak.highest().upstreams - left
	return max(ceil(short/float64(len(m.domains()))), 0)
}

// domains returns the failure domains in which the service has run.
func (m *Machine) domains() []id.FailureDomain {
	domains := slices.Collect(maps.Keys(m.ran))
	if _, ran := m.ran[m.FailureDomain]; !ran {
		domains = append(domains, m.FailureDomain)
	}
	return domains
}
