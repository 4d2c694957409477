package dispatcher

import (
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/balancer"
	"samphirehead/protocol/exchange"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// Load returns the load report of this instance, without a stamp.
func (d *Dispatcher) Load() *peer.LoadState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := &peer.LoadState{}
	for _, c := range d.upstreams.choosers {
		loads, failing := exchange.LoadReport(c, now)
		s.Loads, s.Failing = append(s.Loads, loads...), append(s.Failing, failing...)
	}
	s.Waiting = waitingMessages(d.queue.Waiting(), d.queue.AtRisk(now), d.queue.Running())
	return s
}

// ReceiveLoad applies the load report of another instance.
func (d *Dispatcher) ReceiveLoad(from id.Instance, s *peer.LoadState) {
	loads := exchange.LoadsFromProto(s.Loads)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, c := range d.upstreams.choosers {
		exchange.ApplyLoadReport(c, now, balancer.LoadReceived{Instance: from, Loads: loads}, s.Failing)
	}
	d.step(now, waitingEvent(from, s.Waiting))
	d.step(now, admission.Ticked{})
}

func waitingMessages(waiting, atRisk, running admission.RequestCounts) []*peer.Waiting {
	var messages []*peer.Waiting
	byPool := make(map[id.Pool]map[id.Tier]*peer.Waiting)
	collect := func(counts admission.RequestCounts, set func(w *peer.Waiting, n int32)) {
		for pool, tiers := range counts {
			if byPool[pool] == nil {
				byPool[pool] = make(map[id.Tier]*peer.Waiting)
			}
			for tier, n := range tiers {
				if byPool[pool][tier] == nil {
					byPool[pool][tier] = &peer.Waiting{Pool: string(pool), Tier: int32(tier)}
					messages = append(messages, byPool[pool][tier])
				}
				set(byPool[pool][tier], int32(n))
			}
		}
	}
	collect(waiting, func(w *peer.Waiting, n int32) { w.Requests = n })
	collect(atRisk, func(w *peer.Waiting, n int32) { w.Pressed = n })
	collect(running, func(w *peer.Waiting, n int32) { w.Running = n })
	return messages
}

func waitingEvent(from id.Instance, messages []*peer.Waiting) admission.LoadReceived {
	event := admission.LoadReceived{
		Instance: from,
		Waiting:  make(admission.RequestCounts), AtRisk: make(admission.RequestCounts), Running: make(admission.RequestCounts),
	}
	for _, w := range messages {
		pool, tier := id.Pool(w.Pool), id.Tier(w.Tier)
		event.Waiting.Add(pool, tier, int(max(w.Requests, 0)))
		event.AtRisk.Add(pool, tier, int(max(w.Pressed, 0)))
		event.Running.Add(pool, tier, int(max(w.Running, 0)))
	}
	return event
}
