package router

import (
	"time"

	"samphirehead/coordination/capacity"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
	"samphirehead/state/settings"
)

// demands measures the demand for each service whose capacity is ordered. It is guarded by
// Router.mu.
type demands map[id.Service]*serviceDemand

type serviceDemand struct {
	meter     capacity.Meter
	collector capacity.Collector
	// ran holds the failure domains in which upstreams of the service have been listed.
	ran map[id.FailureDomain]bool
}

// domains returns counts of 0 for the failure domains in which the service has run.
func (d *serviceDemand) domains() map[id.FailureDomain]capacity.Counts {
	counts := make(map[id.FailureDomain]capacity.Counts, len(d.ran))
	for domain := range d.ran {
		counts[domain] = capacity.Counts{}
	}
	return counts
}

// remember records the failure domains of upstreams that are listed.
func (d *serviceDemand) remember(counts map[id.FailureDomain]capacity.Counts) {
	for domain := range counts {
		d.ran[domain] = true
	}
}

// demandOf returns the demand for a service, or nil if its capacity is not ordered. r.mu
// must be held.
func (r *Router) demandOf(service id.Service) *serviceDemand {
	table := r.table.Load()
	if table == nil || table.Services[service].Scale == nil || !r.Settings.Duties.Has(settings.DutyCapacity) {
		return nil
	}
	d, known := r.demands[service]
	if !known {
		d = &serviceDemand{ran: make(map[id.FailureDomain]bool)}
		r.demands[service] = d
	}
	return d
}

// demandArrived records a request for a service. r.mu must be held.
func (r *Router) demandArrived(now time.Time, service id.Service) {
	if d := r.demandOf(service); d != nil {
		d.meter.Arrived(now)
	}
}

// demandSent records that an upstream has to process prompt tokens. r.mu must be held.
func (r *Router) demandSent(now time.Time, service id.Service, prefill id.Tokens) {
	if d := r.demandOf(service); d != nil {
		d.meter.Sent(now, prefill)
	}
}

// demandRefused records why a request was refused, if that is because no upstream had room.
func (r *Router) demandRefused(service id.Service, why reason) {
	if why != overloaded && why != noUpstream && why != upstreamLimit {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d := r.demandOf(service); d != nil {
		d.meter.Refused(time.Now())
	}
}

// ownDemand returns what the callers of this instance ask of a service. r.mu must be held.
func (r *Router) ownDemand(now time.Time, service id.Service, d *serviceDemand) capacity.Demand {
	running, memory := 0, id.Tokens(0)
	if c, ok := r.pools.choosers[service]; ok {
		for _, load := range c.Loads(now) {
			running += load.Running
			memory += load.Memory
		}
	}
	return d.meter.Demand(now, running, memory)
}

// demandMessages returns the messages to a peer. r.mu must be held.
func (r *Router) demandMessages(now time.Time) []*exchange.ServiceDemand {
	var messages []*exchange.ServiceDemand
	for service, d := range r.demands {
		messages = append(messages, exchange.ServiceDemandOf(service, r.ownDemand(now, service, d)))
	}
	return messages
}

// receiveDemands applies the messages of a peer. r.mu must be held.
func (r *Router) receiveDemands(now time.Time, peer id.Instance, messages []*exchange.ServiceDemand) {
	for _, message := range messages {
		if d := r.demandOf(id.Service(message.Service)); d != nil {
			d.collector.Receive(now, peer, message.AsDemand())
		}
	}
}
