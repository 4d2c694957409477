package instance

import (
	"context"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/membership"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/leases"
	"samphirehead/protocol/exchange"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const (
	crashFetchInterval = 100 * time.Millisecond
	// crashFetchTimeout is how long a starting instance tries to fetch crash
	// records from others. After that it serves without them.
	crashFetchTimeout = 3 * time.Second
)

// fetchCrashes fetches the crash records of a ready instance, so that a request
// which crashes upstreams stays quarantined when instances are replaced. It
// retries until crashFetchTimeout and returns when ctx ends.
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

// fetchCrashesOnce reports whether an instance with an active manifest has sent
// its crash records. It also reports true if all instances that the platform
// lists have answered: all of them are starting then, and none knows more.
func (i *Instance) fetchCrashesOnce(ctx context.Context) bool {
	starting := make(map[id.Instance]bool)
	for _, r := range i.members.Live() {
		if r.Instance == i.Settings.Instance {
			continue
		}
		if err := i.fetchCrashesFrom(ctx, r); err != nil {
			klog.V(1).InfoS("could not fetch crash records from a peer", "err", err)
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
	return !slices.ContainsFunc(listed, func(r membership.Record) bool {
		return r.Instance != i.Settings.Instance && !starting[r.Instance]
	})
}

func (i *Instance) fetchCrashesFrom(ctx context.Context, r membership.Record) error {
	response, err := i.clients.Control(r.PeerAddress).Crashes(ctx, &wire.CrashesRequest{Stamp: i.stamp()})
	if err != nil {
		return fault.Wrap("fetch crash records", string(r.Instance), err)
	}
	i.dispatcher.ReceiveCrashes(exchange.CrashesFromProto(response.Crashes, time.Now()))
	return nil
}

// Crashes returns the crash records of this instance to one that starts.
func (c *controlServer) Crashes(_ context.Context, r *wire.CrashesRequest) (*wire.CrashesResponse, error) {
	i := (*Instance)(c)
	i.observeStamp(r.Stamp)
	return &wire.CrashesResponse{Stamp: i.stamp(), Crashes: exchange.CrashesToProto(i.dispatcher.Crashes(), time.Now())}, nil
}

// claimExpiry returns the lease under which one instance at a time deletes
// expired claims.
func (i *Instance) claimExpiry() *leases.Lease {
	return &leases.Lease{
		Name:  "claim-expiry",
		Self:  i.Settings.Instance,
		Table: i.platform,
		Work:  func(ctx context.Context) { atmostonce.Expire(ctx, i.platform) },
	}
}
