package retrybudget

import "time"

const (
	// instanceMemory is how long instances that are not seen any more count: they may be
	// cut off from this one and spend their part all the same. It is counted in
	// instancePeriods.
	instanceMemory  = 5 * time.Minute
	instancePeriods = 10
)

// instanceCount remembers the most instances that were seen at a time within
// instanceMemory. The zero value is ready.
type instanceCount struct {
	// mostIn holds the most in each period, as a ring.
	mostIn [instancePeriods]int
	newest int64
}

// observe records the number of instances at an age of the process.
func (c *instanceCount) observe(age time.Duration, instances int) {
	c.advance(age)
	current := &c.mostIn[c.newest%instancePeriods]
	*current = max(*current, instances)
}

// most returns the most instances that were seen, and 1 if none were.
func (c *instanceCount) most(age time.Duration) int {
	c.advance(age)
	most := 1
	for _, n := range c.mostIn {
		most = max(most, n)
	}
	return most
}

func (c *instanceCount) advance(age time.Duration) {
	period := int64(age / (instanceMemory / instancePeriods))
	if period-c.newest >= instancePeriods {
		*c = instanceCount{newest: period}
		return
	}
	for c.newest < period {
		c.newest++
		c.mostIn[c.newest%instancePeriods] = 0
	}
}
