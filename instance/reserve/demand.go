package reserve

import (
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
)

// fullWait is the wait from which a pool counts as asked for twice its slots.
const fullWait = time.Second

// Demand estimates the slots that each pool's requests would fill, by the last
// summaries of all homes: those in use, and up to as many again for what
// waits.
func (c *Client) Demand() map[id.Pool]float64 {
	demand := make(map[id.Pool]float64)
	if c.Local != nil {
		for _, s := range c.Local.Summary() {
			demand[s.Pool] += asked(s)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, h := range c.loads.heard {
		if key.instance != c.Self && now.Sub(h.at) < loadLifetime {
			demand[key.pool] += asked(h.state)
		}
	}
	return demand
}

// asked estimates the slots that a pool's requests at one home would fill.
func asked(s queue.PoolState) float64 {
	longest := time.Duration(0)
	for _, w := range s.Wait {
		longest = max(longest, w)
	}
	waiting := min(1, float64(longest)/float64(fullWait))
	return float64(s.Slots-s.FreeSlots) + waiting*float64(s.Slots)
}
