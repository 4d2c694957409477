// Package manifests keeps the manifest of one instance up to date with the
// platform and the peers, and applies new ones.
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

// Store is the part of the platform that keeps manifests.
type Store interface {
	Write(ctx context.Context, writes []record.Write) record.WriteResult
	Read(ctx context.Context, keys []record.Key) ([]record.Row, error)
	Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error)
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// Manifests holds the manifest in force at one instance. Its exported fields
// are set before Init.
type Manifests struct {
	Self  id.Instance
	Store Store
	// FetchPeer returns the version in force at a peer and its manifest.
	// When nil, manifests come from the platform only.
	FetchFromPeer func(ctx context.Context, from id.Instance) (id.ManifestVersion, []byte, error)

	changed chan struct{}
	events  chan rollout.Event
	// handed wakes Run when pending has grown.
	pendingAdded chan struct{}

	mu      sync.Mutex
	machine rollout.Rollout
	current *manifest.Manifest
	yaml    []byte
	// pending holds effects that are left to Run.
	pending []rollout.Effect
}

// Init makes all methods usable before Run.
func (m *Manifests) Init() {
	m.changed = make(chan struct{}, 1)
	m.events = make(chan rollout.Event)
	m.pendingAdded = make(chan struct{}, 1)
}

// Run follows the versions until ctx ends.
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
			executor.executeAll(m.takePending())
		case <-timer.C:
			executor.dropPastWakeTimes(time.Now())
			executor.step(rollout.Ticked{})
		}
	}
}

// Changed receives after a new version came into force.
func (m *Manifests) Changed() <-chan struct{} { return m.changed }

// Seen hears the version that a message of another instance carried. Behind
// tells the truth as soon as it returns.
func (m *Manifests) ObserveVersion(v id.ManifestVersion, from id.Instance) {
	m.queueEffects(m.step(time.Now(), rollout.VersionReceived{Version: v, From: from}, nil))
}

// SetInstances says how many live instances share the platform.
func (m *Manifests) SetInstances(n int) {
	m.queueEffects(m.step(time.Now(), rollout.InstancesCounted{Instances: n}, nil))
}

// hand leaves effects to Run.
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

func (m *Manifests) takePending() []rollout.Effect {
	m.mu.Lock()
	defer m.mu.Unlock()
	effects := m.pending
	m.pending = nil
	return effects
}

// Current returns the manifest in force; the version is 0 before the first.
func (m *Manifests) Current() (id.ManifestVersion, *manifest.Manifest, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Version(), m.current, m.yaml
}

// Behind reports whether a higher version is known to be accepted.
func (m *Manifests) Behind() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Behind()
}

// CutOff reports whether neither the platform nor any peer was heard for
// several seconds.
func (m *Manifests) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.machine.Isolated(time.Now())
}

// step gives ev to the machine, and puts a manifest in force that it installs.
// It returns the effects left to carry out.
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
		klog.InfoS("manifest in force", "version", install.Version)
		select {
		case m.changed <- struct{}{}:
		default:
		}
	}
	return remaining
}

// follower carries out the effects of the machine for one Run.
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
			klog.ErrorS(err, "fetched manifest is not valid", "version", fetched.Version)
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

// start runs one operation and hands its event to Run.
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
		klog.V(1).InfoS("manifest row not read", "err", err)
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
		klog.V(1).InfoS("manifest not fetched", "version", e.Version, "err", err)
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
		klog.V(1).InfoS("manifest not fetched", "peer", e.Instance, "version", e.Version, "err", err)
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

// dropWakes forgets the times that have come.
func (x *effectExecutor) dropPastWakeTimes(now time.Time) {
	x.wakeTimes = slices.DeleteFunc(x.wakeTimes, func(w time.Time) bool { return !w.After(now) })
}

// Revision is one accepted version in the history.
type Revision struct {
	Version   id.ManifestVersion
	Operation id.Attempt
	Author    id.Instance
	AppliedAt time.Time
}

// History returns at most limit accepted versions, the newest first. It reads
// the platform.
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
