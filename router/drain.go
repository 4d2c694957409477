package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/drain"
)

const (
	// lateCallerLifetimes is for how long callers may still arrive after the
	// directory no longer lists the instance, in lifetimes of the directory's
	// answers.
	lateCallerLifetimes = 3
	// drainMargin is how long before the end of the grace period the process
	// exits.
	drainMargin       = 600 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// drainer runs the drain of this instance. Unlike an instance that was started
// with the serve command, it accepts requests of late callers until it exits, if
// they can finish in time.
type drainer struct {
	mu      sync.Mutex
	machine drain.Machine
	once    sync.Once
	// When the drain starts, requested is closed, and announce gets one value,
	// upon which the peers are informed at once.
	requested   chan struct{}
	notifyPeers chan struct{}
}

func (d *drainer) init(grace, entryLifetime time.Duration) {
	d.machine = drain.Machine{EntryLifetime: lateCallerLifetimes*entryLifetime - drain.DefaultMargin, Grace: max(grace-drainMargin, 1)}
	d.requested = make(chan struct{})
	d.notifyPeers = make(chan struct{}, 1)
}

func (d *drainer) step(now time.Time, ev drain.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Step(now, ev)
}

func (d *drainer) started() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Started()
}

func (d *drainer) done() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Done()
}

// remaining returns how long a request that is accepted now may run.
func (d *drainer) remaining(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.RemainingGrace(now)
}

// Drain starts the graceful shutdown: Run returns once callers no longer know
// this instance and the requests in progress have ended, or the grace period is
// over. Repeated calls have no effect.
func (r *Router) Drain() {
	r.drain.once.Do(func() {
		r.drain.step(time.Now(), drain.Requested{})
		close(r.drain.requested)
		r.drain.notifyPeers <- struct{}{}
		klog.InfoS("leaving", "in_flight", r.inFlight.Load())
	})
}

// waitForDrain returns once the instance is drained or ctx ends.
func (r *Router) waitForDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-r.drain.requested:
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !r.drain.done() {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.drain.step(now, drain.InFlight{Requests: int(r.inFlight.Load())})
		}
	}
	return nil
}
