// Package manifests keeps the active manifest of one instance up to date with
// the platform and the peers, and applies new manifests.
package manifests

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/rollout"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/record"
)

const (
	readTimeout  = 2 * time.Second
	fetchTimeout = 2 * time.Second
)

// Store is the part of the platform API that stores manifests: table rows for
// the versions, objects for the YAML.
type Store interface {
	Write(ctx context.Context, writes []record.Write) record.WriteResult
	Read(ctx context.Context, keys []record.Key) ([]record.Row, error)
	Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error)
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Manifests holds the active manifest of one instance. Its exported fields must
// be set before Init.
type Manifests struct {
	Self  id.Instance
	Store Store
	// FetchFromPeer returns the active version of a peer and its YAML. If it
	// is nil, manifests are fetched from the platform only.
	FetchFromPeer func(ctx context.Context, from id.Instance) (id.ManifestVersion, []byte, error)

	changed chan struct{}
	events  chan rollout.Event
	// pendingAdded wakes Run after effects were appended to pending.
	pendingAdded chan struct{}

	mu      sync.Mutex
	machine rollout.Rollout
	current *manifest.Manifest
	yaml    []byte
	// pending holds effects that Run is to execute.
	pending []rollout.Effect
}

// Init prepares m. The other methods may be called after Init, also before Run.
func (m *Manifests) Init() {
	m.changed = make(chan struct{}, 1)
	m.events = make(chan rollout.Event)
	m.pendingAdded = make(chan struct{}, 1)
}

// Run polls the platform and fetches new versions until ctx is done.
func (m *Manifests) Run(ctx context.Context) error {
	executor := &effectExecutor{manifests: m, ctx: ctx}
	defer executor.operations.Wait()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	executor.step(rollout.Started{})
	for {
		timer.Reset(executor.timeUntilWake(time.Now()))
		select {
		case <-ctx.Done():
			return nil
		case ev := <-m.events:
			executor.step(ev)
		case <-m.pendingAdded:
			executor.executeAll(m.dequeueEffects())
		case <-timer.C:
			executor.dropPastWakeTimes(time.Now())
			executor.step(rollout.Ticked{})
		}
	}
}

// Changed returns a channel that receives a value after a new version became
// active. Several changes may arrive as one value.
func (m *Manifests) Changed() <-chan struct{} { return m.changed }

// ObserveVersion takes in the version that a message from another instance
// carried. When it returns, Behind already accounts for that version.
func (m *Manifests) ReceiveVersion(v id.ManifestVersion, from id.Instance) {
	m.queueEffects(m.step(time.Now(), rollout.VersionReceived{Version: v, From: from}, nil))
}

// SetInstances sets the number of live instances, among which the read rate of
// the platform is divided.
func (m *Manifests) SetInstances(n int) {
	m.queueEffects(m.step(time.Now(), rollout.InstancesCounted{Instances: n}, nil))
}

// queueEffects passes effects to Run, which executes them.
func (m *Manifests) queueEffects(effects []rollout.Effect) {
	if len(effects) == 0 {
		return
	}
	m.mu.Lock()
	m.pending = append(m.pending, effects...)
	m.mu.Unlock()
	select {
	case m.pendingAdded <- struct{}{}:
	default:
	}
}

func (m *Manifests) dequeueEffects() []rollout.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	effects := m.pending
	m.pending = nil
	return effects
}

// Current returns the version, the parsed form and the YAML of the active
// manifest. The version is 0 before the first manifest is active.
func (m *Manifests) Current() (id.ManifestVersion, *manifest.Manifest, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Version(), m.current, m.yaml
}

// Behind reports whether a version is known to be accepted that is higher than
// the active one.
func (m *Manifests) Behind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Behind()
}

// Isolated reports whether neither the platform nor any peer has responded or
// sent a message for several seconds, so that the active manifest may be stale.
func (m *Manifests) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Isolated(time.Now())
}

// step applies ev to the state machine. If that installs a manifest, parsed must
// be its parsed form, and it becomes the active manifest. The effects that step
// returns are still to be executed.
func (m *Manifests) step(now time.Time, ev rollout.Event, parsed *manifest.Manifest) []rollout.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	var remaining []rollout.Effect
	for _, effect := range m.machine.Step(now, ev) {
		install, ok := effect.(rollout.Install)
		if !ok {
			remaining = append(remaining, effect)
			continue
		}
		m.current, m.yaml = parsed, install.YAML
		klog.InfoS("manifest activated", "version", install.Version)
		select {
		case m.changed <- struct{}{}:
		default:
		}
	}
	return remaining
}

// effectExecutor executes the effects of the state machine during one Run.
type effectExecutor struct {
	manifests  *Manifests
	ctx        context.Context
	operations sync.WaitGroup
	wakeTimes  []time.Time
}

func (x *effectExecutor) step(ev rollout.Event) {
	now := time.Now()
	var parsed *manifest.Manifest
	if fetched, ok := ev.(rollout.Fetched); ok {
		var err error
		parsed, err = manifest.Parse(fmt.Sprintf("version %d", fetched.Version), fetched.YAML)
		if err != nil {
			klog.ErrorS(err, "fetched manifest is invalid", "version", fetched.Version)
			ev = rollout.FetchFailed{}
		}
	}
	x.executeAll(x.manifests.step(now, ev, parsed))
}

func (x *effectExecutor) executeAll(effects []rollout.Effect) {
	for _, effect := range effects {
		x.execute(effect)
	}
}

func (x *effectExecutor) execute(effect rollout.Effect) {
	switch e := effect.(type) {
	case rollout.ReadCurrentRow:
		x.start(readTimeout, x.readCurrent)
	case rollout.FetchObject:
		x.start(fetchTimeout, func(ctx context.Context) rollout.Event { return x.fetchObject(ctx, e) })
	case rollout.FetchFromPeer:
		x.start(fetchTimeout, func(ctx context.Context) rollout.Event { return x.fetchFromPeer(ctx, e) })
	case rollout.WakeAt:
		x.wakeTimes = append(x.wakeTimes, e.Time)
	}
}

// start runs operation in a goroutine and sends the event that it returns to Run.
func (x *effectExecutor) start(timeout time.Duration, operation func(context.Context) rollout.Event) {
	x.operations.Go(func() {
		ctx, cancel := context.WithTimeout(x.ctx, timeout)
		defer cancel()
		ev := operation(ctx)
		select {
		case x.manifests.events <- ev:
		case <-x.ctx.Done():
		}
	})
}

func (x *effectExecutor) readCurrent(ctx context.Context) rollout.Event {
	rows, err := x.manifests.Store.Read(ctx, []record.Key{rollout.CurrentKey})
	if err != nil {
		klog.V(1).InfoS("reading the manifest row failed", "err", err)
		return rollout.CurrentRowRead{Err: err}
	}
	if len(rows) == 0 {
		return rollout.CurrentRowRead{}
	}
	return rollout.CurrentRowRead{Row: rows[0]}
}

func (x *effectExecutor) fetchObject(ctx context.Context, e rollout.FetchObject) rollout.Event {
	yaml, err := x.manifests.Store.GetObject(ctx, e.Object)
	if err != nil {
		klog.V(1).InfoS("fetching the manifest from the platform failed", "version", e.Version, "err", err)
		return rollout.FetchFailed{}
	}
	return rollout.Fetched{Version: e.Version, YAML: yaml}
}

func (x *effectExecutor) fetchFromPeer(ctx context.Context, e rollout.FetchFromPeer) rollout.Event {
	if x.manifests.FetchFromPeer == nil {
		return rollout.FetchFailed{}
	}
	version, yaml, err := x.manifests.FetchFromPeer(ctx, e.Instance)
	if err != nil {
		klog.V(1).InfoS("fetching the manifest from a peer failed", "peer", e.Instance, "version", e.Version, "err", err)
		return rollout.FetchFailed{}
	}
	return rollout.Fetched{Version: version, YAML: yaml}
}

func (x *effectExecutor) timeUntilWake(now time.Time) time.Duration {
	wait := time.Hour
	for _, w := range x.wakeTimes {
		wait = min(wait, max(0, w.Sub(now)))
	}
	return wait
}

// dropPastWakeTimes removes the wake times that are not after now.
func (x *effectExecutor) dropPastWakeTimes(now time.Time) {
	x.wakeTimes = slices.DeleteFunc(x.wakeTimes, func(w time.Time) bool { return !w.After(now) })
}

// Revision is one accepted version of the manifest.
type Revision struct {
	Version   id.ManifestVersion
	Operation id.Attempt
	Author    id.Instance
	AppliedAt time.Time
}

// History reads at most limit accepted versions from the platform and returns
// them newest first.
func (m *Manifests) History(ctx context.Context, limit int) ([]Revision, error) {
	current, _, _ := m.Current()
	after := record.Key("")
	if current > id.ManifestVersion(limit) {
		after = rollout.HistoryKey(current - id.ManifestVersion(limit))
	}
	rows, err := m.Store.Scan(ctx, rollout.HistoryPrefix, after, limit)
	if err != nil {
		return nil, fault.Wrap("read manifest history", "", err)
	}
	out := make([]Revision, 0, len(rows))
	for n := len(rows) - 1; n >= 0; n-- {
		row, err := rollout.DecodeRow(rows[n])
		if err != nil {
			return nil, fault.Wrap("read manifest history", "", err)
		}
		out = append(out, Revision{row.Version, row.Operation, row.Author, row.AppliedAt()})
	}
	return out, nil
}
