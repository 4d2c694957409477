package reserve

import (
	"time"

	"samphirehead/coordination/home"
	"samphirehead/coordination/queue"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// loadLifetime is how long a summary counts.
const loadLifetime = 2 * time.Second

type loadKey struct {
	instance id.Instance
	pool     id.Pool
}

type heardLoad struct {
	at    time.Time
	state queue.PoolState
	// sent counts the reservations sent to the home since.
	sent int
}

// loadTable keeps the last summary of each pool at each home. The zero value
// is empty.
type loadTable struct {
	heard map[loadKey]*heardLoad
}

func (t *loadTable) of(pool id.Pool, tier id.Tier, now time.Time) map[id.Instance]home.Load {
	loads := make(map[id.Instance]home.Load)
	for key, h := range t.heard {
		if key.pool != pool {
			continue
		}
		loads[key.instance] = home.Load{
			Known: now.Sub(h.at) < loadLifetime,
			Free:  h.state.FreeSlots,
			Slots: h.state.Slots,
			Wait:  waitOf(h.state, tier),
			Sent:  h.sent,
		}
	}
	return loads
}

func waitOf(s queue.PoolState, tier id.Tier) time.Duration {
	if len(s.Wait) == 0 {
		return 0
	}
	i := min(max(int(tier)-1, 0), len(s.Wait)-1)
	return s.Wait[i]
}

func (t *loadTable) hear(instance id.Instance, states []queue.PoolState, now time.Time) {
	if t.heard == nil {
		t.heard = make(map[loadKey]*heardLoad)
	}
	for _, s := range states {
		t.heard[loadKey{instance, s.Pool}] = &heardLoad{at: now, state: s}
	}
}

func (t *loadTable) keep(live map[id.Instance]string) {
	for key := range t.heard {
		if _, ok := live[key.instance]; !ok {
			delete(t.heard, key)
		}
	}
}

func (c *Client) noteSent(instance id.Instance, pool id.Pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h, ok := c.loads.heard[loadKey{instance, pool}]; ok {
		h.sent++
	}
}

// heard takes in what a home says of its queues.
func (c *Client) heard(instance id.Instance, s *peer.Summary) {
	if s == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loads.hear(instance, s.PoolStates(), time.Now())
}

// Hear takes in a summary that came with gossip.
func (c *Client) Hear(s *peer.Summary) { c.heard(id.Instance(s.Instance), s) }
