// Package loads exchanges what instances have in progress.
package loads

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/member"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

const (
	// Interval is the time between two exchanges.
	Interval = 50 * time.Millisecond

	// fanout is the number of instances in one exchange.
	fanout  = 3
	timeout = 300 * time.Millisecond
	// maxRunning bounds the exchanges in progress, while some do not answer.
	maxInFlight = 16
)

// Exchange tells other instances what this one has in progress, and hears them.
// Its exported fields are set before Run.
type Exchange struct {
	// Peers lists the other instances that are live.
	Peers func() []member.Record
	// Remote returns the client of another instance.
	Remote func(address string) peer.Load
	// State makes the message of this instance.
	State func() *peer.LoadState
	// Hear takes in the message of another instance.
	Received func(s *peer.LoadState)
	// Failed hears of each instance that did not answer. It must not block.
	Failed func(instance id.Instance)
	Random *rand.Rand
}

var _ peer.Load = (*Exchange)(nil)

// Run exchanges loads with some other instances, drawn anew each time, until ctx
// ends.
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

func (e *Exchange) choosePeers(limit int) []member.Record {
	peers := e.Peers()
	e.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(limit, len(peers))]
}

func (e *Exchange) exchange(ctx context.Context, r member.Record) {
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := e.Remote(r.PeerAddress).Tell(timeoutCtx, e.State())
	switch {
	case err == nil:
		e.Received(reply)
	case ctx.Err() == nil:
		klog.V(2).InfoS("load not told", "peer", r.Instance, "err", err)
		e.Failed(r.Instance)
	}
}

// Tell hears another instance and answers with this one's load.
func (e *Exchange) Tell(_ context.Context, s *peer.LoadState) (*peer.LoadState, error) {
	e.Received(s)
	return e.State(), nil
}
