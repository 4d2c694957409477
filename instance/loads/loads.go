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
	maxRunning = 16
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
	Hear func(s *peer.LoadState)
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
	ended := make(chan struct{})
	running := 0
	for {
		select {
		case <-ctx.Done():
			for range running {
				<-ended
			}
			return nil
		case <-ended:
			running--
		case <-ticker.C:
			for _, r := range e.draw(min(fanout, maxRunning-running)) {
				running++
				go func() {
					e.tell(ctx, r)
					ended <- struct{}{}
				}()
			}
		}
	}
}

func (e *Exchange) draw(most int) []member.Record {
	peers := e.Peers()
	e.Random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(most, len(peers))]
}

func (e *Exchange) tell(ctx context.Context, r member.Record) {
	bounded, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := e.Remote(r.PeerAddress).Tell(bounded, e.State())
	switch {
	case err == nil:
		e.Hear(answer)
	case ctx.Err() == nil:
		klog.V(2).InfoS("load not told", "peer", r.Instance, "err", err)
		e.Failed(r.Instance)
	}
}

// Tell hears another instance and answers with this one's load.
func (e *Exchange) Tell(_ context.Context, s *peer.LoadState) (*peer.LoadState, error) {
	e.Hear(s)
	return e.State(), nil
}
