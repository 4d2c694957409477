package limits_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"samphirehead/coordination/membership"
	"samphirehead/instance/limits"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// remote calls another instance directly, or fails if down is set.
type limitClient struct {
	target *limits.Limits
	down   bool
}

func (r limitClient) Borrow(ctx context.Context, q *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	if r.down {
		return nil, errors.New("connection refused")
	}
	return r.target.Borrow(ctx, q)
}

// startInstances runs n instances that share the limit of one workspace.
func startInstances(t *testing.T, n int, rate float64, down bool) []*limits.Limits {
	t.Helper()
	all := make([]*limits.Limits, n)
	var records []membership.Record
	for i := range n {
		name := fmt.Sprint("i", i)
		records = append(records, membership.Record{
			Instance: id.Instance(name), Incarnation: 1, State: membership.Alive, Manifest: 1, PeerAddress: name,
		})
	}
	for i := range n {
		all[i] = &limits.Limits{
			Self:    records[i].Instance,
			Members: func() []membership.Record { return records },
			Client: func(address string) peer.Limit {
				for j := range n {
					if address == records[j].PeerAddress {
						return limitClient{target: all[j], down: down}
					}
				}
				return nil
			},
			Stamp:         func() *peer.Stamp { return nil },
			StampReceived: func(*peer.Stamp) {},
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, n)
	for _, l := range all {
		l.Configure([]manifest.Workspace{{Name: "limited", RequestsPerSecond: rate}, {Name: "free"}})
		go func() { done <- l.Run(ctx) }()
	}
	t.Cleanup(func() {
		cancel()
		for range n {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
	})
	return all
}

// TestInstancesShareOneLimit checks that several instances together admit no
// more than the bound of one limit, and that each denial has a retry delay.
func TestInstancesShareOneLimit(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("homes down=%v", down), func(t *testing.T) {
			const n, rate, tries = 4, 100, 400
			all := startInstances(t, n, rate, down)
			started := time.Now()
			admitted := 0
			for i := range n * tries {
				retryAfter, ok := all[i%n].Admit(t.Context(), "limited", 0)
				if ok {
					admitted++
				} else if retryAfter <= 0 {
					t.Fatal("denied without a retry delay")
				}
			}
			elapsed := time.Since(started).Seconds()
			// With remote homes down, the limit home still lends to its own
			// borrower, while the other instances admit their shares.
			bound := rate*elapsed + 3*rate
			if down {
				bound += rate * elapsed
			}
			if float64(admitted) > bound {
				t.Errorf("%d admitted in %.2f s, bound %.0f", admitted, elapsed, bound)
			}
			if admitted < rate/4 {
				t.Errorf("only %d admitted", admitted)
			}
			if _, ok := all[0].Admit(t.Context(), "free", 1e6); !ok {
				t.Error("a workspace without limits is denied")
			}
		})
	}
}
