package instance

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/member"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/leases"
	"samphirehead/protocol/exchange"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const (
	crashFetchInterval = 100 * time.Millisecond
	// learnTimeout is how long an instance that starts looks for others that
	// know of crashes before it takes part without.
	crashFetchTimeout = 3 * time.Second
)

// learn asks a ready instance for the crashes that it knows of, so that a
// request which crashes upstreams stays quarantined when instances are replaced.
func (i *Instance) fetchCrashes(ctx context.Context) error {
	fetchCtx, cancel := context.WithTimeout(ctx, crashFetchTimeout)
	defer cancel()
	ticker := time.NewTicker(crashFetchInterval)
	defer ticker.Stop()
	for !i.fetchCrashesOnce(fetchCtx) && fetchCtx.Err() == nil {
		select {
		case <-fetchCtx.Done():
		case <-ticker.C:
		}
	}
	i.crashesFetched.Store(true)
	i.crashFetchDone <- struct{}{}
	<-ctx.Done()
	return nil
}

// learnOnce reports whether an instance that is ready told what it knows, or
// all that the platform lists did: then all are starting.
func (i *Instance) fetchCrashesOnce(ctx context.Context) bool {
	starting := make(map[id.Instance]bool)
	for _, r := range i.members.Live() {
		if r.Instance == i.Settings.Instance {
			continue
		}
		if err := i.fetchCrashesFrom(ctx, r); err != nil {
			klog.V(1).InfoS("crashes not learnt", "err", err)
			continue
		}
		if r.Manifest > 0 {
			return true
		}
		starting[r.Instance] = true
	}
	listed, err := i.listMembers(ctx)
	if err != nil {
		return false
	}
	return !slices.ContainsFunc(listed, func(r member.Record) bool {
		return r.Instance != i.Settings.Instance && !starting[r.Instance]
	})
}

func (i *Instance) fetchCrashesFrom(ctx context.Context, r member.Record) error {
	answer, err := i.clients.Control(r.PeerAddress).Crashes(ctx, &wire.CrashesRequest{Stamp: i.stamp()})
	if err != nil {
		return fault.Wrap("learn crashes", string(r.Instance), err)
	}
	i.direct.ReceiveCrashes(exchange.CrashesFromProto(answer.Crashes, time.Now()))
	return nil
}

// Crashes tells an instance that starts what is known here.
func (c *controlServer) Crashes(_ context.Context, r *wire.CrashesRequest) (*wire.CrashesResponse, error) {
	i := (*Instance)(c)
	i.observeStamp(r.Stamp)
	return &wire.CrashesResponse{Stamp: i.stamp(), Crashes: exchange.CrashesToProto(i.direct.Crashes(), time.Now())}, nil
}

// expireClaims deletes old claims, at one instance at a time.
func (i *Instance) claimExpiry() *leases.Lease {
	return &leases.Lease{
		Name:  "claim-expiry",
		Self:  i.Settings.Instance,
		Table: i.platform,
		Work:  func(ctx context.Context) { atmostonce.Expire(ctx, i.platform) },
	}
}
