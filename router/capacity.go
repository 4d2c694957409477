package router

import (
	"cmp"
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/capacity"
	"samphirehead/coordination/duty"
	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
	"samphirehead/state/settings"
)

// capacityInterval is the interval at which the capacity of services is decided on.
const capacityInterval = 500 * time.Millisecond

// capacityOrders holds a machine for each service and failure domain. It is used by the
// task orderCapacity only, but for status.
type capacityOrders struct {
	machines map[duty.Subject]*capacity.Machine
	// status is guarded by Router.mu.
	status map[duty.Subject]capacityStatus
	ended  chan capacityAnswer
}

// capacityStatus is what an operator sees of the capacity that was ordered last here.
type capacityStatus struct {
	Spot   bool            `json:"spot"`
	Count  int             `json:"count"`
	Result capacity.Result `json:"result"`
	Cause  capacity.Cause  `json:"cause"`
	Needed float64         `json:"upstreams_needed"`
	Kept   float64         `json:"upstreams_kept"`
}

type capacityAnswer struct {
	subject duty.Subject
	capacity.Answered
}

// orderCapacity orders upstreams for the services for which this instance holds that duty,
// until ctx ends.
func (r *Router) orderCapacity(ctx context.Context) error {
	o := &r.capacity
	o.machines = make(map[duty.Subject]*capacity.Machine)
	o.ended = make(chan capacityAnswer)
	ticker := time.NewTicker(capacityInterval)
	defer ticker.Stop()
	running := 0
	for {
		select {
		case <-ctx.Done():
			for range running {
				<-o.ended
			}
			return nil
		case a := <-o.ended:
			running--
			if m, known := o.machines[a.subject]; known {
				m.Step(time.Now(), a.Answered)
			}
		case now := <-ticker.C:
			running += r.stepCapacity(ctx, now)
		}
	}
}

// stepCapacity passes what is known to the machines. It returns how many orders it has
// begun to send.
func (r *Router) stepCapacity(ctx context.Context, now time.Time) int {
	started := 0
	wanted := make(map[duty.Subject]bool)
	for _, known := range r.capacityKnown(now) {
		for domain := range known.counts {
			name := duty.Capacity(known.service, domain)
			wanted[name] = true
			r.competeFor(name, domain)
			m := r.capacity.machine(name, known.service, domain)
			m.Step(now, known.config)
			m.Step(now, capacity.Listed{Counts: known.counts})
			if known.demanded {
				m.Step(now, capacity.Demanded{Demand: known.demand})
			}
			_, holds := r.grant(name)
			m.Step(now, capacity.HoldingChanged{Holds: holds})
			started += r.sendOrders(ctx, name, m.Step(now, capacity.Ticked{}))
		}
	}
	for name := range r.capacity.machines {
		if !wanted[name] {
			r.stopCompetingFor(name)
			delete(r.capacity.machines, name)
		}
	}
	return started
}

func (o *capacityOrders) machine(name duty.Subject, service id.Service, domain id.FailureDomain) *capacity.Machine {
	m, known := o.machines[name]
	if !known {
		m = &capacity.Machine{Service: service, FailureDomain: domain}
		o.machines[name] = m
	}
	return m
}

// sendOrders begins to send orders, and returns how many.
func (r *Router) sendOrders(ctx context.Context, name duty.Subject, orders []capacity.Send) int {
	for _, send := range orders {
		go func() { r.capacity.ended <- capacityAnswer{name, r.sendOrder(ctx, name, send)} }()
	}
	return len(orders)
}

// sendOrder sends an order, if this instance still holds the duty.
func (r *Router) sendOrder(ctx context.Context, name duty.Subject, send capacity.Send) capacity.Answered {
	result := capacity.NotSent
	err := r.perform(ctx, name, func(ctx context.Context, grant duty.Grant) (err error) {
		result, err = r.Duties.OrderCapacity(ctx, grant, send.Order)
		return err
	})
	why := send.Reason
	klog.InfoS("capacity ordered", "service", send.Service, "failure_domain", send.FailureDomain, "spot", send.Spot,
		"count", send.Count, "before", why.Before, "listed", why.Listed, "result", result,
		"cause", why.Cause, "needed", why.Needed, "kept", why.Kept, "err", err)
	r.metrics.Add("capacity_orders_"+string(result), 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.capacity.status == nil {
		r.capacity.status = make(map[duty.Subject]capacityStatus)
	}
	r.capacity.status[name] = capacityStatus{
		Spot: send.Spot, Count: send.Count, Result: result, Cause: why.Cause, Needed: why.Needed, Kept: why.Kept,
	}
	return capacity.Answered{Order: send.Order, Result: result}
}

// capacityInput is what decides the orders for one service.
type capacityInput struct {
	service  id.Service
	config   capacity.Configured
	counts   map[id.FailureDomain]capacity.Counts
	demand   capacity.Demand
	demanded bool
}

// capacityKnown returns the input of the decisions for each service whose capacity is
// ordered. Failure domains in which no upstream was ever listed are left out.
func (r *Router) capacityKnown(now time.Time) []capacityInput {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.table.Load()
	if table == nil {
		return nil
	}
	var inputs []capacityInput
	for name, service := range table.Services {
		if service.Scale == nil {
			continue
		}
		d := r.demandOf(name)
		in := capacityInput{service: name, counts: d.domains()}
		var sample registry.Entry
		for _, e := range r.pools.upstreams {
			if e.Service != name {
				continue
			}
			sample = e
			count := in.counts[e.FailureDomain]
			if e.Spot {
				count.Spot++
			} else {
				count.Others++
			}
			in.counts[e.FailureDomain] = count
		}
		d.remember(in.counts)
		in.config = capacityConfig(service, sample, r.Settings.Duties.Capacity[name])
		in.demand, in.demanded = d.collector.Total(now, r.ownDemand(now, name, d), len(r.membership.Live(now)))
		inputs = append(inputs, in)
	}
	return inputs
}

// capacityConfig returns the configuration of a service. upstream is one of its upstreams,
// which are alike.
func capacityConfig(s routing.Service, upstream registry.Entry, bounds settings.CapacityBounds) capacity.Configured {
	most := min(s.Scale.Max, cmp.Or(bounds.Max, s.Scale.Max))
	config := capacity.Configured{
		Bounds:   capacity.Bounds{Min: min(max(s.Scale.Min, bounds.Min), most), Max: most},
		BootTime: s.Scale.BootTime,
		Spot:     s.Scale.SpotPrice > 0 && s.Scale.SpotPrice < 1 && !bounds.NoSpot,
		Prices:   s.Scale.Prices,
		Upstream: capacity.Upstream{Slots: upstream.Slots, KVTokens: float64(upstream.KVTokens)},
	}
	if s.Engine != nil {
		config.Upstream.Slots = cmp.Or(s.Engine.Slots, upstream.Slots)
		config.Upstream.KVTokens = float64(cmp.Or(s.Engine.KVTokens, upstream.KVTokens))
		config.Upstream.PrefillTokens = balancer.PrefillRate(upstream)
	}
	return config
}
