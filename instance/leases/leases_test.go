package leases_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/instance/internal/memtable"
	"samphirehead/instance/leases"
	"samphirehead/state/id"
)

// worker is one instance that competes for the lease.
type worker struct {
	lease  *leases.Lease
	busy   atomic.Bool
	cancel context.CancelFunc
	ended  chan error
}

func start(t *testing.T, table leases.Table, self id.Instance) *worker {
	t.Helper()
	w := &worker{ended: make(chan error, 1)}
	w.lease = &leases.Lease{Name: "work", Self: self, Table: table, Work: func(ctx context.Context) {
		w.busy.Store(true)
		<-ctx.Done()
		w.busy.Store(false)
	}}
	ctx, cancel := context.WithCancel(t.Context())
	w.cancel = cancel
	go func() { w.ended <- w.lease.Run(ctx) }()
	synctest.Wait()
	return w
}

func (w *worker) stop(t *testing.T) {
	t.Helper()
	w.cancel()
	if err := <-w.ended; err != nil {
		t.Error(err)
	}
}

func TestOneWorksAndHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &memtable.Table{}
		a := start(t, table, "a")
		b := start(t, table, "b")
		time.Sleep(time.Minute)
		if !a.busy.Load() || b.busy.Load() {
			t.Fatalf("working: a %v, b %v", a.busy.Load(), b.busy.Load())
		}
		a.stop(t)
		time.Sleep(5 * time.Second)
		if a.busy.Load() || !b.busy.Load() {
			t.Errorf("after the release: a %v, b %v", a.busy.Load(), b.busy.Load())
		}
		b.stop(t)
	})
}

func TestWorkStopsWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &memtable.Table{}
		a := start(t, table, "a")
		table.SetFaults(memtable.Faults{Hung: true})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if a.busy.Load() {
			t.Error("work goes on after the lease has ended")
		}
		table.SetFaults(memtable.Faults{})
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if !a.busy.Load() {
			t.Error("the lease was not taken again after the outage")
		}
		a.stop(t)
	})
}
