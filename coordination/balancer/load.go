package balancer

import (
	"math"
	"time"

	"samphirehead/state/id"
)

// Load is one instance's load at an upstream.
type Load struct {
	Running int
	// Prefill is the prompt tokens of runs that have not started, by urgency.
	Prefill [Urgencies]id.Tokens
	// Sensitive counts the streams whose pause objective bulk prefill on the
	// same engine would violate.
	Sensitive int
	// Memory is the KV cache, in tokens, that the runs do not share with others.
	Memory id.Tokens
	// Ended and Failed are decaying counts of ended and of failed runs.
	Ended, Failed float64
	// Started is a decaying count of started runs, and DelayRatioSum the
	// decaying sum of their ratios of actual to expected delay.
	Started, DelayRatioSum float64
	// Slowdown is how long work usually takes there, 1 as for the service; 0 if unknown. It
	// is no sum.
	Slowdown float64
}

// Loads returns this instance's load by upstream. Upstreams without running
// requests or recently ended ones are left out.
func (c *Chooser) Loads(now time.Time) map[id.Upstream]Load {
	loads := make(map[id.Upstream]Load)
	for _, u := range c.upstreams {
		u.decayCounts(now)
		if u.local.reported() {
			load := u.local
			load.Slowdown = u.speed.report()
			loads[u.Upstream] = load
		}
	}
	return loads
}

// reported reports whether other instances are told of the load.
func (l Load) reported() bool { return l.Running > 0 || l.Ended > minReportedCount }

// times returns the load of factor as many instances.
func (l Load) times(factor float64) Load {
	scale := func(n int) int { return int(math.Round(float64(n) * factor)) }
	l.Running = scale(l.Running)
	for urgency, tokens := range l.Prefill {
		l.Prefill[urgency] = id.Tokens(scale(int(tokens)))
	}
	l.Sensitive = scale(l.Sensitive)
	l.Memory = id.Tokens(scale(int(l.Memory)))
	l.Ended *= factor
	l.Failed *= factor
	l.Started *= factor
	l.DelayRatioSum *= factor
	return l
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

// load returns the load of all instances at an upstream.
func (c *Chooser) load(now time.Time, u *upstream) Load {
	c.sumReports(now)
	u.decayCounts(now)
	return u.local.add(u.peers)
}

// total returns the load of all instances at all upstreams.
func (c *Chooser) total(now time.Time) Load {
	var total Load
	for _, u := range c.upstreams {
		total = total.add(c.load(now, u))
	}
	return total
}

// reportScale is the number of live instances for each one that is known, this one and the
// reports: an instance hears only some of many in loadReportTTL. It is 1 where failure domains
// report as a whole. Bounded choosers count only the load that is known.
func (c *Chooser) reportScale(reports int) float64 {
	if c.Bounded || c.neighbours > 0 {
		return 1
	}
	return max(float64(c.live)/float64(reports+1), 1)
}
