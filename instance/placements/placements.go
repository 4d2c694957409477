// Package placements drives the placement of models under a platform lease: of
// all instances one at a time orders the engines.
package placements

import (
	"context"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/lease"
	"samphirehead/coordination/placement"
	"samphirehead/instance/leases"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/engine"
)

const (
	// leaseName is one for all engines, so that an engine sees fencing
	// numbers of one lease only.
	leaseName = "placement"
	// tickInterval is how often decisions are made.
	tickInterval = 250 * time.Millisecond
	// activePoll is how often Run looks whether there is anything to place.
	activePoll = time.Second
	// maxCalls bounds the calls to engines at a time.
	maxCalls = 16
)

// Engines is what placements need of the client of engines.
type Engines interface {
	Load(ctx context.Context, address string) (engine.Load, error)
	Order(ctx context.Context, address string, o engine.Order) engine.OrderResult
}

// Placements places models while this instance holds the lease. Its exported
// fields are set before Run.
type Placements struct {
	Self    id.Instance
	Table   leases.Table
	Engines Engines
	// Manifest returns the one in force, nil before the first.
	Manifest func() *manifest.Manifest
	// Demand returns the slots that each pool's requests would fill.
	Demand func() map[id.Pool]float64
	// Machine makes the machine of one holding; nil means one with the
	// defaults.
	Machine func() *placement.Machine

	lease *leases.Lease
}

// Run competes for the lease, as long as the manifest lets an engine hold
// several models, and works while it is held. It returns when ctx has ended and
// the lease is released.
func (p *Placements) Run(ctx context.Context) error {
	ticker := time.NewTicker(activePoll)
	defer ticker.Stop()
	for {
		if p.active() {
			if err := p.compete(ctx); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Placements) active() bool {
	m := p.Manifest()
	return m != nil && slices.ContainsFunc(m.Upstreams, func(u manifest.Upstream) bool {
		return u.Kind == manifest.KindEngine && len(u.Models) > 1
	})
}

// compete runs the lease until ctx ends or there is nothing to place.
func (p *Placements) compete(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.lease = &leases.Lease{Name: leaseName, Self: p.Self, Table: p.Table, Work: p.work}
	ended := make(chan error, 1)
	go func() { ended <- p.lease.Run(ctx) }()
	ticker := time.NewTicker(activePoll)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-ticker.C:
			if !p.active() {
				cancel()
			}
		}
	}
}

// work runs one machine until the lease ends or an engine names a newer holder.
func (p *Placements) work(ctx context.Context) {
	number, _, may := p.lease.MayOrder(true)
	if !may {
		return
	}
	h := &holding{
		placements: p,
		number:     number,
		machine:    p.newMachine(),
		events:     make(chan placement.Event),
		slots:      make(chan struct{}, maxCalls),
		upstreams:  make(map[id.Upstream]manifest.Upstream),
		places:     make(map[id.Upstream]int),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer h.calls.Wait()
	defer cancel()
	h.run(ctx)
}

func (p *Placements) newMachine() *placement.Machine {
	if p.Machine != nil {
		return p.Machine()
	}
	return &placement.Machine{OrderBound: lease.DefaultOrderBound}
}

// holding is the work of one holding of the lease.
type holding struct {
	placements *Placements
	number     id.FencingNumber
	machine    *placement.Machine
	events     chan placement.Event
	calls      sync.WaitGroup
	// slots bounds the calls in progress.
	slots chan struct{}
	// configured is the manifest that the machine knows.
	configured *manifest.Manifest
	// upstreams holds the engines of all manifests so far: the last orders
	// of some may have to be read back.
	upstreams map[id.Upstream]manifest.Upstream
	// places holds the most models that each engine was seen to hold.
	places map[id.Upstream]int
}

func (h *holding) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for !h.machine.Superseded() {
		select {
		case <-ctx.Done():
			return
		case ev := <-h.events:
			h.step(ctx, ev)
		case <-ticker.C:
			h.tick(ctx)
		}
	}
	klog.InfoS("an engine obeys a newer holder of the placement lease", "number", h.number)
}

func (h *holding) tick(ctx context.Context) {
	m := h.placements.Manifest()
	if m != h.configured {
		h.configured = m
		h.configure(ctx)
	}
	h.step(ctx, placement.Demanded{Slots: h.demand()})
	_, _, waitedOut := h.placements.lease.MayOrder(false)
	h.step(ctx, placement.Ticked{WaitedOut: waitedOut})
}

func (h *holding) demand() map[id.Model]float64 {
	pools := h.placements.Demand()
	out := make(map[id.Model]float64)
	for _, u := range h.upstreams {
		for _, model := range u.Models {
			out[model] = pools[id.ModelPool(model)]
		}
	}
	return out
}

// configure tells the machine of the engines. An engine has places for as many
// models as it was seen to hold.
func (h *holding) configure(ctx context.Context) {
	var engines []placement.Upstream
	for _, u := range h.configured.Upstreams {
		if u.Kind != manifest.KindEngine {
			continue
		}
		h.upstreams[u.Name] = u
		engines = append(engines, placement.Upstream{
			Name:          u.Name,
			Models:        u.Models,
			Places:        max(1, h.places[u.Name]),
			Slots:         u.Capacity.Slots,
			ChecksFencing: u.ChecksFencing,
		})
	}
	h.step(ctx, placement.Configured{Upstreams: engines})
}

func (h *holding) step(ctx context.Context, ev placement.Event) {
	if seen, ok := ev.(placement.Observed); ok && len(seen.Models) > max(1, h.places[seen.Upstream]) {
		h.places[seen.Upstream] = len(seen.Models)
		h.configure(ctx)
	}
	for _, effect := range h.machine.Step(time.Now(), ev) {
		switch e := effect.(type) {
		case placement.ReadBack:
			u := h.upstreams[e.Upstream]
			h.start(ctx, func() placement.Event { return h.read(ctx, e.Upstream, u) })
		case placement.Order:
			u := h.upstreams[e.Upstream]
			h.start(ctx, func() placement.Event { return h.order(ctx, u, e) })
		}
	}
}

// start runs one call and hands its event to run.
func (h *holding) start(ctx context.Context, call func() placement.Event) {
	h.calls.Go(func() {
		select {
		case h.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		ev := call()
		<-h.slots
		select {
		case h.events <- ev:
		case <-ctx.Done():
		}
	})
}

// read asks an engine for its models. The age that it gives counts from before
// the call.
func (h *holding) read(ctx context.Context, name id.Upstream, u manifest.Upstream) placement.Event {
	asked := time.Now()
	report, err := h.placements.Engines.Load(ctx, u.Address)
	if err != nil || report.Models == nil {
		klog.V(2).InfoS("engine does not tell its models", "upstream", name, "err", err)
		return placement.Observed{Upstream: name}
	}
	return placement.Observed{
		Upstream: name,
		Reached:  true,
		Models:   report.Models,
		AsOf:     asked.Add(-time.Duration(report.AsOfMsAgo) * time.Millisecond),
	}
}

// order sends an order if the lease still has the number of this holding.
func (h *holding) order(ctx context.Context, u manifest.Upstream, o placement.Order) placement.Event {
	number, until, may := h.placements.lease.MayOrder(u.ChecksFencing)
	if !may || number != h.number {
		return placement.Ordered{Order: o, Outcome: placement.Rejected}
	}
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	result := h.placements.Engines.Order(ctx, u.Address, engine.Order{
		Fencing: number,
		Kind:    kindOf(o.Kind),
		Model:   o.Model,
		Version: versionOf(h.placements.Manifest(), o),
	})
	outcome := outcomeOf(result)
	klog.InfoS("engine ordered", "upstream", o.Upstream, "kind", o.Kind, "model", o.Model, "number", number, "outcome", outcome)
	return placement.Ordered{Order: o, Outcome: outcome}
}

func kindOf(k placement.OrderKind) engine.OrderKind {
	if k == placement.Load {
		return engine.OrderLoad
	}
	return engine.OrderUnload
}

// versionOf returns the version to load, empty where the manifest has none.
func versionOf(m *manifest.Manifest, o placement.Order) string {
	i := slices.IndexFunc(m.Models, func(model manifest.Model) bool { return model.Name == o.Model })
	if i < 0 || o.Kind != placement.Load {
		return ""
	}
	return m.Models[i].Version
}

func outcomeOf(r engine.OrderResult) placement.Outcome {
	switch r.(type) {
	case engine.OrderAccepted:
		return placement.Accepted
	case engine.OrderOutdated:
		return placement.Outdated
	case engine.OrderRejected:
		return placement.Rejected
	}
	return placement.Unknown
}
