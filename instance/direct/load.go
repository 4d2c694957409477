package direct

import (
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/choice"
	"samphirehead/protocol/exchange"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// Load makes the message of what this instance has in progress.
func (d *Dispatcher) Load() *peer.LoadState {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	s := &peer.LoadState{}
	for _, c := range d.upstreams.choosers {
		loads, failing := exchange.LoadReport(c, now)
		s.Loads, s.Failing = append(s.Loads, loads...), append(s.Failing, failing...)
	}
	s.Waiting = waitingFrom(d.queue.Waiting(), d.queue.AtRisk(now), d.queue.Running())
	return s
}

// HearLoad takes in what another instance has in progress.
func (d *Dispatcher) HearLoad(from id.Instance, s *peer.LoadState) {
	loads := exchange.LoadsFromProto(s.Loads)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, c := range d.upstreams.choosers {
		exchange.ApplyLoadReport(c, now, choice.LoadReceived{Instance: from, Loads: loads}, s.Failing)
	}
	d.step(now, toldOf(from, s.Waiting))
	d.step(now, admission.Ticked{})
}

func waitingFrom(waiting, pressed, running admission.Waiting) []*peer.Waiting {
	var all []*peer.Waiting
	at := make(map[id.Pool]map[id.Tier]*peer.Waiting)
	each := func(counts admission.Waiting, add func(w *peer.Waiting, n int32)) {
		for pool, tiers := range counts {
			if at[pool] == nil {
				at[pool] = make(map[id.Tier]*peer.Waiting)
			}
			for tier, n := range tiers {
				if at[pool][tier] == nil {
					at[pool][tier] = &peer.Waiting{Pool: string(pool), Tier: int32(tier)}
					all = append(all, at[pool][tier])
				}
				add(at[pool][tier], int32(n))
			}
		}
	}
	each(waiting, func(w *peer.Waiting, n int32) { w.Requests = n })
	each(pressed, func(w *peer.Waiting, n int32) { w.Pressed = n })
	each(running, func(w *peer.Waiting, n int32) { w.Running = n })
	return all
}

func toldOf(from id.Instance, all []*peer.Waiting) admission.LoadReceived {
	told := admission.LoadReceived{
		Instance: from,
		Waiting:  make(admission.Waiting), AtRisk: make(admission.Waiting), Running: make(admission.Waiting),
	}
	for _, w := range all {
		pool, tier := id.Pool(w.Pool), id.Tier(w.Tier)
		told.Waiting.Add(pool, tier, int(max(w.Requests, 0)))
		told.AtRisk.Add(pool, tier, int(max(w.Pressed, 0)))
		told.Running.Add(pool, tier, int(max(w.Running, 0)))
	}
	return told
}
