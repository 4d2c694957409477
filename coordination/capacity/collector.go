package capacity

import (
	"time"

	"samphirehead/state/id"
)

// reportTTL is how long the demand that another instance reported counts.
const reportTTL = 2 * time.Second

// Collector estimates the demand for one service at all instances from the reports of
// those that were heard lately. The zero value is ready. It is not safe for concurrent use.
type Collector struct {
	reports map[id.Instance]report
}

type report struct {
	Demand
	receivedAt time.Time
}

// Receive records the report of another instance. It replaces the previous one.
func (c *Collector) Receive(now time.Time, instance id.Instance, demand Demand) {
	if c.reports == nil {
		c.reports = make(map[id.Instance]report)
	}
	c.reports[instance] = report{demand, now}
}

// Total returns the demand at all instances: that of this one and of those heard, times the
// live instances for each one heard. It returns false as long as too few were heard.
func (c *Collector) Total(now time.Time, own Demand, live int) (Demand, bool) {
	total, heard := own, 1
	for instance, r := range c.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(c.reports, instance)
			continue
		}
		total = total.add(r.Demand)
		heard++
	}
	if heard < min(live, minHeard) {
		return Demand{}, false
	}
	return total.times(max(float64(live)/float64(heard), 1)), true
}

// minHeard is how many instances stand for all of them; fewer are enough if fewer live.
const minHeard = 8
