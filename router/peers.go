package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/choice"
	"samphirehead/coordination/pulse"
	"samphirehead/coordination/suspect"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
	"samphirehead/state/mirror"
)

const (
	// behindLimit is the number of exchanges after which a copy that is
	// behind a peer's is taken from the peer, though the platform answers.
	behindLimit = 2
	// maxCrashes bounds the crash reports of one message.
	maxCrashes = 32
	// crashesFor is how long a crash is told to others.
	crashesFor = 30 * time.Second
	// announceInterval is how often the list of instances is read again.
	announceInterval = 30 * time.Second
	announceRetry    = time.Second
)

// exchange swaps states with some other instances until ctx ends.
func (r *Router) exchange(ctx context.Context) error {
	ticker := time.NewTicker(pulse.Interval)
	defer ticker.Stop()
	ended := make(chan struct{})
	running := 0
	start := func(addresses []string) {
		for _, address := range addresses {
			running++
			go func() {
				r.swap(ctx, address)
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
		case <-r.leaving.announced:
			start(r.pulseStep(pulse.SelfUpdated{Ready: false, Leaving: true}))
		case now := <-ticker.C:
			start(r.pulseStep(pulse.Ticked{}))
			r.logPeers(now)
		}
	}
}

func (r *Router) pulseStep(ev pulse.Event) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pulse.Step(time.Now(), ev)
}

// logPeers logs that this instance did not run, and which others became live or
// no longer are.
func (r *Router) logPeers(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if paused := r.pulse.Paused(); paused > 0 {
		klog.InfoS("instance paused", "for", paused)
	}
	for _, c := range r.pulse.LivenessChanges(now) {
		if c.Live {
			klog.InfoS("peer live", "peer", c.Instance, "address", c.PeerAddress, "failure_domain", c.FailureDomain)
			continue
		}
		klog.InfoS("peer lost", "peer", c.Instance, "address", c.PeerAddress, "leaving", c.Leaving,
			"unheard", c.SilentFor, "unreached", c.Unreachable)
	}
}

// swap exchanges states with one instance, and takes its copy of a table where
// that is ahead.
func (r *Router) swap(ctx context.Context, address string) {
	answer, err := r.peers.Swap(ctx, address, r.state())
	if err != nil {
		if ctx.Err() == nil {
			klog.V(1).InfoS("peer not reached", "peer", address, "err", err)
			r.pulseStep(pulse.ExchangeFailed{Address: address})
		}
		return
	}
	r.hear(answer)
	for _, c := range []*copied{&r.routes, &r.upstreams} {
		if r.wants(c, answer) {
			r.fetch(ctx, address, c)
		}
	}
}

// wants reports whether the copy of a table is to be taken from a peer.
func (r *Router) wants(c *copied, answer *exchange.State) bool {
	for _, t := range answer.Tables {
		if t.Name != c.name {
			continue
		}
		if mirror.Revision(t.Content) <= c.ContentRevision() {
			c.behind.Store(0)
			return false
		}
		return !c.reached.Load() || c.behind.Add(1) >= behindLimit
	}
	return false
}

func (r *Router) fetch(ctx context.Context, address string, c *copied) {
	answer, err := r.peers.Fetch(ctx, address, &exchange.FetchRequest{Table: c.name})
	if err != nil {
		klog.V(1).InfoS("table not fetched", "peer", address, "table", c.name, "err", err)
		return
	}
	rows := make([]mirror.Row, len(answer.Rows))
	for i, row := range answer.Rows {
		rows[i] = mirror.Row{Key: row.Key, Revision: mirror.Revision(row.Revision), Value: row.Value}
	}
	if c.Replace(rows, mirror.Revision(answer.Revision), mirror.Revision(answer.Content)) {
		klog.InfoS("table taken from peer", "peer", address, "table", c.name, "revision", answer.Revision)
	}
}

// Swap hears another instance and answers with this one's state.
func (r *Router) Swap(_ context.Context, s *exchange.State) (*exchange.State, error) {
	r.hear(s)
	return r.state(), nil
}

// Fetch returns the copy of a table.
func (r *Router) Fetch(_ context.Context, request *exchange.FetchRequest) (*exchange.FetchResponse, error) {
	for _, c := range []*copied{&r.routes, &r.upstreams} {
		if c.name != request.Table {
			continue
		}
		rows, revision := c.Rows()
		answer := &exchange.FetchResponse{Revision: uint64(revision), Content: uint64(c.ContentRevision())}
		for _, row := range rows {
			answer.Rows = append(answer.Rows, &exchange.Row{Key: row.Key, Revision: uint64(row.Revision), Value: row.Value})
		}
		return answer, nil
	}
	return &exchange.FetchResponse{}, nil
}

// state makes the message of what this instance knows.
func (r *Router) state() *exchange.State {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	self, others := r.pulse.Message(now)
	s := &exchange.State{
		Self:   memberFrom(self),
		Demand: make(map[string]float32),
		Tables: []*exchange.Table{
			{Name: r.routes.name, Content: uint64(r.routes.ContentRevision()), Reached: r.routes.reached.Load()},
			{Name: r.upstreams.name, Content: uint64(r.upstreams.ContentRevision()), Reached: r.upstreams.reached.Load()},
		},
	}
	for _, o := range others {
		s.Members = append(s.Members, memberFrom(o))
	}
	for service, c := range r.pools.choosers {
		s.Demand[string(service)] = float32(c.Demand(now))
		loads, failing := exchange.Told(c, now)
		s.Loads, s.Failing = append(s.Loads, loads...), append(s.Failing, failing...)
	}
	s.Crashes = r.crashReports(now)
	s.Refused = r.returns.tell(now)
	return s
}

// crashReports returns the newest crashes; r.mu is held.
func (r *Router) crashReports(now time.Time) []*exchange.Crash {
	for len(r.crashes) > 0 && now.Sub(r.crashes[0].At) > crashesFor {
		r.crashes = r.crashes[1:]
	}
	return exchange.CrashesFrom(r.crashes[max(0, len(r.crashes)-maxCrashes):], now)
}

// hear takes in what another instance knows.
func (r *Router) hear(s *exchange.State) {
	if s.GetSelf() == nil {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := pulse.RecordsReceived{From: memberRecord(s.Self)}
	for _, m := range s.Members {
		heard.Records = append(heard.Records, memberRecord(m))
	}
	r.pulse.Step(now, heard)
	r.hearLoads(now, s)
	r.returns.hear(s.Refused)
	for _, t := range s.Tables {
		if t.Name == r.upstreams.name && t.Reached {
			r.upstreams.peerReached = now
		}
	}
	r.suspects.Step(now, suspect.RecordsReceived{Records: exchange.RecordsOf(s.Crashes, now)})
}

// hearLoads is called with r.mu held.
func (r *Router) hearLoads(now time.Time, s *exchange.State) {
	loads := exchange.LoadsOf(s.Loads)
	for service, c := range r.pools.choosers {
		exchange.Hear(c, now, choice.LoadReceived{
			Instance: id.Instance(s.Self.Instance),
			Loads:    loads,
			Demand:   float64(s.Demand[string(service)]),
		}, s.Failing)
		logBeliefs(c)
	}
}

func memberFrom(r pulse.Record) *exchange.Member {
	return &exchange.Member{
		Instance: string(r.Instance), Incarnation: uint64(r.Incarnation), Sequence: r.Sequence,
		FailureDomain: string(r.FailureDomain), CallerAddress: r.CallerAddress, PeerAddress: r.PeerAddress,
		Ready: r.Ready, Leaving: r.Leaving,
	}
}

func memberRecord(m *exchange.Member) pulse.Record {
	return pulse.Record{
		Instance: id.Instance(m.Instance), Incarnation: id.Incarnation(m.Incarnation), Sequence: m.Sequence,
		FailureDomain: id.FailureDomain(m.FailureDomain), CallerAddress: m.CallerAddress, PeerAddress: m.PeerAddress,
		Ready: m.Ready, Leaving: m.Leaving,
	}
}

// announce makes this instance known to those that start later, and learns of
// others, until it leaves or ctx ends.
func (r *Router) announce(ctx context.Context) error {
	announced := false
	for {
		if !announced {
			err := r.Platform.Announce(ctx, r.Settings.Instance, r.Addr(Peers))
			announced = err == nil
		}
		addresses, err := r.Platform.Announced(ctx)
		if err == nil {
			r.pulseStep(pulse.SeedsAdded{Addresses: addresses})
		}
		wait := announceInterval
		if err != nil || !announced {
			klog.V(1).InfoS("instance not announced", "err", err)
			wait = announceRetry
		}
		select {
		case <-ctx.Done():
			return nil
		case <-r.leaving.asked:
			r.withdraw(ctx)
			<-ctx.Done()
			return nil
		case <-time.After(wait):
		}
	}
}

// withdraw takes back the announcement. One that stays is given up by others
// when nobody answers there.
func (r *Router) withdraw(ctx context.Context) {
	if err := r.Platform.Withdraw(ctx, r.Settings.Instance); err != nil {
		klog.V(1).InfoS("announcement not withdrawn", "err", err)
	}
}
