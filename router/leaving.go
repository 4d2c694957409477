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
	lateCallers = 3
	// leaveMargin is how long before the end of the grace the process ends.
	leaveMargin = 600 * time.Millisecond
	leavePoll   = 20 * time.Millisecond
)

// leaving drives the end of this instance. Unlike one of serve it takes late
// callers' requests to its end.
type leaving struct {
	mu      sync.Mutex
	machine leave.Machine
	once    sync.Once
	// asked is closed, and announced receives, when it begins.
	asked     chan struct{}
	announced chan struct{}
}

func (l *leaving) init(grace, entryLifetime time.Duration) {
	l.machine = leave.Machine{EntryLifetime: lateCallers*entryLifetime - leave.DefaultMargin, Grace: max(grace-leaveMargin, 1)}
	l.asked = make(chan struct{})
	l.announced = make(chan struct{}, 1)
}

func (l *leaving) step(now time.Time, ev leave.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Step(now, ev)
}

func (l *leaving) begun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Started()
}

func (l *leaving) done() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Done()
}

// left returns how long a request that is taken now may run.
func (l *leaving) left(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.RemainingGrace(now)
}

// Leave makes the instance end once callers have gone and its requests are
// done.
func (r *Router) Leave() {
	r.leaving.once.Do(func() {
		r.leaving.step(time.Now(), leave.DrainRequested{})
		close(r.leaving.asked)
		r.leaving.announced <- struct{}{}
		klog.InfoS("leaving", "in_flight", r.inFlight.Load())
	})
}

// leave returns when the instance may end.
func (r *Router) leave(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-r.leaving.asked:
	}
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for !r.leaving.done() {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			r.leaving.step(now, leave.InFlight{Requests: int(r.inFlight.Load())})
		}
	}
	return nil
}
