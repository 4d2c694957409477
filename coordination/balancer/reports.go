package balancer

import (
	"math"
	"time"

	"samphirehead/state/id"
)

// domainReportTTL is how long the report of another failure domain counts. They are rarer
// than those of instances.
const domainReportTTL = 3 * time.Second

// domainReportHalfLife is the age at which half of the load of such a report counts.
const domainReportHalfLife = time.Second

// reporter is who sent a load report: an instance, or a failure domain as a whole.
type reporter struct {
	instance id.Instance
	domain   id.FailureDomain
}

// receiveLoad replaces the last report of an instance or of a failure domain, and learns from
// what it has learned about the speed of upstreams.
func (c *Chooser) receiveLoad(now time.Time, ev LoadReceived) {
	key := reporter{instance: ev.Instance}
	if ev.WholeDomain {
		key = reporter{domain: ev.FailureDomain}
	}
	c.reports[key] = loadReport{LoadReceived: ev, receivedAt: now}
	c.summedAt = time.Time{}
	for _, u := range c.upstreams {
		if load, ok := ev.Loads[u.Upstream]; ok {
			u.speed.observeReport(load.Slowdown)
		}
	}
}

// expired reports whether the report no longer counts.
func (r loadReport) expired(now time.Time) bool {
	if r.WholeDomain {
		return now.Sub(r.receivedAt) > domainReportTTL
	}
	return now.Sub(r.receivedAt) > loadReportTTL
}

// discount is how much of the load of a report is likely to be left: requests end, and what
// was to be read has been read. Those of instances are young enough to count in full.
func (r loadReport) discount(now time.Time) float64 {
	if !r.WholeDomain {
		return 1
	}
	return math.Exp2(-now.Sub(r.receivedAt).Seconds() / domainReportHalfLife.Seconds())
}

// included reports whether the load of a report is part of that of its failure domain.
func (c *Chooser) included(now time.Time, r loadReport) bool {
	if r.WholeDomain || r.FailureDomain == c.FailureDomain {
		return false
	}
	whole, ok := c.reports[reporter{domain: r.FailureDomain}]
	return ok && !whole.expired(now)
}

// reportStats returns the number of load reports that count, and the age of the
// oldest.
func (c *Chooser) reportStats(now time.Time) (int, time.Duration) {
	n, oldest := 0, time.Duration(0)
	for _, report := range c.reports {
		if !report.expired(now) {
			n++
			oldest = max(oldest, now.Sub(report.receivedAt))
		}
	}
	return n, oldest
}

// neighbourScale is how many instances of the failure domain each one stands for that was
// heard: 1 unless NeighboursListed told how many there are.
func (c *Chooser) neighbourScale(now time.Time) float64 {
	heard := 0
	for _, report := range c.reports {
		if c.isNeighbour(report) && !report.expired(now) {
			heard++
		}
	}
	return max(float64(c.neighbours)/float64(max(heard, 1)), 1)
}

func (c *Chooser) isNeighbour(r loadReport) bool {
	return !r.WholeDomain && r.FailureDomain == c.FailureDomain
}

// sumReports drops outdated load reports and adds up the others, if that is due.
func (c *Chooser) sumReports(now time.Time) {
	if now.Sub(c.summedAt) < peerSumInterval {
		return
	}
	c.summedAt = now
	for from, report := range c.reports {
		if report.expired(now) {
			delete(c.reports, from)
		}
	}
	scale := c.neighbourScale(now)
	for _, u := range c.upstreams {
		var neighbours, others Load
		for _, report := range c.reports {
			switch {
			case c.isNeighbour(report):
				neighbours = neighbours.add(report.Loads[u.Upstream])
			case !c.included(now, report):
				others = others.add(report.Loads[u.Upstream].times(report.discount(now)))
			}
		}
		u.neighbours = neighbours.times(scale)
		u.peers = u.neighbours.add(others)
	}
	c.summedDemand(now, scale)
}

// summedDemand adds up the demand of the other instances.
func (c *Chooser) summedDemand(now time.Time, scale float64) {
	c.neighbourDemand, c.peerDemand = Demand{}, Demand{}
	for _, report := range c.reports {
		switch {
		case c.isNeighbour(report):
			c.neighbourDemand = c.neighbourDemand.add(report.Demand.times(scale))
		case !c.included(now, report):
			c.peerDemand = c.peerDemand.add(report.Demand)
		}
	}
	c.peerDemand = c.peerDemand.add(c.neighbourDemand)
}

// PeerLoad returns the load of the other instances at an upstream.
func (c *Chooser) PeerLoad(now time.Time, name id.Upstream) Load {
	c.sumReports(now)
	if u, ok := c.byName[name]; ok {
		return u.peers
	}
	return Load{}
}

// DomainLoads returns the load of all instances of the failure domain by upstream, as far as
// this one knows, and their demand.
func (c *Chooser) DomainLoads(now time.Time) (map[id.Upstream]Load, Demand) {
	c.init()
	c.sumReports(now)
	loads := make(map[id.Upstream]Load)
	for _, u := range c.upstreams {
		u.decayCounts(now)
		if load := u.local.add(u.neighbours); load.reported() {
			load.Slowdown = u.speed.report()
			loads[u.Upstream] = load
		}
	}
	return loads, c.Demand(now).add(c.neighbourDemand)
}
