// Package direct lets an instance choose upstreams by itself, from what it has
// in progress and what the others tell of theirs. Requests wait here while all
// upstreams that may take them are full.
package direct

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/choice"
	"samphirehead/coordination/suspect"
	"samphirehead/instance/dispatch"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	// headroom is the share of slots that is kept for higher tiers.
	headroom = 0.1
	// tickInterval is how often the waiting requests are looked at beside each
	// event.
	tickInterval = 10 * time.Millisecond
)

// Dispatcher gives out slots of upstreams. Its exported fields are set before
// Init.
type Dispatcher struct {
	FailureDomain id.FailureDomain
	// Suspects belongs to the Dispatcher from Init on.
	Suspects *suspect.Tracker
	// Spread tells other instances of crashes. It must not block.
	BroadcastCrashes func(crashes []suspect.Record)

	mu        sync.Mutex
	queue     admission.Queue
	upstreams upstreams
	// waits holds each request that waits for its decision.
	pending    map[admission.Ticket]*reservation
	lastTicket admission.Ticket
	// grants holds those in use.
	grants map[admission.Ticket]*dispatch.Grant
}

var _ dispatch.Dispatcher = (*Dispatcher)(nil)

// waiting is a request without a decision.
type reservation struct {
	request  admission.Request
	queuedAt time.Time
	// decided has room for one decision.
	decided chan decision
}

// decision is a grant, or why there is none.
type decision struct {
	grant *dispatch.Grant
	err   error
}

// Init makes all methods usable.
func (d *Dispatcher) Init() {
	d.upstreams.init(d.FailureDomain)
	d.queue = admission.Queue{Upstreams: &d.upstreams, Headroom: headroom, Suspects: d.Suspects}
	d.pending = make(map[admission.Ticket]*reservation)
	d.grants = make(map[admission.Ticket]*dispatch.Grant)
}

// Run lets time pass until ctx ends.
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

// Configure takes a manifest.
func (d *Dispatcher) Configure(x *manifest.Index) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.upstreams.configure(now, x)
	d.step(now, admission.Configured{Classes: x.Manifest.Classes})
}

// Reserve waits for a slot.
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

// withdraw ends a request whose caller has gone, also one that was granted in the
// meantime.
func (d *Dispatcher) withdraw(r *reservation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := r.request.Ticket
	delete(d.pending, t)
	delete(d.grants, t)
	d.endRun(time.Now(), t, admission.Withdrawn{Ticket: t}, choice.Ended{Ticket: choice.Ticket(t)})
}

// Started notes the first token of an answer.
func (d *Dispatcher) Started(g *dispatch.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams.started(time.Now(), g.Request.Ticket)
}

// Release ends the use of a grant.
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
	}, choice.Ended{
		Ticket:      choice.Ticket(g.Request.Ticket),
		Failed:      result.Outcome == admission.Failed,
		Unreachable: result.Outcome == admission.Unreachable || result.Outcome == admission.Crashed,
	})
}

// end tells both machines of the end of a run; d.mu is held.
func (d *Dispatcher) endRun(now time.Time, t admission.Ticket, ev admission.Event, ended choice.Ended) {
	d.upstreams.ended(now, t, ended)
	d.step(now, ev)
}

// HearCrashes takes in what other instances tell of suspect requests.
func (d *Dispatcher) ReceiveCrashes(crashes []suspect.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(time.Now(), admission.CrashRecordsReceived{Records: crashes})
}

// Crashes returns the crashes that count now.
func (d *Dispatcher) Crashes() []suspect.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.Suspects.Records(time.Now())
}

// Queued counts the waiting requests of each class.
func (d *Dispatcher) Queued() map[id.Class]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Queued()
}

// step carries out what an event leads to; d.mu is held.
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

// grant hands out an upstream as the manifest of the moment describes it; d.mu is
// held.
func (d *Dispatcher) grant(now time.Time, e admission.Granted) {
	r, ok := d.pending[e.Ticket]
	if !ok {
		klog.ErrorS(nil, "a request that does not wait was granted", "ticket", e.Ticket, "upstream", e.Upstream)
		return
	}
	g := dispatch.NewGrant(r.request, d.upstreams.byName[e.Upstream], now.Sub(r.queuedAt))
	d.grants[e.Ticket] = g
	d.decide(e.Ticket, decision{grant: g})
}

// decide hands a decision to whoever waits for it; d.mu is held.
func (d *Dispatcher) decide(t admission.Ticket, result decision) {
	r, ok := d.pending[t]
	if !ok {
		klog.ErrorS(nil, "a request that does not wait was decided", "ticket", t)
		return
	}
	delete(d.pending, t)
	r.decided <- result
}
