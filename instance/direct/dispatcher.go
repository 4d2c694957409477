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
	waits map[admission.Ticket]*waiting
	last  admission.Ticket
	// grants holds those in use.
	grants map[admission.Ticket]*dispatch.Grant
}

var _ dispatch.Dispatcher = (*Dispatcher)(nil)

// waiting is a request without a decision.
type waiting struct {
	need  admission.Request
	began time.Time
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
	d.waits = make(map[admission.Ticket]*waiting)
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
func (d *Dispatcher) Reserve(ctx context.Context, need admission.Request) (*dispatch.Grant, error) {
	w := d.arrive(need)
	select {
	case got := <-w.decided:
		return got.grant, got.err
	case <-ctx.Done():
		d.withdraw(w)
		return nil, context.Cause(ctx)
	}
}

func (d *Dispatcher) arrive(need admission.Request) *waiting {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.last++
	need.Ticket = d.last
	w := &waiting{need: need, began: now, decided: make(chan decision, 1)}
	d.waits[need.Ticket] = w
	d.step(now, admission.Arrived{Request: need})
	return w
}

// withdraw ends a request whose caller has gone, also one that was granted in the
// meantime.
func (d *Dispatcher) withdraw(w *waiting) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := w.need.Ticket
	delete(d.waits, t)
	delete(d.grants, t)
	d.end(time.Now(), t, admission.Withdrawn{Ticket: t}, choice.Ended{Ticket: choice.Ticket(t)})
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
		Ticket:      choice.Ticket(g.Need.Ticket),
		Failed:      e.Outcome == admission.Failed,
		Unreachable: e.Outcome == admission.Unreachable || e.Outcome == admission.Crashed,
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
			d.Spread(e.Records)
		}
	}
	d.upstreams.logBeliefs()
}

// grant hands out an upstream as the manifest of the moment describes it; d.mu is
// held.
func (d *Dispatcher) grant(now time.Time, e admission.Granted) {
	w, ok := d.waits[e.Ticket]
	if !ok {
		klog.ErrorS(nil, "a request that does not wait was granted", "ticket", e.Ticket, "upstream", e.Upstream)
		return
	}
	g := dispatch.NewGrant(w.need, d.upstreams.known[e.Upstream], now.Sub(w.began))
	d.grants[e.Ticket] = g
	d.decide(e.Ticket, decision{grant: g})
}

// decide hands a decision to whoever waits for it; d.mu is held.
func (d *Dispatcher) decide(t admission.Ticket, got decision) {
	w, ok := d.waits[t]
	if !ok {
		klog.ErrorS(nil, "a request that does not wait was decided", "ticket", t)
		return
	}
	delete(d.waits, t)
	w.decided <- got
}
