// Package homes runs the queue of one instance for all entries, and serves it
// to other instances.
package homes

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/queue"
	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const tickInterval = 10 * time.Millisecond

// Decision is how a reservation ended: Granted or Refused.
type Decision interface{ decision() }

// Granted gives out a slot.
type Granted struct {
	Upstream id.Upstream
	Lease    time.Duration
}

// Refused says that no slot will come.
type Refused struct {
	Reason     queue.RefusalReason
	RetryAfter time.Duration
}

func (Granted) decision() {}
func (Refused) decision() {}

// waiter is a reservation that waits.
type waiter struct {
	class id.Class
	// decided has room for one decision.
	decided chan Decision
}

// Home drives the queue of one instance. The exported fields are set before
// Run.
type Home struct {
	// Queue belongs to the Home from Run on.
	Queue *queue.Queue
	// Preempt asks a holder to end reservations early. It must not block.
	Preempt func(holder id.Instance, reservations []id.Reservation)
	// Spread tells other instances of crashes. It must not block.
	Spread func(crashes []suspect.Record)

	mu sync.Mutex
	// waiters holds each reservation that waits.
	waiters map[id.Reservation]waiter
	// granted holds the reservations whose slots are in use.
	granted map[id.Reservation]struct{}
}

// Run lets time pass for the queue until ctx ends.
func (h *Home) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.step(queue.Ticked{})
		}
	}
}

// Configure replaces what the queue knows of classes and upstreams.
func (h *Home) Configure(classes []manifest.Class, upstreams []queue.Upstream) {
	h.step(queue.Configured{Classes: classes, Upstreams: upstreams})
}

// Report hands a late load report to the queue.
func (h *Home) Report(r queue.Reported) { h.step(r) }

// Cached hands late cache events to the queue.
func (h *Home) Cached(c queue.Cached) { h.step(c) }

// LoseHolder frees what a dead instance held.
func (h *Home) LoseHolder(i id.Instance) { h.step(queue.HolderLost{Instance: i}) }

// Reserve waits for the decision about a reservation, or for ctx, whose end
// takes the reservation back.
func (h *Home) Reserve(ctx context.Context, a queue.Arrived) (Decision, error) {
	wait := make(chan Decision, 1)
	h.mu.Lock()
	h.init()
	h.waiters[a.Reservation] = waiter{class: a.Class, decided: wait}
	h.apply(h.Queue.Step(time.Now(), a))
	h.mu.Unlock()

	select {
	case d := <-wait:
		return d, nil
	case <-ctx.Done():
		h.withdraw(a.Reservation)
		return nil, ctx.Err()
	}
}

func (h *Home) withdraw(r id.Reservation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, r)
	delete(h.granted, r)
	h.apply(h.Queue.Step(time.Now(), queue.Withdrawn{Reservation: r}))
}

// Register takes over work that already runs at an upstream.
func (h *Home) Register(r queue.Registered) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.granted[r.Reservation] = struct{}{}
	h.apply(h.Queue.Step(time.Now(), r))
}

// Progress renews leases. It returns the reservations that are not held here.
func (h *Home) Progress(progress []queue.Progressed) []id.Reservation {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	var unknown []id.Reservation
	for _, p := range progress {
		if _, held := h.granted[p.Reservation]; !held {
			unknown = append(unknown, p.Reservation)
			continue
		}
		h.apply(h.Queue.Step(now, p))
	}
	return unknown
}

// Release ends the use of slots.
func (h *Home) Release(releases []queue.Released) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	for _, r := range releases {
		delete(h.granted, r.Reservation)
		h.apply(h.Queue.Step(now, r))
	}
}

// Hear takes in what other instances tell of suspect requests.
func (h *Home) Hear(crashes []suspect.Record) { h.step(queue.Heard{Records: crashes}) }

// Crashes returns the crashes that count at now.
func (h *Home) Crashes(now time.Time) []suspect.Record {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Queue.Suspects.Records(now)
}

// Held counts the reservations that wait or are in use here.
func (h *Home) Held() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.waiters) + len(h.granted)
}

// Queued counts the waiting reservations of each class.
func (h *Home) Queued() map[id.Class]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[id.Class]int)
	for _, w := range h.waiters {
		out[w.class]++
	}
	return out
}

// Summary says how busy each pool is here.
func (h *Home) Summary() []queue.PoolState {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Queue.Summary(time.Now())
}

func (h *Home) step(ev queue.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.init()
	h.apply(h.Queue.Step(time.Now(), ev))
}

func (h *Home) init() {
	if h.waiters == nil {
		h.waiters = make(map[id.Reservation]waiter)
		h.granted = make(map[id.Reservation]struct{})
	}
}

// apply carries out effects; h.mu is held.
func (h *Home) apply(effects []queue.Effect) {
	var preempted map[id.Instance][]id.Reservation
	for _, e := range effects {
		switch e := e.(type) {
		case queue.Granted:
			h.granted[e.Reservation] = struct{}{}
			h.decide(e.Reservation, Granted{Upstream: e.Upstream, Lease: e.Lease})
		case queue.Refused:
			h.decide(e.Reservation, Refused{Reason: e.Reason, RetryAfter: e.RetryAfter})
		case queue.Expired:
			delete(h.granted, e.Reservation)
			klog.V(2).InfoS("reservation lease lapsed", "reservation", e.Reservation)
		case queue.CrashSeen:
			h.Spread(e.Records)
		case queue.Preempted:
			if preempted == nil {
				preempted = make(map[id.Instance][]id.Reservation)
			}
			preempted[e.Holder] = append(preempted[e.Holder], e.Reservation)
		}
	}
	for holder, reservations := range preempted {
		h.Preempt(holder, reservations)
	}
}

// decide hands a decision to whoever waits for it; h.mu is held.
func (h *Home) decide(r id.Reservation, d Decision) {
	wait, ok := h.waiters[r]
	if !ok {
		return
	}
	delete(h.waiters, r)
	wait.decided <- d
}
