package choice

import (
	"time"

	"samphirehead/state/id"
)

// Load is what one entry has in progress at an upstream.
type Load struct {
	Running int
	// Prefill is what is still to be read, by urgency.
	Prefill [Urgencies]id.Tokens
	// Sensitive counts the streams that reading beside them delays too much.
	Sensitive int
	// Memory is what the runs hold for themselves.
	Memory id.Tokens
	// Ended and Failed count the runs that ended lately, fading.
	Ended, Failed float64
	// Begun counts the runs that began lately, fading, and Pace adds up how
	// many times as long as expected that took.
	Started, DelayRatioSum float64
}

// Loads returns what this entry has in progress, and how its runs ended.
func (c *Chooser) Loads(now time.Time) map[id.Upstream]Load {
	loads := make(map[id.Upstream]Load)
	for _, u := range c.upstreams {
		u.decayCounts(now)
		if u.local.Running > 0 || u.local.Ended > minReportedCount {
			loads[u.Upstream] = u.local
		}
	}
	return loads
}

// add returns the sum of two loads.
func (l Load) add(other Load) Load {
	l.Running += other.Running
	for urgency, tokens := range other.Prefill {
		l.Prefill[urgency] += tokens
	}
	l.Sensitive += other.Sensitive
	l.Memory += other.Memory
	l.Ended += other.Ended
	l.Failed += other.Failed
	l.Started += other.Started
	l.DelayRatioSum += other.DelayRatioSum
	return l
}

// load adds up what all entries have in progress at an upstream.
func (c *Chooser) load(now time.Time, u *upstream) Load {
	c.sumReports(now)
	u.decayCounts(now)
	return u.local.add(u.peers)
}

// total adds up what all entries have in progress at all upstreams.
func (c *Chooser) total(now time.Time) Load {
	var total Load
	for _, u := range c.upstreams {
		total = total.add(c.load(now, u))
	}
	return total
}

// news returns how many other entries' loads count, and the age of the oldest.
func (c *Chooser) reportStats(now time.Time) (int, time.Duration) {
	n, oldest := 0, time.Duration(0)
	for _, report := range c.reports {
		if age := now.Sub(report.receivedAt); age <= loadReportTTL {
			n++
			oldest = max(oldest, age)
		}
	}
	return n, oldest
}

// addOthers adds up what the other entries told lately, where that is due.
func (c *Chooser) sumReports(now time.Time) {
	if now.Sub(c.summedAt) < peerSumInterval {
		return
	}
	c.summedAt = now
	for instance, report := range c.reports {
		if now.Sub(report.receivedAt) > loadReportTTL {
			delete(c.reports, instance)
		}
	}
	for _, u := range c.upstreams {
		u.peers = Load{}
		for _, report := range c.reports {
			u.peers = u.peers.add(report.Loads[u.Upstream])
		}
	}
}
