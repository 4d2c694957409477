package loads_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"samphirehead/coordination/member"
	"samphirehead/instance/loads"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// instance answers, unless it is gone; a silent one never does.
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

// fixture is one exchange beside other instances, by address.
type fixture struct {
	*loads.Exchange
	mu       sync.Mutex
	received []string
	failed   []id.Instance
}

func newFixture(others ...instance) *fixture {
	f := &fixture{}
	f.Exchange = &loads.Exchange{
		Peers: func() []member.Record {
			var records []member.Record
			for _, o := range others {
				records = append(records, member.Record{Instance: id.Instance(o.name), PeerAddress: o.name})
			}
			return records
		},
		Remote: func(address string) peer.Load {
			return others[slices.IndexFunc(others, func(o instance) bool { return o.name == address })]
		},
		State: func() *peer.LoadState { return stateOf("self") },
		Received: func(s *peer.LoadState) {
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

// play lets the exchange run for a while.
func (f *fixture) runFor(t *testing.T, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	if err := f.Run(ctx); err != nil {
		t.Fatal(err)
	}
}

// Pattern: an instance dies. The next exchange tells, so that the members look
// after it at once, and its place is known as free to be taken.
func TestFailedExchangesAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(instance{name: "a"}, instance{name: "b", unreachable: true})
		f.runFor(t, 2*loads.Interval)
		if !slices.Contains(f.failed, "b") || slices.Contains(f.failed, "a") {
			t.Errorf("failed: %v, want b alone", f.failed)
		}
		if !slices.Contains(f.received, "a") {
			t.Errorf("heard %v, want a", f.received)
		}
	})
}

// Instances that do not answer hold up no others, and are not blamed for the end
// of this one.
func TestUnresponsiveInstancesDelayNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(instance{name: "a"}, instance{name: "b", unresponsive: true}, instance{name: "c", unresponsive: true})
		f.runFor(t, 10*time.Second)
		if n := len(f.received); n < 100 {
			t.Errorf("heard the one that answers %d times in 10 s", n)
		}
		if !slices.Contains(f.failed, "b") || !slices.Contains(f.failed, "c") {
			t.Errorf("failed: %v", f.failed)
		}
		stopped := newFixture(instance{name: "b", unresponsive: true})
		stopped.runFor(t, 4*loads.Interval)
		if len(stopped.failed) > 0 {
			t.Errorf("failed: %v, though this instance ended", stopped.failed)
		}
	})
}

func TestTellRepliesWithOwnLoad(t *testing.T) {
	f := newFixture()
	reply, err := f.Tell(t.Context(), stateOf("other"))
	if err != nil || reply.Stamp.Instance != "self" || !slices.Equal(f.received, []string{"other"}) {
		t.Errorf("answer %v, %v; heard %v", reply, err, f.received)
	}
}
