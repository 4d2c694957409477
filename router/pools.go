package router

import (
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/registry"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// pools holds a chooser for each service. It is guarded by Router.mu.
type pools struct {
	choosers map[id.Service]*balancer.Chooser
	// upstreams holds the usable upstreams as last configured.
	upstreams map[id.Upstream]registry.Entry
}

// configure replaces the services and the usable upstreams. It returns the upstreams that
// are no longer usable, or have started again.
func (p *pools) configure(now time.Time, table *routing.Table, usable []registry.Entry, domain id.FailureDomain) (gone []registry.Entry) {
	if p.choosers == nil {
		p.choosers = make(map[id.Service]*balancer.Chooser)
	}
	upstreams := make(map[id.Upstream]registry.Entry, len(usable))
	byService := make(map[id.Service][]registry.Entry)
	for _, e := range usable {
		upstreams[e.Upstream] = e
		byService[e.Service] = append(byService[e.Service], e)
		if _, existed := p.upstreams[e.Upstream]; !existed {
			klog.InfoS("upstream usable", "upstream", e.Upstream, "service", e.Service, "address", e.Address, "software", e.Software)
		}
	}
	for name, e := range p.upstreams {
		current, remains := upstreams[name]
		if !remains {
			klog.InfoS("upstream gone", "upstream", name, "service", e.Service)
		}
		if !remains || current.StartedUnixMS != e.StartedUnixMS {
			gone = append(gone, e)
		}
	}
	p.upstreams = upstreams
	tightest := tightestObjectives(table)
	for name, service := range table.Services {
		c, ok := p.choosers[name]
		if !ok {
			c = &balancer.Chooser{FailureDomain: domain, Seed: rand.Uint64()}
			p.choosers[name] = c
		}
		c.Step(now, balancer.Configured{
			Service: service, Upstreams: byService[name],
			TightestObjective: tightest[name].start, TightestPause: tightest[name].pause,
		})
	}
	for name := range p.choosers {
		if _, remains := table.Services[name]; !remains {
			delete(p.choosers, name)
		}
	}
	return gone
}

// objectives are the shortest objectives of the streaming routes of a service; 0 if
// there is none.
type objectives struct{ start, pause time.Duration }

func (o *objectives) add(r *routing.Route) {
	o.start = shorter(o.start, r.Objective)
	o.pause = shorter(o.pause, r.PauseObjective)
}

// shorter returns the shorter one of two durations, of which 0 means none.
func shorter(a, b time.Duration) time.Duration {
	if a <= 0 || b <= 0 {
		return max(a, b, 0)
	}
	return min(a, b)
}

// tightestObjectives returns the shortest objectives for each service.
func tightestObjectives(table *routing.Table) map[id.Service]objectives {
	tightest := make(map[id.Service]objectives)
	for route := range table.Routes() {
		if !route.Streaming {
			continue
		}
		for _, target := range route.Targets {
			o := tightest[target.Service]
			o.add(route)
			tightest[target.Service] = o
		}
	}
	return tightest
}

// stepChooser passes an event to the chooser of a service.
func (r *Router) stepChooser(service id.Service, ev balancer.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.pools.choosers[service]; ok {
		c.Step(time.Now(), ev)
		logHealthChanges(c)
	}
}

// logHealthChanges logs the changes of the health states of a chooser's
// upstreams.
func logHealthChanges(c *balancer.Chooser) {
	for _, change := range c.HealthChanges() {
		klog.InfoS("upstream judged", change.Fields()...)
	}
}
