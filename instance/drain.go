package instance

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/leave"
)

// leaving drives the drain of the instance.
type drainState struct {
	mu        sync.Mutex
	machine   leave.Machine
	requested chan struct{}
	once      sync.Once
}

func (d *drainState) init() { d.requested = make(chan struct{}) }

// accepting reports whether new work is taken.
func (d *drainState) accepting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Accepting()
}

func (d *drainState) step(ev leave.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Step(time.Now(), ev)
}

func (d *drainState) done() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Done()
}

// Drain makes the instance leave: it takes no new work after the lifetime of
// the answers that name it, and Run returns when all its work has ended. It
// may be called repeatedly.
func (i *Instance) Drain() {
	i.drain.once.Do(func() {
		klog.InfoS("instance is leaving", "instance", i.Settings.Instance)
		i.drain.step(leave.DrainRequested{})
		i.members.Leave()
		close(i.drain.requested)
	})
}

// runLeaving waits for the drain, then until the work in progress has ended.
func (i *Instance) runDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-i.drain.requested:
	}
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for !i.drain.done() {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.drain.step(leave.InFlight{Requests: int(i.inFlight.Load())})
		}
	}
	i.awaitRecords(ctx, drainRecordsTimeout)
	return nil
}
