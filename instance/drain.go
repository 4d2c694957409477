package instance

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/drain"
)

// drainState guards the state machine of the instance's drain.
type drainState struct {
	mu      sync.Mutex
	machine drain.Machine
	// requested is closed by the first Drain.
	requested chan struct{}
	once      sync.Once
}

func (d *drainState) init() { d.requested = make(chan struct{}) }

// accepting reports whether new requests are accepted.
func (d *drainState) accepting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Accepting()
}

func (d *drainState) step(ev drain.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.machine.Step(time.Now(), ev)
}

func (d *drainState) done() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.machine.Done()
}

// Drain starts a graceful shutdown. Callers keep the list of entries for its
// lifetime, so new requests are accepted until the lists that include this
// instance have expired. Run returns when the requests in progress have ended.
// Further calls change nothing.
func (i *Instance) Drain() {
	i.drain.once.Do(func() {
		klog.InfoS("drain started", "instance", i.Settings.Instance)
		i.drain.step(drain.Requested{})
		i.members.Leave()
		close(i.drain.requested)
	})
}

// runDrain waits for Drain, and then until the requests in progress have ended
// and the outcomes of at-most-once calls are recorded.
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
			i.drain.step(drain.InFlight{Requests: int(i.inFlight.Load())})
		}
	}
	i.awaitRecords(ctx, drainRecordsTimeout)
	return nil
}
