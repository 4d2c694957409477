package queue

import (
	"time"

	"samphirehead/state/id"
)

// Summary says how busy the pools are, in order of name.
func (q *Queue) Summary(now time.Time) []PoolState {
	q.init()
	states := make([]PoolState, 0, len(q.poolOrder))
	for _, p := range q.poolOrder {
		states = append(states, PoolState{
			Pool:      p.name,
			FreeSlots: p.free(now),
			Slots:     p.slots(),
			Wait:      q.waits(now, p),
		})
	}
	return states
}

// waits returns the expected wait of a new arrival by tier.
func (q *Queue) waits(now time.Time, p *pool) []time.Duration {
	lowest := id.Tier(0)
	for _, c := range q.classes {
		lowest = max(lowest, c.Tier)
	}
	waits := make([]time.Duration, lowest)
	free := p.free(now)
	for i := range waits {
		waits[i] = q.tierWait(now, p, id.Tier(i+1), free)
	}
	return waits
}

func (q *Queue) tierWait(now time.Time, p *pool, tier id.Tier, free int) time.Duration {
	ahead := 0
	for _, l := range p.lines {
		if l.class.Tier <= tier {
			ahead += l.waiting
		}
	}
	if ahead < free+p.preempting() {
		return 0
	}
	perSecond, ok := p.frees.perSecond(now)
	if !ok {
		return time.Duration(ahead+1) * unknownWait
	}
	return time.Duration(float64(ahead+1-free) / perSecond * float64(time.Second))
}

// unknownWait is told for each waiter while no slot has become free yet.
const unknownWait = 100 * time.Millisecond
