// Package loadexchange exchanges load reports between instances.
package loadexchange

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/membership"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

const (
	// Interval is the time between two rounds of exchanges.
	Interval = 50 * time.Millisecond

	// fanout is the number of instances that each interval sends to.
	fanout  = 3
	timeout = 300 * time.Millisecond
	// maxInFlight bounds the exchanges in progress, since unresponsive
	// instances occupy theirs for the whole timeout.
	maxInFlight = 16
)

// Exchange sends the load report of this instance to other instances and
// receives theirs. Its exported fields are set before Run.
type Exchange struct {
	// Peers lists the other instances that are live.
	Peers func() []membership.Record
	// Remote returns the client of the instance with a peer address.
	Client func(address string) peer.Load
	// State returns the current load report of this instance.
	State func() *peer.LoadState
	// Received is called with the load report of another instance.
	LoadReceived func(s *peer.LoadState)
	// Failed is called with each instance that did not answer. It must not
	// block.
	Failed func(instance id.Instance)
	Random *rand.Rand
}

var _ peer.Load = (*Exchange)(nil)

// Run exchanges load reports with some other instances, chosen at random in
// each round, until ctx ends.
func (e *Exchange) Run(ctx context.Context) error {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	done := make(chan struct{})
	inFlight := 0
	for {
		select {
		case <-ctx.Done():
			for range inFlight {
				<-done
			}
			return nil
		case <-done:
			inFlight--
		case <-ticker.C:
			for _, r := range e.choosePeers(min(fanout, maxInFlight-inFlight)) {
				inFlight++
				go func() {
					e.exchange(ctx, r)
					done <- struct{}{}
				}()
			}
		}
	}
}

func (e *Exchange) choosePeers(limit int) []membership.Record {
	peers := e.Peers()
	e.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(limit, len(peers))]
}

func (e *Exchange) exchange(ctx context.Context, r membership.Record) {
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := e.Client(r.PeerAddress).Tell(timeoutCtx, e.State())
	switch {
	case err == nil:
		e.LoadReceived(reply)
	case ctx.Err() == nil:
		klog.V(2).InfoS("load exchange failed", "peer", r.Instance, "err", err)
		e.Failed(r.Instance)
	}
}

// Tell receives the load report of another instance and replies with that of
// this one.
func (e *Exchange) Tell(_ context.Context, s *peer.LoadState) (*peer.LoadState, error) {
	e.LoadReceived(s)
	return e.State(), nil
}
