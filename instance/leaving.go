package instance

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/leave"
)

// leaving drives the drain of the instance.
type leaving struct {
	mu      sync.Mutex
	machine leave.Machine
	asked   chan struct{}
	once    sync.Once
}

func (l *leaving) init() { l.asked = make(chan struct{}) }

// accepting reports whether new work is taken.
func (l *leaving) accepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Accepting()
}

func (l *leaving) step(ev leave.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine.Step(time.Now(), ev)
}

func (l *leaving) done() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Done()
}

// Drain makes the instance leave: it takes no new work after the lifetime of
// the answers that name it, and Run returns when all its work has ended. It
// may be called repeatedly.
func (i *Instance) Drain() {
	i.leaving.once.Do(func() {
		klog.InfoS("instance is leaving", "instance", i.Settings.Instance)
		i.leaving.step(leave.DrainRequested{})
		i.members.Leave()
		close(i.leaving.asked)
	})
}

// runLeaving waits for the drain, then until the work in progress has ended.
func (i *Instance) runLeaving(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.leaving.asked:
	}
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !i.leaving.done() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.leaving.step(leave.InFlight{Requests: int(i.inFlight.Load())})
		}
	}
	i.awaitRecords(ctx, lateRecords)
	return nil
}
