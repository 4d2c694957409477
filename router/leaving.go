package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

const (
	// lateCallers is how many lifetimes of its answers the directory's callers
	// may come after the instance has left it.
	lateCallers = 3
	// leaveMargin is how long before the end of the grace the process ends.
	leaveMargin = 600 * time.Millisecond
	leavePoll   = 20 * time.Millisecond
)

// leaving tracks the end of this instance.
type leaving struct {
	once sync.Once
	// since is when it began; nil while it has not.
	since atomic.Pointer[time.Time]
	grace time.Duration
	// asked is closed, and announced receives, when it begins.
	asked     chan struct{}
	announced chan struct{}
}

func (l *leaving) init(grace time.Duration) {
	l.grace = grace
	l.asked = make(chan struct{})
	l.announced = make(chan struct{}, 1)
}

func (l *leaving) begun() bool { return l.since.Load() != nil }

// left returns how long a request that is taken now may run.
func (l *leaving) left(now time.Time) time.Duration {
	since := l.since.Load()
	if since == nil {
		return l.grace
	}
	return since.Add(l.grace - leaveMargin).Sub(now)
}

// Leave makes the instance end once callers have gone and its requests are
// done.
func (r *Router) Leave() {
	r.leaving.once.Do(func() {
		now := time.Now()
		r.leaving.since.Store(&now)
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
	began := *r.leaving.since.Load()
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			late := now.Sub(began) >= lateCallers*r.Settings.EntryLifetime
			if late && r.inFlight.Load() == 0 || r.leaving.left(now) <= 0 {
				return nil
			}
		}
	}
}
