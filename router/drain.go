package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/leave"
)

const (
	// lateCallers is how many lifetimes of its answers the directory's callers
	// may come after the instance has left it.
	lateCallerLifetimes = 3
	// leaveMargin is how long before the end of the grace the process ends.
	drainMargin       = 600 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// leaving drives the end of this instance. Unlike one of serve it takes late
// callers' requests to its end.
type drainer struct {
	mu      sync.Mutex
	machine leave.Machine
	once    sync.Once
	// asked is closed, and announced receives, when it begins.
	requested chan struct{}
	announce  chan struct{}
}

func (d *drainer) init(grace, entryLifetime time.Duration) {
	d.machine = leave.Machine{EntryLifetime: lateCallerLifetimes*entryLifetime - leave.DefaultMargin, Grace: max(grace-drainMargin, 1)}
	d.requested = make(chan struct{})
	d.announce = make(chan struct{}, 1)
}

func (d *drainer) step(now time.Time, ev leave.Event) {
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

// left returns how long a request that is taken now may run.
func (d *drainer) remaining(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.RemainingGrace(now)
}

// Leave makes the instance end once callers have gone and its requests are
// done.
func (r *Router) Drain() {
	r.drain.once.Do(func() {
		r.drain.step(time.Now(), leave.DrainRequested{})
		close(r.drain.requested)
		r.drain.announce <- struct{}{}
		klog.InfoS("leaving", "in_flight", r.inFlight.Load())
	})
}

// leave returns when the instance may end.
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
			r.drain.step(now, leave.InFlight{Requests: int(r.inFlight.Load())})
		}
	}
	return nil
}
