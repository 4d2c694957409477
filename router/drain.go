package router

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/drain"
)

const (
	// lateCallerLifetimes is how long callers may still connect after the
	// directory has stopped listing the instance, as a multiple of the lifetime
	// of the directory's answers.
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
	// inFlight counts the callers' requests in progress. None begins once machine is
	// done, so that none is cut because the process did not know of it.
	inFlight int
	once     sync.Once
	// requested is closed when the drain starts. notifyPeers then receives one
	// value, which makes gossip inform the peers at once.
	requested   chan struct{}
	notifyPeers chan struct{}
}

func (d *drainer) init(grace, entryLifetime time.Duration) {
	d.machine = drain.Machine{EntryLifetime: lateCallerLifetimes*entryLifetime - drain.DefaultMargin, Grace: max(grace-drainMargin, 1)}
	d.requested = make(chan struct{})
	d.notifyPeers = make(chan struct{}, 1)
}

// begin counts a request. It returns false, and does not count it, if the process is about
// to exit.
func (d *drainer) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.machine.Done() {
		return false
	}
	d.inFlight++
	return true
}

// end counts the end of a request that was counted.
func (d *drainer) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inFlight--
}

// requestsInFlight returns the number of requests in progress.
func (d *drainer) requestsInFlight() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inFlight
}

// advance passes the number of requests in progress to the machine.
func (d *drainer) advance(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Step(now, drain.InFlight{Requests: d.inFlight})
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

// Drain starts the graceful shutdown: Run returns once no caller can have this
// instance in a cached directory answer and the requests in progress have ended,
// or when the grace period is over. Repeated calls have no effect.
func (r *Router) Drain() {
	r.drain.once.Do(func() {
		r.drain.step(time.Now(), drain.Requested{})
		close(r.drain.requested)
		r.drain.notifyPeers <- struct{}{}
		klog.InfoS("drain started", "in_flight", r.drain.requestsInFlight())
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
			r.drain.advance(now)
		}
	}
	return nil
}
