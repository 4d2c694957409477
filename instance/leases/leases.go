// Package leases competes for leases in the platform's table and runs the work
// that needs them.
package leases

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"samphirehead/coordination/lease"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

const (
	operationTimeout = 2 * time.Second
	// releaseTimeout bounds the release of the lease when Run ends.
	releaseTimeout = 2 * time.Second
)

// Table is the part of the platform's table service that a Lease uses.
type Table interface {
	Write(ctx context.Context, writes []record.Write) record.WriteResult
	Read(ctx context.Context, keys []record.Key) ([]record.Row, error)
}

// Lease competes for one lease and runs Work while it is held. Its exported
// fields are set before Run.
type Lease struct {
	Name  string
	Self  id.Instance
	Table Table
	// Work runs while the lease is held. Its context ends when the lease is
	// lost, and it must return soon after that. If it returns earlier, it is
	// not started again before the lease is acquired anew.
	Work func(ctx context.Context)

	mu      sync.Mutex
	machine *lease.Lease

	events     chan lease.Event
	operations sync.WaitGroup
	wakeTimes  []time.Time
	// cancelWork ends the context of Work; nil if there is no work to stop.
	cancelWork context.CancelFunc
	workDone   chan struct{}
}

// Run competes until ctx ends; then it stops the work and releases the lease.
func (l *Lease) Run(ctx context.Context) error {
	l.mu.Lock()
	l.machine = &lease.Lease{Key: lease.NewKey(l.Name), Holder: l.Self, Incarnation: id.Attempt(uuid.NewString())}
	l.mu.Unlock()
	l.events = make(chan lease.Event)
	// The lease is released after ctx has ended, which needs another context.
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer l.operations.Wait()
	defer cancel()
	l.step(workCtx, lease.Started{})
	l.handleEvents(ctx, workCtx, nil)
	l.stopWork()
	l.step(workCtx, lease.Resigned{})
	releaseTimer := time.NewTimer(releaseTimeout)
	defer releaseTimer.Stop()
	l.handleEvents(context.WithoutCancel(ctx), workCtx, releaseTimer.C)
	return nil
}

// handleEvents feeds the machine until it is idle, ctx ends or timeout fires.
func (l *Lease) handleEvents(ctx, workCtx context.Context, timeout <-chan time.Time) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for !l.idle() {
		timer.Reset(l.timeUntilWake(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case ev := <-l.events:
			l.step(workCtx, ev)
		case <-timer.C:
			l.dropPastWakeTimes(time.Now())
			l.step(workCtx, lease.Ticked{})
		}
	}
}

func (l *Lease) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Idle()
}

func (l *Lease) step(workCtx context.Context, ev lease.Event) {
	l.mu.Lock()
	effects := l.machine.Step(time.Now(), ev)
	l.mu.Unlock()
	for _, effect := range effects {
		l.execute(workCtx, effect)
	}
}

func (l *Lease) execute(workCtx context.Context, effect lease.Effect) {
	switch e := effect.(type) {
	case lease.ReadRow:
		l.startOperation(workCtx, func(ctx context.Context) lease.Event { return l.read(ctx, e.Key) })
	case lease.WriteRow:
		l.startOperation(workCtx, func(ctx context.Context) lease.Event {
			return lease.RowWritten{Result: l.Table.Write(ctx, []record.Write{e.Write})}
		})
	case lease.WakeAt:
		l.wakeTimes = append(l.wakeTimes, e.Time)
	case lease.Acquired:
		klog.InfoS("lease acquired", "lease", l.Name, "number", e.FencingNumber)
		l.startWork(workCtx)
	case lease.Lost:
		klog.InfoS("lease ended", "lease", l.Name, "number", e.FencingNumber)
		l.stopWork()
	}
}

// startOperation runs one operation and hands its event to handleEvents.
func (l *Lease) startOperation(workCtx context.Context, operation func(context.Context) lease.Event) {
	l.operations.Go(func() {
		ctx, cancel := context.WithTimeout(workCtx, operationTimeout)
		defer cancel()
		ev := operation(ctx)
		select {
		case l.events <- ev:
		case <-workCtx.Done():
		}
	})
}

func (l *Lease) read(ctx context.Context, key record.Key) lease.Event {
	rows, err := l.Table.Read(ctx, []record.Key{key})
	if err != nil {
		return lease.RowRead{Err: err}
	}
	if len(rows) == 0 {
		return lease.RowRead{}
	}
	return lease.RowRead{Row: rows[0]}
}

func (l *Lease) startWork(workCtx context.Context) {
	ctx, cancel := context.WithCancel(workCtx)
	done := make(chan struct{})
	l.cancelWork, l.workDone = cancel, done
	go func() {
		defer close(done)
		l.Work(ctx)
	}()
}

func (l *Lease) stopWork() {
	if l.cancelWork == nil {
		return
	}
	l.cancelWork()
	<-l.workDone
	l.cancelWork = nil
}

func (l *Lease) timeUntilWake(now time.Time) time.Duration {
	wait := time.Hour
	for _, w := range l.wakeTimes {
		wait = min(wait, max(0, w.Sub(now)))
	}
	return wait
}

// removeDueWakes removes the wake times that have passed.
func (l *Lease) dropPastWakeTimes(now time.Time) {
	l.wakeTimes = slices.DeleteFunc(l.wakeTimes, func(w time.Time) bool { return !w.After(now) })
}
