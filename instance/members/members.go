// Package members keeps the view of live instances of one process: it carries
// out the probes of the membership machine and answers those of others.
package members

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/member"
	"samphirehead/coordination/suspect"
	"samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
)

const (
	// listInterval and listPerMember make the time between two reads of the
	// platform's list, so that all instances together read at a bounded rate.
	listInterval  = 2 * time.Second
	listPerMember = 20 * time.Millisecond
	listTimeout   = 5 * time.Second
	// relayTimeout bounds a probe on behalf of another instance.
	indirectProbeTimeout = 350 * time.Millisecond
	// pushFanout bounds the instances that hear of urgent news at once.
	pushFanout = 8
)

// Members drives the membership machine. Exported fields are set before Run;
// the callbacks must not block.
type Members struct {
	// Machine belongs to the Members from Run on.
	Machine *member.Machine
	// Remote returns the client of another instance.
	Client func(address string) peer.Member
	// Evidence says what a failed call tells about its peer.
	ClassifyError func(error) member.Evidence
	// List reads the platform's list of instances.
	List func(ctx context.Context) ([]member.Record, error)
	// Stamp is put on each message.
	Stamp func() *peer.Stamp
	// Seen hears the stamp of each message.
	StampReceived func(s *peer.Stamp)
	// HearCrash hears each crash report of others once.
	CrashReceived func(c suspect.Record)
	// Manifest is served to instances that are behind.
	Manifest func() *peer.FetchManifestResponse

	once    sync.Once
	wake    chan struct{}
	changed chan struct{}
	// results has room for as many events as there are probes in flight.
	results chan member.Event

	mu      sync.Mutex
	crashes member.CrashReports
	// probes are to be started by Run.
	probes []member.SendProbe
	// records is the last snapshot, nil after a change. It is not changed in
	// place.
	records []member.Record
}

func (m *Members) init() {
	m.wake = make(chan struct{}, 1)
	m.changed = make(chan struct{}, 1)
	m.results = make(chan member.Event)
}

// Changed receives after changes to what Records returns; several changes may
// arrive as one.
func (m *Members) Changed() <-chan struct{} {
	m.once.Do(m.init)
	return m.changed
}

// Run probes other instances until ctx ends.
func (m *Members) Run(ctx context.Context) error {
	m.once.Do(m.init)
	ticker := time.NewTicker(member.TickInterval)
	defer ticker.Stop()
	pollDone := make(chan struct{})
	go func() {
		defer close(pollDone)
		m.pollList(ctx)
	}()
	inFlight := 0
	for {
		for _, p := range m.takeProbes() {
			inFlight++
			go func() { m.results <- m.probe(ctx, p) }()
		}
		select {
		case <-ctx.Done():
			m.waitForGoroutines(inFlight, pollDone)
			return nil
		case <-ticker.C:
			m.step(member.Ticked{})
		case <-m.wake:
		case ev := <-m.results:
			inFlight--
			m.step(ev)
		}
	}
}

// drain waits for the goroutines that Run started.
func (m *Members) waitForGoroutines(inFlight int, pollDone <-chan struct{}) {
	for range inFlight {
		<-m.results
	}
	<-pollDone
}

// readLists reads the platform's list until ctx ends. Failures are expected:
// the machine goes on with the last list.
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
		klog.V(2).InfoS("instance list not read", "err", err)
		return
	}
	m.step(member.InstancesListed{Members: records})
}

// Records returns this instance and all known others, dead ones too. The
// caller must not change the slice, which others share. Headroom in it is up
// to a tick old; all else is current.
func (m *Members) Records() []member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.records == nil {
		m.records = m.Machine.Records()
	}
	return m.records
}

// Live returns this instance and all others that are not dead.
func (m *Members) Live() []member.Record {
	var live []member.Record
	for _, r := range m.Records() {
		if r.State != member.Dead {
			live = append(live, r)
		}
	}
	return live
}

// Lookup returns what is known of an instance, dead or not.
func (m *Members) Lookup(instance id.Instance) (member.Record, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Machine.Lookup(instance)
}

// Self returns the record of this instance.
func (m *Members) Self() member.Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Machine.Self
}

// Update sets what this instance says of itself. A manifest of 0 says that it
// is not ready.
func (m *Members) Update(manifest id.ManifestVersion, headroom float64) {
	m.step(member.SelfUpdated{Manifest: manifest, Headroom: headroom})
}

// Leave tells the other instances that this one is leaving.
func (m *Members) Leave() {
	m.step(member.LeaveRequested{})
	m.Push()
}

// Notice reports that a call to another instance failed, which brings forward
// its next probe.
func (m *Members) ReportFailedCall(instance id.Instance) {
	m.step(member.ProbeRequested{Instance: instance})
}

// Push brings the state of this instance, with its stamp and crash reports,
// to some others at once.
func (m *Members) Push() {
	pushed := 0
	self := m.Self().Instance
	for _, r := range m.Live() {
		if r.Instance == self || pushed == pushFanout {
			continue
		}
		pushed++
		m.step(member.ProbeRequested{Instance: r.Instance})
	}
}

// ReportCrash spreads the report of a crash that this instance saw.
func (m *Members) ReportCrash(c suspect.Record) {
	m.mu.Lock()
	isNew := m.crashes.Add(time.Now(), c, m.Machine.KnownCount())
	m.mu.Unlock()
	if isNew {
		m.Push()
	}
}

// FetchManifestFrom asks another instance for its manifest.
func (m *Members) FetchManifestFrom(ctx context.Context, instance id.Instance) (*peer.FetchManifestResponse, error) {
	r, ok := m.Lookup(instance)
	if !ok {
		return nil, fault.New("fetch manifest", string(instance), "instance unknown")
	}
	response, err := m.Client(r.PeerAddress).FetchManifest(ctx, &peer.FetchManifestRequest{Stamp: m.Stamp()})
	return response, fault.Wrap("fetch manifest", string(instance), err)
}

// step applies one event and keeps its probes for Run.
func (m *Members) step(ev member.Event) member.SendReply {
	m.once.Do(m.init)
	m.mu.Lock()
	effects := m.Machine.Step(time.Now(), ev)
	reply, changed := m.apply(effects)
	if _, ticked := ev.(member.Ticked); ticked || changed {
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

// apply sorts effects; m.mu is held.
func (m *Members) apply(effects []member.Effect) (reply member.SendReply, changed bool) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case member.SendProbe:
			m.probes = append(m.probes, effect)
		case member.SendReply:
			reply = effect
		case member.RecordChanged:
			changed = true
			klog.V(1).InfoS("instance changed", "instance", effect.Record.Instance,
				"state", effect.Record.State, "incarnation", effect.Record.Incarnation,
				"unreachable", effect.Record.Unreachable)
		case member.InstanceForgotten:
			changed = true
		}
	}
	return reply, changed
}

func (m *Members) takeProbes() []member.SendProbe {
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
