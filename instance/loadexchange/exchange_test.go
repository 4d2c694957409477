package loadexchange_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/coordination/membership"
	"samphirehead/instance/loadexchange"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// instance is a peer that answers. An unreachable one refuses the connection; an
// unresponsive one accepts the call and never answers.
type instance struct {
	name                      string
	unreachable, unresponsive bool
}

func (i instance) Tell(ctx context.Context, _ *peer.LoadState) (*peer.LoadState, error) {
	if i.unreachable {
		return nil, errors.New("connection refused")
	}
	if i.unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return stateOf(i.name), nil
}

func stateOf(name string) *peer.LoadState {
	return &peer.LoadState{Stamp: &peer.Stamp{Instance: name}}
}

// fixture is an exchange with other instances. The address of an instance is its
// name.
type fixture struct {
	*loadexchange.Exchange
	mu       sync.Mutex
	received []string
	failed   []id.Instance
}

func newFixture(others ...instance) *fixture {
	f := &fixture{}
	f.Exchange = &loadexchange.Exchange{
		Peers: func() []membership.Record {
			var records []membership.Record
			for _, o := range others {
				records = append(records, membership.Record{Instance: id.Instance(o.name), PeerAddress: o.name})
			}
			return records
		},
		Client: func(address string) peer.Load {
			return others[slices.IndexFunc(others, func(o instance) bool { return o.name == address })]
		},
		State: func() *peer.LoadState { return stateOf("self") },
		LoadReceived: func(s *peer.LoadState) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.received = append(f.received, s.Stamp.Instance)
		},
		Failed: func(instance id.Instance) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.failed = append(f.failed, instance)
		},
		Random: rand.New(rand.NewPCG(1, 1)),
	}
	return f
}

// runFor runs the exchange for d.
func (f *fixture) runFor(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
}

// A failed exchange must be reported, so that the membership probes the instance
// at once and the slots that it used become free. Guards against waiting for the
// next scheduled probe after an instance has crashed.
func TestFailedExchangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(instance{name: "a"}, instance{name: "b", unreachable: true})
		f.runFor(t, 2*loadexchange.Interval)
		if !slices.Contains(f.failed, "b") || slices.Contains(f.failed, "a") {
			t.Errorf("failed: %v, want b alone", f.failed)
		}
		if !slices.Contains(f.received, "a") {
			t.Errorf("received from %v, want a", f.received)
		}
	})
}

// Instances that do not answer delay no exchange with others. Exchanges that are
// cancelled because this instance stops are not reported as failed.
func TestUnresponsiveInstancesDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(instance{name: "a"}, instance{name: "b", unresponsive: true}, instance{name: "c", unresponsive: true})
		f.runFor(t, 10*time.Second)
		if n := len(f.received); n < 100 {
			t.Errorf("received %d reports of the responsive instance in 10 s, want at least 100", n)
		}
		if !slices.Contains(f.failed, "b") || !slices.Contains(f.failed, "c") {
			t.Errorf("failed: %v, want b and c among them", f.failed)
		}
		stopped := newFixture(instance{name: "b", unresponsive: true})
		stopped.runFor(t, 4*loadexchange.Interval)
		if len(stopped.failed) > 0 {
			t.Errorf("failed: %v, though this instance stopped", stopped.failed)
		}
	})
}

func TestTellRepliesWithOwnLoad(t *testing.T) {
	f := newFixture()
	reply, err := f.Tell(t.Context(), stateOf("other"))
	if err != nil || reply.Stamp.Instance != "self" || !slices.Equal(f.received, []string{"other"}) {
		t.Errorf("reply %v, %v; received from %v", reply, err, f.received)
	}
}
