package instance

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/quarantine"
	"samphirehead/instance/members"
	"samphirehead/protocol/exchange"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/transport/peer"
	"samphirehead/transport/platform"
)

const (
	// crashReportTimeout bounds how long a request waits until other instances
	// have received a crash report. maxDirectReports bounds the instances that
	// it is sent to directly; gossip reaches the rest.
	crashReportTimeout = 250 * time.Millisecond
	maxDirectReports   = 32
)

// stamp identifies this instance and its active manifest in messages to peers.
func (i *Instance) stamp() *wire.Stamp {
	return &wire.Stamp{
		Instance:        string(i.Settings.Instance),
		Incarnation:     uint64(i.incarnation),
		ManifestVersion: uint64(i.version()),
	}
}

// observeStamp takes note of the manifest version in a peer's message.
func (i *Instance) observeStamp(s *wire.Stamp) {
	if s == nil {
		return
	}
	i.manifests.ReceiveVersion(id.ManifestVersion(s.ManifestVersion), id.Instance(s.Instance))
}

func (i *Instance) version() id.ManifestVersion {
	current := i.active.Load()
	if current == nil {
		return 0
	}
	return current.version
}

func (i *Instance) buildMembers() {
	i.members = &members.Members{
		Machine:       &membership.Machine{Self: selfRecord(i), Random: newRandom(i.incarnation)},
		Client:        i.clients.Member,
		ClassifyError: peer.ClassifyError,
		List:          i.listMembers,
		Stamp:         i.stamp,
		StampReceived: i.observeStamp,
		CrashReceived: i.crashReceived,
		Manifest:      i.manifestResponse,
	}
}

// listMembers returns the instances on the platform's list that are not draining,
// and the peers of the settings. It fails only if there are none and the list
// can't be read.
func (i *Instance) listMembers(ctx context.Context) ([]membership.Record, error) {
	listed, _, err := i.platform.Instances(ctx)
	records := make([]membership.Record, 0, len(listed)+len(i.Settings.Peers))
	for _, l := range listed {
		if l.State == platform.InstanceLeaving {
			continue
		}
		records = append(records, membership.Record{
			Instance:      l.Instance,
			State:         membership.Alive,
			FailureDomain: l.FailureDomain,
			Region:        l.Region,
			CallerAddress: l.CallerAddress,
			PeerAddress:   l.PeerAddress,
		})
	}
	for _, p := range i.Settings.Peers {
		records = append(records, membership.Record{
			Instance:      p.Instance,
			State:         membership.Alive,
			FailureDomain: p.FailureDomain,
			PeerAddress:   p.PeerAddress,
		})
	}
	if len(records) > 0 {
		return records, nil
	}
	return nil, err
}

// reportCrash records that an upstream crashed while it ran a request, and
// reports it to the live instances. It returns when they have answered or after
// crashReportTimeout, so that the request is suspected at whichever instance the
// caller sends it again.
func (i *Instance) reportCrash(u id.Upstream, request id.Request, f id.Fingerprint) {
	c := quarantine.Record{Fingerprint: f, Upstream: u, Request: request, At: time.Now()}
	i.crashReceived(c)
	i.members.ReportCrash(c)
	ctx, cancel := context.WithTimeout(context.Background(), crashReportTimeout)
	defer cancel()
	results := make(chan error, maxDirectReports)
	sent := 0
	for _, r := range i.members.Live() {
		if r.Instance == i.Settings.Instance || sent == maxDirectReports {
			continue
		}
		sent++
		go func() { results <- i.sendCrash(ctx, r, c) }()
	}
	for range sent {
		if err := <-results; err != nil {
			klog.V(1).InfoS("could not send a crash report to a peer", "upstream", u, "err", err)
		}
	}
}

func (i *Instance) sendCrash(ctx context.Context, r membership.Record, c quarantine.Record) error {
	_, err := i.clients.Member(r.PeerAddress).Probe(ctx, &wire.ProbeRequest{
		Stamp:   i.stamp(),
		Crashes: exchange.CrashesToProto([]quarantine.Record{c}, c.At),
	})
	return fault.Wrap("report crash", string(r.Instance), err)
}

// gossipCrashes gossips crashes that this instance has detected, without waiting.
func (i *Instance) gossipCrashes(crashes []quarantine.Record) {
	i.runInBackground(func(context.Context) error {
		for _, c := range crashes {
			i.members.ReportCrash(c)
		}
		return nil
	})
}

// crashReceived adds a crash report to the suspects.
func (i *Instance) crashReceived(c quarantine.Record) {
	i.dispatcher.ReceiveCrashes([]quarantine.Record{c})
}

// livePeers returns the live members without this instance.
func (i *Instance) livePeers() []membership.Record {
	return slices.DeleteFunc(slices.Clone(i.members.Live()), func(r membership.Record) bool {
		return r.Instance == i.Settings.Instance
	})
}

func (i *Instance) loadState() *wire.LoadState {
	s := i.dispatcher.Load()
	s.Stamp = i.stamp()
	return s
}

func (i *Instance) loadReceived(s *wire.LoadState) {
	i.observeStamp(s.Stamp)
	i.dispatcher.ReceiveLoad(id.Instance(s.GetStamp().GetInstance()), s)
}

// controlServer answers the control requests that other instances send on behalf
// of operators.
type controlServer Instance

var _ wire.Control = (*controlServer)(nil)

// Drain starts the drain of this instance.
func (c *controlServer) Drain(_ context.Context, r *wire.DrainRequest) (*wire.DrainResponse, error) {
	i := (*Instance)(c)
	i.observeStamp(r.Stamp)
	i.Drain()
	return &wire.DrainResponse{Stamp: i.stamp()}, nil
}

// Status returns the active manifest, and the requests in progress and queued.
func (c *controlServer) Status(_ context.Context, r *wire.StatusRequest) (*wire.StatusResponse, error) {
	i := (*Instance)(c)
	i.observeStamp(r.Stamp)
	out := &wire.StatusResponse{Stamp: i.stamp(), InFlight: i.inFlight.Load()}
	if current := i.active.Load(); current != nil {
		out.ManifestTakenUnixUs = current.activatedAt.UnixMicro()
	}
	for class, n := range i.dispatcher.Queued() {
		out.Queued = append(out.Queued, &wire.QueuedClass{Class: string(class), Requests: int64(n)})
	}
	return out, nil
}

// runInBackground queues a short call whose result nobody waits for. The call is
// dropped if the queue is full. Its context ends with the instance.
func (i *Instance) runInBackground(call func(context.Context) error) {
	select {
	case i.backgroundCalls <- call:
	default:
		klog.V(1).InfoS("background queue is full; call dropped")
	}
}

// runBackgroundCalls runs the queued calls until ctx ends, at most
// maxBackgroundCalls at a time.
func (i *Instance) runBackgroundCalls(ctx context.Context) error {
	done := make(chan error)
	running := 0
	for {
		incoming := i.backgroundCalls
		if running >= maxBackgroundCalls {
			incoming = nil
		}
		select {
		case <-ctx.Done():
			var errs error
			for range running {
				errs = errors.CombineErrors(errs, <-done)
			}
			klog.V(1).InfoS("background calls ended", "err", errs)
			return nil
		case err := <-done:
			running--
			if err != nil {
				klog.V(1).InfoS("background call failed", "err", err)
			}
		case call := <-incoming:
			running++
			go func() { done <- call(ctx) }()
		}
	}
}
