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
	Spread func(crashes []suspect.Record)

	mu        sync.Mutex
	queue     admission.Queue
	upstreams upstreams
	// waits holds each request that waits for its decision.
	waits map[admission.Ticket]chan admission.Effect
	last  admission.Ticket
	// grants holds those in use.
	grants map[admission.Ticket]*dispatch.Grant
}

var _ dispatch.Dispatcher = (*Dispatcher)(nil)

// Init makes all methods usable.
func (d *Dispatcher) Init() {
	d.upstreams.init(d.FailureDomain)
	d.queue = admission.Queue{Upstreams: &d.upstreams, Headroom: headroom, Suspects: d.Suspects}
	d.waits = make(map[admission.Ticket]chan admission.Effect)
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
		case now := <-ticker.C:
			d.mu.Lock()
			d.step(now, admission.Ticked{})
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
func (d *Dispatcher) Reserve(ctx context.Context, r admission.Request) (*dispatch.Grant, error) {
	began := time.Now()
	decided := make(chan admission.Effect, 1)
	d.mu.Lock()
	d.last++
	r.Ticket = d.last
	d.waits[r.Ticket] = decided
	d.step(began, admission.Arrived{Request: r})
	d.mu.Unlock()

	select {
	case e := <-decided:
		return d.decision(r, e, time.Since(began))
	case <-ctx.Done():
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.waits, r.Ticket)
		d.end(time.Now(), r.Ticket, admission.Withdrawn{Ticket: r.Ticket}, choice.Ended{Ticket: choice.Ticket(r.Ticket)})
		return nil, context.Cause(ctx)
	}
}

func (d *Dispatcher) decision(r admission.Request, e admission.Effect, wait time.Duration) (*dispatch.Grant, error) {
	switch e := e.(type) {
	case admission.Granted:
		d.mu.Lock()
		defer d.mu.Unlock()
		g := dispatch.NewGrant(r, d.upstreams.known[e.Upstream], wait)
		d.grants[r.Ticket] = g
		return g, nil
	case admission.Refused:
		return nil, &dispatch.Refusal{Reason: e.Reason, RetryAfter: e.RetryAfter}
	}
	return nil, &dispatch.Refusal{Reason: admission.NoUpstream}
}

// Started notes the first token of an answer.
func (d *Dispatcher) Started(g *dispatch.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upstreams.started(time.Now(), g.Need.Ticket)
}

// Release ends the use of a grant.
func (d *Dispatcher) Release(g *dispatch.Grant, e dispatch.Ending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	delete(d.grants, g.Need.Ticket)
	if e.Outcome == admission.Completed {
		d.upstreams.started(now, g.Need.Ticket)
	}
	d.end(now, g.Need.Ticket, admission.Released{
		Ticket: g.Need.Ticket, Tokens: e.Tokens, Outcome: e.Outcome, FirstToken: e.FirstToken,
	}, choice.Ended{
		Ticket:    choice.Ticket(g.Need.Ticket),
		Failed:    e.Outcome == admission.Failed,
		Unreached: e.Outcome == admission.Unreachable || e.Outcome == admission.Crashed,
	})
}

// end tells both machines of the end of a run; d.mu is held.
func (d *Dispatcher) end(now time.Time, t admission.Ticket, ev admission.Event, ended choice.Ended) {
	d.upstreams.ended(now, t, ended)
	d.step(now, ev)
}

// HearCrashes takes in what other instances tell of suspect requests.
func (d *Dispatcher) HearCrashes(crashes []suspect.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.step(time.Now(), admission.Heard{Records: crashes})
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
			d.decide(e.Ticket, e)
		case admission.Refused:
			d.decide(e.Ticket, e)
		case admission.Preempted:
			if g, ok := d.grants[e.Ticket]; ok {
				g.Preempt()
			}
		case admission.CrashSeen:
			d.Spread(e.Records)
		}
	}
	d.upstreams.logBeliefs()
}

// decide hands a decision to whoever waits for it; d.mu is held.
func (d *Dispatcher) decide(t admission.Ticket, e admission.Effect) {
	wait, ok := d.waits[t]
	if !ok {
		klog.ErrorS(nil, "a request that does not wait was decided", "ticket", t)
		return
	}
	delete(d.waits, t)
	wait <- e
}
