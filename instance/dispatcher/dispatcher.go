// Package dispatcher lets an instance choose upstreams by itself, from its own
// requests in progress and the load reports of other instances. Requests queue
// here while all upstreams that may serve them are full.
package dispatcher

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/balancer"
	"samphirehead/coordination/quarantine"
	"samphirehead/instance/dispatch"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	// headroom is the share of a pool's slots that is kept free for higher
	// tiers.
	headroom = 0.1
	// tickInterval is the time between two ticks of the queue, which also steps
	// on each event.
	tickInterval = 10 * time.Millisecond
)

// Dispatcher grants slots of upstreams. Its exported fields are set before
// Init.
type Dispatcher struct {
	FailureDomain id.FailureDomain
	// Quarantine must not be used by others after Init, because mu guards it.
	Quarantine *quarantine.Tracker
	// BroadcastCrashes sends crash records to other instances. It must not
	// block.
	BroadcastCrashes func(crashes []quarantine.Record)

	mu        sync.Mutex
	queue     admission.Queue
	upstreams upstreams
	// pending contains the reservations without a decision.
	pending    map[admission.Ticket]*reservation
	lastTicket admission.Ticket
	// grants contains the grants that are not released.
	grants map[admission.Ticket]*dispatch.Grant
}

var _ dispatch.Dispatcher = (*Dispatcher)(nil)

// reservation is a call of Reserve that waits for its decision.
type reservation struct {
	request  admission.Request
	queuedAt time.Time
	// decided is buffered for one decision, so that deciding never blocks.
	decided chan decision
}

// decision is a grant, or the error that Reserve returns instead.
type decision struct {
	grant *dispatch.Grant
	err   error
}

// Init must be called before any other method.
func (d *Dispatcher) Init() {
	d.upstreams.init(d.FailureDomain)
	d.queue = admission.Queue{Upstreams: &d.upstreams, Headroom: headroom, Quarantine: d.Quarantine}
	d.pending = make(map[admission.Ticket]*reservation)
	d.grants = make(map[admission.Ticket]*dispatch.Grant)
}

// Run steps the queue at each tick until ctx ends.
func (d *Dispatcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.mu.Lock()
			d.step(time.Now(), admission.Ticked{})
			d.mu.Unlock()
		}
	}
}

// Configure applies a manifest.
func (d *Dispatcher) Configure(x *manifest.Index) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.upstreams.configure(now, x)
	d.step(now, admission.Configured{Classes: x.Manifest.Classes})
}

// Reserve waits for a slot. Its error is a *dispatch.Refusal, or the cause of
// ctx.
func (d *Dispatcher) Reserve(ctx context.Context, request admission.Request) (*dispatch.Grant, error) {
	r := d.enqueue(request)
	select {
	case result := <-r.decided:
		return result.grant, result.err
	case <-ctx.Done():
		d.withdraw(r)
		return nil, context.Cause(ctx)
	}
}

func (d *Dispatcher) enqueue(request admission.Request) *reservation {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.lastTicket++
	request.Ticket = d.lastTicket
	r := &reservation{request: request, queuedAt: now, decided: make(chan decision, 1)}
	d.pending[request.Ticket] = r
	d.step(now, admission.Arrived{Request: request})
	return r
}

// withdraw removes a reservation whose context has ended, including one that
// was granted in the meantime.
func (d *Dispatcher) withdraw(r *reservation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := r.request.Ticket
	delete(d.pending, t)
	delete(d.grants, t)
	d.endRun(time.Now(), t, admission.Withdrawn{Ticket: t}, balancer.Ended{Ticket: balancer.Ticket(t)})
}

// Started records that the first token of an answer has arrived.
func (d *Dispatcher) Started(g *dispatch.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams.started(time.Now(), g.Request.Ticket)
}

// Release returns the slot of a grant.
func (d *Dispatcher) Release(g *dispatch.Grant, result dispatch.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	delete(d.grants, g.Request.Ticket)
	if result.Outcome == admission.Completed {
		d.upstreams.started(now, g.Request.Ticket)
	}
	d.endRun(now, g.Request.Ticket, admission.Released{
		Ticket: g.Request.Ticket, Tokens: result.Tokens, Outcome: result.Outcome, FirstToken: result.FirstToken,
	}, balancer.Ended{
		Ticket:      balancer.Ticket(g.Request.Ticket),
		Failed:      result.Outcome == admission.Failed,
		Unreachable: result.Outcome == admission.Unreachable || result.Outcome == admission.Crashed,
	})
}

// endRun passes the end of a run to the chooser and to the queue; d.mu is held.
func (d *Dispatcher) endRun(now time.Time, t admission.Ticket, ev admission.Event, ended balancer.Ended) {
	d.upstreams.ended(now, t, ended)
	d.step(now, ev)
}

// ReceiveCrashes adds the crash records that other instances sent.
func (d *Dispatcher) ReceiveCrashes(crashes []quarantine.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(time.Now(), admission.CrashRecordsReceived{Records: crashes})
}

// Crashes returns the crash records that have not expired.
func (d *Dispatcher) Crashes() []quarantine.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Quarantine.Records(time.Now())
}

// Queued counts the waiting requests of each class.
func (d *Dispatcher) Queued() map[id.Class]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Queued()
}

// step passes an event to the queue and carries out the effects; d.mu is held.
func (d *Dispatcher) step(now time.Time, ev admission.Event) {
	for _, e := range d.queue.Step(now, ev) {
		switch e := e.(type) {
		case admission.Granted:
			d.grant(now, e)
		case admission.Refused:
			d.decide(e.Ticket, decision{err: &dispatch.Refusal{Reason: e.Reason, RetryAfter: e.RetryAfter}})
		case admission.Preempt:
			if g, ok := d.grants[e.Ticket]; ok {
				g.Preempt()
			}
		case admission.BroadcastCrashRecords:
			d.BroadcastCrashes(e.Records)
		}
	}
	d.upstreams.logHealthChanges()
}

// grant decides a reservation with the upstream as the current manifest
// describes it; d.mu is held. The grant can be preempted at once, even before
// Reserve returns it.
func (d *Dispatcher) grant(now time.Time, e admission.Granted) {
	r, ok := d.pending[e.Ticket]
	if !ok {
		klog.ErrorS(nil, "granted a request that is not waiting", "ticket", e.Ticket, "upstream", e.Upstream)
		return
	}
	g := dispatch.NewGrant(r.request, d.upstreams.byName[e.Upstream], now.Sub(r.queuedAt))
	d.grants[e.Ticket] = g
	d.decide(e.Ticket, decision{grant: g})
}

// decide sends a decision to the call of Reserve that waits for it; d.mu is
// held.
func (d *Dispatcher) decide(t admission.Ticket, result decision) {
	r, ok := d.pending[t]
	if !ok {
		klog.ErrorS(nil, "decided a request that is not waiting", "ticket", t)
		return
	}
	delete(d.pending, t)
	r.decided <- result
}
