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
	Begun, Pace float64
}

// Loads returns what this entry has in progress, and how its runs ended.
func (c *Chooser) Loads(now time.Time) map[id.Upstream]Load {
	loads := make(map[id.Upstream]Load)
	for _, u := range c.upstreams {
		u.fade(now)
		if u.own.Running > 0 || u.own.Ended > leastCount {
			loads[u.Upstream] = u.own
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
	l.Begun += other.Begun
	l.Pace += other.Pace
	return l
}

// load adds up what all entries have in progress at an upstream.
func (c *Chooser) load(now time.Time, u *upstream) Load {
	c.addOthers(now)
	u.fade(now)
	return u.own.add(u.others)
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
func (c *Chooser) news(now time.Time) (int, time.Duration) {
	n, oldest := 0, time.Duration(0)
	for _, h := range c.others {
		if age := now.Sub(h.at); age <= heardFor {
			n++
			oldest = max(oldest, age)
		}
	}
	return n, oldest
}

// addOthers adds up what the other entries told lately, where that is due.
func (c *Chooser) addOthers(now time.Time) {
	if now.Sub(c.addedAt) < addInterval {
		return
	}
	c.addedAt = now
	for instance, h := range c.others {
		if now.Sub(h.at) > heardFor {
			delete(c.others, instance)
		}
	}
	for _, u := range c.upstreams {
		u.others = Load{}
		for _, h := range c.others {
			u.others = u.others.add(h.Loads[u.Upstream])
		}
	}
}
