// Package members keeps one instance's view of the other instances. It executes
// the probes of the membership state machine and answers the probes of others.
package members

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/quarantine"
	"samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const (
	// The interval between two reads of the platform's list of instances is
	// listInterval plus listPerMember for each member, so that all instances
	// together read at a bounded rate.
	listInterval  = 2 * time.Second
	listPerMember = 20 * time.Millisecond
	listTimeout   = 5 * time.Second
	// indirectProbeTimeout bounds a probe on behalf of another instance.
	indirectProbeTimeout = 350 * time.Millisecond
	// pushFanout bounds the number of instances that Push probes.
	pushFanout = 8
)

// Members runs the membership state machine of one instance. Exported fields
// must be set before Run. Its functions other than List must not block.
type Members struct {
	// Machine must not be used by others once Run has been called.
	Machine *membership.Machine
	// Client returns the client for the instance at a peer address.
	Client func(address string) peer.Member
	// ClassifyError returns what the error of a call says about its peer.
	ClassifyError func(error) membership.Evidence
	// List reads the list of instances from the platform.
	List func(ctx context.Context) ([]membership.Record, error)
	// Stamp returns the stamp for an outgoing message.
	Stamp func() *peer.Stamp
	// StampReceived is called with the stamp of each message from a peer.
	StampReceived func(s *peer.Stamp)
	// CrashReceived is called once for each crash that peers report.
	CrashReceived func(c quarantine.Record)
	// Manifest returns the active manifest, for peers that fetch it.
	Manifest func() *peer.FetchManifestResponse

	once    sync.Once
	wake    chan struct{}
	changed chan struct{}
	// results carries the result of each probe to Run.
	results chan membership.Event

	mu      sync.Mutex
	crashes membership.CrashReports
	// probes are waiting to be started by Run.
	probes []membership.SendProbe
	// records caches the result of Records; it is nil after a change. Its
	// elements are never modified, as callers of Records share it.
	records []membership.Record
}

func (m *Members) init() {
	m.wake = make(chan struct{}, 1)
	m.changed = make(chan struct{}, 1)
	m.results = make(chan membership.Event)
}

// Changed returns a channel that receives a value after the result of Records
// changed. Several changes may arrive as one value.
func (m *Members) Changed() <-chan struct{} {
	m.once.Do(m.init)
	return m.changed
}

// Run probes other instances until ctx is done.
func (m *Members) Run(ctx context.Context) error {
	m.once.Do(m.init)
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	pollDone := make(chan struct{})
	go func() {
		defer close(pollDone)
		m.pollList(ctx)
	}()
	inFlight := 0
	for {
		for _, p := range m.dequeueProbes() {
			inFlight++
			go func() { m.results <- m.probe(ctx, p) }()
		}
		select {
		case <-ctx.Done():
			m.waitForGoroutines(inFlight, pollDone)
			return nil
		case <-ticker.C:
			m.step(membership.Ticked{})
		case <-m.wake:
		case ev := <-m.results:
			inFlight--
			m.step(ev)
		}
	}
}

// waitForGoroutines waits for the goroutines that Run started.
func (m *Members) waitForGoroutines(inFlight int, pollDone <-chan struct{}) {
	for range inFlight {
		<-m.results
	}
	<-pollDone
}

// pollList reads the platform's list of instances periodically until ctx is
// done. It tolerates failures: the state machine continues with the last list.
func (m *Members) pollList(ctx context.Context) {
	for ctx.Err() == nil {
		m.readList(ctx)
		wait := listInterval + time.Duration(len(m.Records()))*listPerMember
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

func (m *Members) readList(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	records, err := m.List(ctx)
	if err != nil {
		klog.V(2).InfoS("reading the list of instances failed", "err", err)
		return
	}
	m.step(membership.InstancesListed{Members: records})
}

// Records returns the records of this instance and of all others that it knows,
// including dead ones. The slice is shared and must not be modified. Headroom
// is up to member.TickInterval old; the other fields are current.
func (m *Members) Records() []membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records == nil {
		m.records = m.Machine.Records()
	}
	return m.records
}

// Live returns the records of this instance and of all others that are not
// dead.
func (m *Members) Live() []membership.Record {
	var live []membership.Record
	for _, r := range m.Records() {
		if r.State != membership.Dead {
			live = append(live, r)
		}
	}
	return live
}

// Lookup returns the record of an instance, which may be dead.
func (m *Members) Lookup(instance id.Instance) (membership.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Machine.Lookup(instance)
}

// Self returns the record of this instance.
func (m *Members) Self() membership.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Machine.Self
}

// Update sets the manifest version and the headroom that this instance
// advertises. A version of 0 means that it is not ready; headroom is the free
// share of its request capacity, 0 to 1.
func (m *Members) UpdateSelf(manifest id.ManifestVersion, headroom float64) {
	m.step(membership.SelfUpdated{Manifest: manifest, Headroom: headroom})
}

// Leave announces to other instances that this one is leaving.
func (m *Members) Leave() {
	m.step(membership.LeaveRequested{})
	m.Push()
}

// ReportFailedCall reports that a call to another instance failed outside this
// package. The instance is probed soon, to learn whether it is reachable.
func (m *Members) ReportFailedCall(instance id.Instance) {
	m.step(membership.ProbeRequested{Instance: instance})
}

// Push probes up to pushFanout live instances at once. The probes carry the
// record and the stamp of this instance, and crash reports.
func (m *Members) Push() {
	pushed := 0
	self := m.Self().Instance
	for _, r := range m.Live() {
		if r.Instance == self || pushed == pushFanout {
			continue
		}
		pushed++
		m.step(membership.ProbeRequested{Instance: r.Instance})
	}
}

// ReportCrash gossips a crash that this instance observed.
func (m *Members) ReportCrash(c quarantine.Record) {
	m.mu.Lock()
	isNew := m.crashes.Add(time.Now(), c, m.Machine.KnownCount())
	m.mu.Unlock()
	if isNew {
		m.Push()
	}
}

// FetchManifestFrom fetches the active manifest of another instance.
func (m *Members) FetchManifestFrom(ctx context.Context, instance id.Instance) (*peer.FetchManifestResponse, error) {
	r, ok := m.Lookup(instance)
	if !ok {
		return nil, fault.New("fetch manifest", string(instance), "instance unknown")
	}
	response, err := m.Client(r.PeerAddress).FetchManifest(ctx, &peer.FetchManifestRequest{Stamp: m.Stamp()})
	return response, fault.Wrap("fetch manifest", string(instance), err)
}

// step applies one event to the state machine. Run starts the probes that this
// causes.
func (m *Members) step(ev membership.Event) membership.SendReply {
	m.once.Do(m.init)
	m.mu.Lock()
	effects := m.Machine.Step(time.Now(), ev)
	reply, changed := m.apply(effects)
	if _, ticked := ev.(membership.Ticked); ticked || changed {
		m.records = nil
	}
	probes := len(m.probes) > 0
	m.mu.Unlock()
	if changed {
		signal(m.changed)
	}
	if probes {
		signal(m.wake)
	}
	return reply
}

// apply queues the probes among effects, and returns the reply if there is one,
// and whether a record changed. m.mu is held.
func (m *Members) apply(effects []membership.Effect) (reply membership.SendReply, changed bool) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case membership.SendProbe:
			m.probes = append(m.probes, effect)
		case membership.SendReply:
			reply = effect
		case membership.RecordChanged:
			changed = true
			klog.V(1).InfoS("record of instance changed", "instance", effect.Record.Instance,
				"state", effect.Record.State, "incarnation", effect.Record.Incarnation,
				"unreachable", effect.Record.Unreachable)
		case membership.InstanceForgotten:
			changed = true
		}
	}
	return reply, changed
}

func (m *Members) dequeueProbes() []membership.SendProbe {
	m.mu.Lock()
	defer m.mu.Unlock()
	probes := m.probes
	m.probes = nil
	return probes
}

func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
