package instance

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/member"
	"samphirehead/coordination/suspect"
	"samphirehead/instance/members"
	"samphirehead/protocol/exchange"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/transport/peer"
	"samphirehead/transport/platform"
)

const (
	// crashTimeout bounds how long a request waits until others know of a
	// crash, and maxTold how many are told directly; gossip reaches the rest.
	crashReportTimeout = 250 * time.Millisecond
	maxDirectReports   = 32
)

// stamp says who speaks and which manifest is in force here.
func (i *Instance) stamp() *wire.Stamp {
	return &wire.Stamp{
		Instance:        string(i.Settings.Instance),
		Incarnation:     uint64(i.incarnation),
		ManifestVersion: uint64(i.version()),
	}
}

// seen takes in the stamp of a peer's message.
func (i *Instance) observeStamp(s *wire.Stamp) {
	if s == nil {
		return
	}
	i.manifests.ObserveVersion(id.ManifestVersion(s.ManifestVersion), id.Instance(s.Instance))
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
		Machine:       &member.Machine{Self: selfRecord(i), Random: newRandom(i.incarnation)},
		Client:        i.clients.Member,
		ClassifyError: peer.ClassifyError,
		List:          i.listMembers,
		Stamp:         i.stamp,
		StampReceived: i.observeStamp,
		CrashReceived: i.crashReceived,
		Manifest:      i.manifestResponse,
	}
}

// listMembers reads the platform's list, and adds the peers of the settings.
func (i *Instance) listMembers(ctx context.Context) ([]member.Record, error) {
	listed, _, err := i.platform.Instances(ctx)
	records := make([]member.Record, 0, len(listed)+len(i.Settings.Peers))
	for _, l := range listed {
		if l.State == platform.InstanceLeaving {
			continue
		}
		records = append(records, member.Record{
			Instance:      l.Instance,
			State:         member.Alive,
			FailureDomain: l.FailureDomain,
			Region:        l.Region,
			CallerAddress: l.CallerAddress,
			PeerAddress:   l.PeerAddress,
		})
	}
	for _, p := range i.Settings.Peers {
		records = append(records, member.Record{
			Instance:      p.Instance,
			State:         member.Alive,
			FailureDomain: p.FailureDomain,
			PeerAddress:   p.PeerAddress,
		})
	}
	if len(records) > 0 {
		return records, nil
	}
	return nil, err
}

// crashed spreads that an upstream broke under a request. It returns when the
// live instances know, or after crashTimeout, so that a caller who sends the
// request again meets the suspicion wherever it turns.
func (i *Instance) reportCrash(u id.Upstream, request id.Request, f id.Fingerprint) {
	c := suspect.Record{Fingerprint: f, Upstream: u, Request: request, At: time.Now()}
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
			klog.V(1).InfoS("crash not reported", "upstream", u, "err", err)
		}
	}
}

func (i *Instance) sendCrash(ctx context.Context, r member.Record, c suspect.Record) error {
	_, err := i.clients.Member(r.PeerAddress).Probe(ctx, &wire.ProbeRequest{
		Stamp:   i.stamp(),
		Crashes: exchange.CrashesToProto([]suspect.Record{c}, c.At),
	})
	return fault.Wrap("report crash", string(r.Instance), err)
}

// spread gossips crashes that this instance has found, without waiting.
func (i *Instance) gossipCrashes(crashes []suspect.Record) {
	i.runInBackground(func(context.Context) error {
		for _, c := range crashes {
			i.members.ReportCrash(c)
		}
		return nil
	})
}

// hearCrash takes a crash report into the suspects.
func (i *Instance) crashReceived(c suspect.Record) {
	i.direct.ReceiveCrashes([]suspect.Record{c})
}

// otherMembers lists the live members but this one.
func (i *Instance) livePeers() []member.Record {
	return slices.DeleteFunc(slices.Clone(i.members.Live()), func(r member.Record) bool {
		return r.Instance == i.Settings.Instance
	})
}

func (i *Instance) loadState() *wire.LoadState {
	s := i.direct.Load()
	s.Stamp = i.stamp()
	return s
}

func (i *Instance) loadReceived(s *wire.LoadState) {
	i.observeStamp(s.Stamp)
	i.direct.ReceiveLoad(id.Instance(s.GetStamp().GetInstance()), s)
}

// controlServer lets other instances serve operators on behalf of this one.
type controlServer Instance

var _ wire.Control = (*controlServer)(nil)

// Drain makes this instance leave.
func (c *controlServer) Drain(_ context.Context, r *wire.DrainRequest) (*wire.DrainResponse, error) {
	i := (*Instance)(c)
	i.observeStamp(r.Stamp)
	i.Drain()
	return &wire.DrainResponse{Stamp: i.stamp()}, nil
}

// Status says what this instance is doing.
func (c *controlServer) Status(_ context.Context, r *wire.StatusRequest) (*wire.StatusResponse, error) {
	i := (*Instance)(c)
	i.observeStamp(r.Stamp)
	out := &wire.StatusResponse{Stamp: i.stamp(), InFlight: i.inFlight.Load()}
	if current := i.active.Load(); current != nil {
		out.ManifestTakenUnixUs = current.activatedAt.UnixMicro()
	}
	for class, n := range i.direct.Queued() {
		out.Queued = append(out.Queued, &wire.QueuedClass{Class: string(class), Requests: int64(n)})
	}
	return out, nil
}

// background runs a short call that nothing waits for; its context ends with
// the instance.
func (i *Instance) runInBackground(call func(context.Context) error) {
	select {
	case i.backgroundCalls <- call:
	default:
		klog.V(1).InfoS("too many calls in the background; one dropped")
	}
}

// runBackground runs the calls in the background until ctx ends, a bounded
// number at a time.
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
			klog.V(1).InfoS("calls in the background ended", "err", errs)
			return nil
		case err := <-done:
			running--
			if err != nil {
				klog.V(1).InfoS("call in the background failed", "err", err)
			}
		case call := <-incoming:
			running++
			go func() { done <- call(ctx) }()
		}
	}
}
