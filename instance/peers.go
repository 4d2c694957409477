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
	crashTimeout = 250 * time.Millisecond
	maxTold      = 32
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
func (i *Instance) seen(s *wire.Stamp) {
	if s == nil {
		return
	}
	i.manifests.Seen(id.ManifestVersion(s.ManifestVersion), id.Instance(s.Instance))
}

func (i *Instance) version() id.ManifestVersion {
	current := i.index.Load()
	if current == nil {
		return 0
	}
	return current.version
}

func (i *Instance) buildMembers() {
	i.members = &members.Members{
		Machine:   &member.Machine{Self: selfRecord(i), Random: newRandom(i.incarnation)},
		Remote:    i.clients.Member,
		Evidence:  peer.EvidenceOf,
		List:      i.listMembers,
		Stamp:     i.stamp,
		Seen:      i.seen,
		HearCrash: i.hearCrash,
		Manifest:  i.manifestMessage,
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
func (i *Instance) crashed(u id.Upstream, request id.Request, f id.Fingerprint) {
	c := suspect.Record{Fingerprint: f, Upstream: u, Request: request, At: time.Now()}
	i.hearCrash(c)
	i.members.ReportCrash(c)
	ctx, cancel := context.WithTimeout(context.Background(), crashTimeout)
	defer cancel()
	told := make(chan error, maxTold)
	calls := 0
	for _, r := range i.members.Live() {
		if r.Instance == i.Settings.Instance || calls == maxTold {
			continue
		}
		calls++
		go func() { told <- i.tellCrash(ctx, r, c) }()
	}
	for range calls {
		if err := <-told; err != nil {
			klog.V(1).InfoS("crash not reported", "upstream", u, "err", err)
		}
	}
}

func (i *Instance) tellCrash(ctx context.Context, r member.Record, c suspect.Record) error {
	_, err := i.clients.Member(r.PeerAddress).Probe(ctx, &wire.ProbeRequest{
		Stamp:   i.stamp(),
		Crashes: exchange.CrashesFrom([]suspect.Record{c}, c.At),
	})
	return fault.At("report crash", string(r.Instance), err)
}

// spread gossips crashes that this instance has found, without waiting.
func (i *Instance) spread(crashes []suspect.Record) {
	i.background(func(context.Context) error {
		for _, c := range crashes {
			i.members.ReportCrash(c)
		}
		return nil
	})
}

// hearCrash takes a crash report into the suspects.
func (i *Instance) hearCrash(c suspect.Record) {
	i.direct.ReceiveCrashes([]suspect.Record{c})
}

// otherMembers lists the live members but this one.
func (i *Instance) otherMembers() []member.Record {
	return slices.DeleteFunc(slices.Clone(i.members.Live()), func(r member.Record) bool {
		return r.Instance == i.Settings.Instance
	})
}

func (i *Instance) loadState() *wire.LoadState {
	s := i.direct.Load()
	s.Stamp = i.stamp()
	return s
}

func (i *Instance) hearLoad(s *wire.LoadState) {
	i.seen(s.Stamp)
	i.direct.ReceiveLoad(id.Instance(s.GetStamp().GetInstance()), s)
}

// controlServer lets other instances serve operators on behalf of this one.
type controlServer Instance

var _ wire.Control = (*controlServer)(nil)

// Drain makes this instance leave.
func (c *controlServer) Drain(_ context.Context, r *wire.DrainRequest) (*wire.DrainResponse, error) {
	i := (*Instance)(c)
	i.seen(r.Stamp)
	i.Drain()
	return &wire.DrainResponse{Stamp: i.stamp()}, nil
}

// Status says what this instance is doing.
func (c *controlServer) Status(_ context.Context, r *wire.StatusRequest) (*wire.StatusResponse, error) {
	i := (*Instance)(c)
	i.seen(r.Stamp)
	out := &wire.StatusResponse{Stamp: i.stamp(), InFlight: i.inFlight.Load()}
	if current := i.index.Load(); current != nil {
		out.ManifestTakenUnixUs = current.taken.UnixMicro()
	}
	for class, n := range i.direct.Queued() {
		out.Queued = append(out.Queued, &wire.QueuedClass{Class: string(class), Requests: int64(n)})
	}
	return out, nil
}

// background runs a short call that nothing waits for; its context ends with
// the instance.
func (i *Instance) background(call func(context.Context) error) {
	select {
	case i.calls <- call:
	default:
		klog.V(1).InfoS("too many calls in the background; one dropped")
	}
}

// runBackground runs the calls in the background until ctx ends, a bounded
// number at a time.
func (i *Instance) runBackground(ctx context.Context) error {
	done := make(chan error)
	running := 0
	for {
		incoming := i.calls
		if running >= maxBackground {
			incoming = nil
		}
		select {
		case <-ctx.Done():
			var failed error
			for range running {
				failed = errors.CombineErrors(failed, <-done)
			}
			klog.V(1).InfoS("calls in the background ended", "err", failed)
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
