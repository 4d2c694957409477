package instance

import (
	"context"
	"math/rand/v2"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/member"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/id"
)

const (
	// tellInterval is the time between two exchanges of loads, tellFanout the
	// number of instances in one.
	tellInterval = 50 * time.Millisecond
	tellFanout   = 3
	tellTimeout  = 300 * time.Millisecond
	// maxTelling bounds the exchanges in progress, while some do not answer.
	maxTelling = 16
)

// tellLoads exchanges loads with some other instances until ctx ends.
func (i *Instance) tellLoads(ctx context.Context) error {
	ticker := time.NewTicker(tellInterval)
	defer ticker.Stop()
	random := newRandom(i.incarnation)
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
			for _, r := range i.drawPeers(random, min(tellFanout, maxTelling-running)) {
				running++
				go func() {
					i.tellLoad(ctx, r)
					ended <- struct{}{}
				}()
			}
		}
	}
}

// drawPeers returns some other instances that are live, at random.
func (i *Instance) drawPeers(random *rand.Rand, most int) []member.Record {
	live := i.members.Live()
	peers := make([]member.Record, 0, len(live))
	for _, r := range live {
		if r.Instance != i.Settings.Instance {
			peers = append(peers, r)
		}
	}
	random.Shuffle(len(peers), func(a, b int) { peers[a], peers[b] = peers[b], peers[a] })
	return peers[:min(most, len(peers))]
}

func (i *Instance) tellLoad(ctx context.Context, r member.Record) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	answer, err := i.clients.Load(r.PeerAddress).Tell(ctx, i.loadState())
	if err != nil {
		klog.V(2).InfoS("load not told", "peer", r.Instance, "err", err)
		return
	}
	i.hearLoad(answer)
}

func (i *Instance) loadState() *wire.LoadState {
	s := i.direct.Load()
	s.Stamp = i.stamp()
	return s
}

func (i *Instance) hearLoad(s *wire.LoadState) {
	i.seen(s.Stamp)
	i.direct.HearLoad(id.Instance(s.GetStamp().GetInstance()), s)
}

// loadServer answers other instances that tell their loads.
type loadServer Instance

var _ wire.Load = (*loadServer)(nil)

// Tell hears another instance and answers with this one's load.
func (l *loadServer) Tell(_ context.Context, s *wire.LoadState) (*wire.LoadState, error) {
	i := (*Instance)(l)
	i.hearLoad(s)
	return i.loadState(), nil
}
