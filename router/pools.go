package router

import (
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/choice"
	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// pools holds a chooser for each service. The router's lock guards it.
type pools struct {
	choosers map[id.Service]*choice.Chooser
	// known holds the upstreams of the last configuration.
	known map[id.Upstream]registry.Entry
}

func (p *pools) configure(now time.Time, table *routing.Table, usable []registry.Entry, domain id.FailureDomain) {
	if p.choosers == nil {
		p.choosers = make(map[id.Service]*choice.Chooser)
	}
	known := make(map[id.Upstream]registry.Entry, len(usable))
	byService := make(map[id.Service][]registry.Entry)
	for _, e := range usable {
		known[e.Upstream] = e
		byService[e.Service] = append(byService[e.Service], e)
		if _, old := p.known[e.Upstream]; !old {
			klog.InfoS("upstream usable", "upstream", e.Upstream, "service", e.Service, "address", e.Address)
		}
	}
	for name, e := range p.known {
		if _, kept := known[name]; !kept {
			klog.InfoS("upstream gone", "upstream", name, "service", e.Service)
		}
	}
	p.known = known
	tightest := tightestObjectives(table)
	for name, service := range table.Services {
		c, ok := p.choosers[name]
		if !ok {
			c = &choice.Chooser{FailureDomain: domain}
			p.choosers[name] = c
		}
		c.Step(now, choice.Configured{Service: service, Upstreams: byService[name], TightestObjective: tightest[name]})
	}
	for name := range p.choosers {
		if _, kept := table.Services[name]; !kept {
			delete(p.choosers, name)
		}
	}
}

// tightestObjectives returns the shortest objective of the streaming routes of
// each service.
func tightestObjectives(table *routing.Table) map[id.Service]time.Duration {
	tightest := make(map[id.Service]time.Duration)
	for route := range table.Routes() {
		if !route.Streaming || route.Objective <= 0 {
			continue
		}
		for _, target := range route.Targets {
			if t, ok := tightest[target.Service]; !ok || route.Objective < t {
				tightest[target.Service] = route.Objective
			}
		}
	}
	return tightest
}

// step passes an event to the chooser of a service.
func (r *Router) step(service id.Service, ev choice.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.pools.choosers[service]; ok {
		c.Step(time.Now(), ev)
		logBeliefs(c)
	}
}

// logBeliefs logs what a chooser newly holds of its upstreams.
func logBeliefs(c *choice.Chooser) {
	for _, b := range c.HealthChanges() {
		klog.InfoS("upstream judged", b.Fields()...)
	}
}
