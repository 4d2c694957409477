package leases_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/instance/internal/memstore"
	"samphirehead/instance/leases"
	"samphirehead/state/id"
)

// candidate is one instance that competes for the lease.
type candidate struct {
	lease     *leases.Lease
	working   atomic.Bool
	cancel    context.CancelFunc
	runResult chan error
}

func startCandidate(t *testing.T, table leases.Table, self id.Instance) *candidate {
	t.Helper()
	c := &candidate{runResult: make(chan error, 1)}
	c.lease = &leases.Lease{Name: "work", Self: self, Table: table, Work: func(ctx context.Context) {
		c.working.Store(true)
		<-ctx.Done()
		c.working.Store(false)
	}}
	ctx, cancel := context.WithCancel(t.Context())
	c.cancel = cancel
	go func() { c.runResult <- c.lease.Run(ctx) }()
	synctest.Wait()
	return c
}

func (c *candidate) stop(t *testing.T) {
	t.Helper()
	c.cancel()
	if err := <-c.runResult; err != nil {
		t.Error(err)
	}
}

func TestOnlyHolderWorksUntilRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &memstore.Table{}
		a := startCandidate(t, table, "a")
		b := startCandidate(t, table, "b")
		time.Sleep(time.Minute)
		if !a.working.Load() || b.working.Load() {
			t.Fatalf("working: a %v, b %v", a.working.Load(), b.working.Load())
		}
		a.stop(t)
		time.Sleep(5 * time.Second)
		if a.working.Load() || !b.working.Load() {
			t.Errorf("after the release: a %v, b %v", a.working.Load(), b.working.Load())
		}
		b.stop(t)
	})
}

func TestWorkStopsDuringTableOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &memstore.Table{}
		a := startCandidate(t, table, "a")
		table.SetFaults(memstore.Faults{Hung: true})
		time.Sleep(10 * time.Second)
		synctest.Wait()
		if a.working.Load() {
			t.Error("work continues after the lease has ended")
		}
		table.SetFaults(memstore.Faults{})
		time.Sleep(20 * time.Second)
		synctest.Wait()
		if !a.working.Load() {
			t.Error("the lease was not acquired again after the outage")
		}
		a.stop(t)
	})
}
