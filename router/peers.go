package router

import (
	"context"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/heartbeat"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
	wire "samphirehead/transport/exchange"
	"samphirehead/transport/relay"
)

// peersHandler serves the calls of other instances.
// Those that relay requests of callers keep the requests' paths, and are told by their headers.
func (r *Router) peersHandler() http.Handler {
	secret := r.Settings.PeerSecret.Reveal()
	mux := http.NewServeMux()
	mux.Handle("/", wire.Handler(secret, r))
	mux.Handle(exchange.OriginsPathPrefix, wire.OriginsHandler(secret, r))
	mux.Handle(exchange.UsagePathPrefix, wire.UsageHandler(secret, r))
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if relay.IsRelayed(request, secret) {
			r.serveRelayed(w, request)
			return
		}
		mux.ServeHTTP(w, request)
	})
}

// gossip exchanges state with some of the other instances at each interval, and
// with all of them when the drain starts, until ctx ends.
func (r *Router) gossip(ctx context.Context) error {
	ticker := time.NewTicker(heartbeat.Interval)
	defer ticker.Stop()
	ended := make(chan struct{})
	running := 0
	start := func(addresses []string) {
		for _, address := range addresses {
			running++
			go func() {
				r.exchangeState(ctx, address)
				ended <- struct{}{}
			}()
		}
	}
	for {
		select {
		case <-ctx.Done():
			for range running {
				<-ended
			}
			return nil
		case <-ended:
			running--
		case <-r.drain.notifyPeers:
			start(r.stepMembership(heartbeat.SelfUpdated{Ready: false, Leaving: true}))
		case now := <-ticker.C:
			start(r.stepMembership(heartbeat.Ticked{Uniform: r.upstreamsLimited()}))
			r.updateHeadroom()
			r.logPeerChanges(now)
			r.listInstances(now)
		}
	}
}

func (r *Router) stepMembership(ev heartbeat.Event) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.Step(time.Now(), ev)
}

// logPeerChanges logs which peers became live or were lost, and whether this
// instance itself was paused.
func (r *Router) logPeerChanges(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if paused := r.membership.Paused(); paused > 0 {
		klog.InfoS("instance paused", "for", paused)
	}
	for _, c := range r.membership.LivenessChanges(now) {
		if c.Live {
			klog.InfoS("peer live", "peer", c.Instance, "address", c.PeerAddress, "failure_domain", c.FailureDomain)
			continue
		}
		klog.InfoS("peer lost", "peer", c.Instance, "address", c.PeerAddress, "leaving", c.Leaving,
			"unheard", c.SilentFor, "unreached", c.Unreachable)
	}
}

// upstreamsLimited reports whether upstreams state limits, which instances share by what
// they hear of each other directly.
func (r *Router) upstreamsLimited() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.throttles.limited()
}

// listInstances passes the live instances to the throttles, the retry budgets and the choosers.
func (r *Router) listInstances(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	live := r.liveInstances(now)
	r.throttles.listInstances(now, live)
	r.retryBudgets.ObserveInstances(now, len(live))
	neighbours := 0
	if r.membership.Clustered() {
		neighbours = r.membership.Neighbours(now)
	}
	r.takeTurn(now)
	for _, c := range r.pools.choosers {
		c.Step(now, balancer.NeighboursListed{Live: neighbours})
		c.Step(now, balancer.InstancesListed{Live: len(live)})
	}
}

// liveInstances returns the names of the live instances. r.mu must be held.
func (r *Router) liveInstances(now time.Time) []id.Instance {
	var live []id.Instance
	for _, record := range r.membership.Live(now) {
		live = append(live, record.Instance)
	}
	return live
}

// exchangeState exchanges state with one instance.
func (r *Router) exchangeState(ctx context.Context, address string) {
	response, err := r.peers.Swap(ctx, address, r.stateMessage(r.failureDomainAt(address), nil))
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).InfoS("peer not reached", "peer", address, "err", err)
			r.stepMembership(heartbeat.ExchangeFailed{Address: address})
		}
		return
	}
	r.receiveState(response)
}

// Swap receives the state of another instance and returns this one's.
func (r *Router) Swap(_ context.Context, s *exchange.State) (*exchange.State, error) {
	r.receiveState(s)
	return r.stateMessage(id.FailureDomain(s.GetSelf().GetFailureDomain()), s), nil
}

// failureDomainAt returns the failure domain of the peer at an address, or "" if that is not
// known.
func (r *Router) failureDomainAt(address string) id.FailureDomain {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.membership.FailureDomainAt(address)
}

// stateMessage builds the message that is exchanged with a peer in a failure domain. received
// is the message to which it replies, or nil.
func (r *Router) stateMessage(to id.FailureDomain, received *exchange.State) *exchange.State {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	self, others := r.membership.Message(now, to)
	s := &exchange.State{
		Self:   memberMessage(self),
		Demand: make(map[string]float32), OtherDemand: make(map[string]float32),
		Tables: []*exchange.Table{
			r.tableMessage(&r.routes), r.tableMessage(&r.upstreams),
		},
	}
	for _, o := range others {
		s.Members = append(s.Members, memberMessage(o))
	}
	s.WholeDomain = r.membership.Clustered() && to != r.Settings.FailureDomain && to != ""
	r.addLoads(now, s)
	s.Demands = r.demandMessages(now)
	r.quarantines.addReports(now, s, received)
	s.Refused = r.refused.recent(now)
	s.Rates = r.throttles.reports(now)
	s.Leaving = r.leavingMessages()
	s.Holdings = r.duties.holdingMessages()
	return s
}

// addLoads adds the loads and the demand of this instance, or those of its failure domain, to
// a message. r.mu must be held.
func (r *Router) addLoads(now time.Time, s *exchange.State) {
	for service, c := range r.pools.choosers {
		loads, failing := exchange.LoadReport(c, now)
		demand := c.Demand(now)
		if s.WholeDomain {
			loads, failing, demand = exchange.DomainLoadReport(c, now)
		}
		if r.paths.doubtful() {
			// That upstreams fail here says nothing of them.
			failing = nil
		}
		s.Demand[string(service)], s.OtherDemand[string(service)] = float32(demand.Sensitive), float32(demand.Other)
		s.Loads, s.Failing = append(s.Loads, loads...), append(s.Failing, failing...)
	}
}

// receiveState applies the state of another instance.
func (r *Router) receiveState(s *exchange.State) {
	if s.GetSelf() == nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	received := heartbeat.RecordsReceived{From: memberRecord(s.Self)}
	for _, m := range s.Members {
		received.Records = append(received.Records, memberRecord(m))
	}
	r.membership.Step(now, received)
	r.receiveLoads(now, s)
	r.receiveDemands(now, id.Instance(s.Self.Instance), s.Demands)
	r.refused.addRemote(s.Refused)
	r.throttles.receive(now, id.Instance(s.Self.Instance), s.Rates)
	r.receiveLeaving(now, s.Self.Instance, s.Leaving)
	r.duties.receiveHoldings(s.Holdings)
	r.hearUsageHolders(s.Holdings)
	for _, t := range s.Tables {
		if t.Name == r.upstreams.name && t.Reached {
			r.upstreams.peerReachedAt = now
		}
		if t.Name == r.upstreams.name && t.Failed {
			r.checkPlatform(now)
		}
		r.receiveTable(now, s.Self.PeerAddress, t)
	}
	r.quarantines.receiveReports(now, s)
}

// receiveLoads passes the loads and the demand of another instance to the
// choosers. r.mu must be held.
func (r *Router) receiveLoads(now time.Time, s *exchange.State) {
	loads := exchange.LoadsFromProto(s.Loads)
	for service, c := range r.pools.choosers {
		exchange.ApplyLoadReport(c, now, balancer.LoadReceived{
			Instance:      id.Instance(s.Self.Instance),
			FailureDomain: id.FailureDomain(s.Self.FailureDomain),
			WholeDomain:   s.WholeDomain && s.Self.FailureDomain != string(r.Settings.FailureDomain),
			Loads:         loads,
			Demand:        exchange.DemandFromProto(s, service),
		}, s.Failing)
		logHealthChanges(c)
	}
}

func memberMessage(r heartbeat.Record) *exchange.Member {
	return &exchange.Member{
		Instance: string(r.Instance), Incarnation: uint64(r.Incarnation), Sequence: r.Sequence,
		FailureDomain: string(r.FailureDomain), CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress,
		Ready: r.Ready, Leaving: r.Leaving, Headroom: r.Headroom, PathsLost: r.PathsLost,
	}
}

func memberRecord(m *exchange.Member) heartbeat.Record {
	return heartbeat.Record{
		Instance: id.Instance(m.Instance), Incarnation: id.Incarnation(m.Incarnation), Sequence: m.Sequence,
		FailureDomain: id.FailureDomain(m.FailureDomain), CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		Ready: m.Ready, Leaving: m.Leaving, Headroom: m.Headroom, PathsLost: m.PathsLost,
	}
}
