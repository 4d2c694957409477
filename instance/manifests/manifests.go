// Package manifests keeps the manifest of one instance up to date with the
// platform's table.
package manifests

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/record"
)

const (
	pollInterval = 500 * time.Millisecond
	currentKey   = record.Key("manifest/current")
)

// Store is the part of the platform that keeps manifests.
type Store interface {
	Write(ctx context.Context, writes []record.Write) record.WriteResult
	Read(ctx context.Context, keys []record.Key) ([]record.Row, error)
	Scan(ctx context.Context, prefix, after record.Key, limit int) ([]record.Row, error)
	PutObject(ctx context.Context, name string, body []byte) error
	GetObject(ctx context.Context, name string) ([]byte, error)
}

// row is the value of the row that names the current manifest.
type row struct {
	Version     id.ManifestVersion `json:"version"`
	Operation   id.Attempt         `json:"operation"`
	Author      id.Instance        `json:"author_instance"`
	AppliedAtMs int64              `json:"applied_unix_ms"`
	Object      string             `json:"yaml_object"`
}

// Manifests polls for new versions. Its exported fields are set before Run.
type Manifests struct {
	Self  id.Instance
	Store Store

	mu      sync.Mutex
	version id.ManifestVersion
	current *manifest.Manifest
	yaml    []byte
	changed chan struct{}
	wake    chan struct{}
}

// Init makes Changed and Seen usable before Run.
func (m *Manifests) Init() {
	m.changed = make(chan struct{}, 1)
	m.wake = make(chan struct{}, 1)
}

// Run polls until ctx ends.
func (m *Manifests) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		if err := m.poll(ctx); err != nil && ctx.Err() == nil {
			klog.V(1).InfoS("manifest not read", "err", err)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-m.wake:
		}
	}
}

// Changed receives after a new version came into force.
func (m *Manifests) Changed() <-chan struct{} { return m.changed }

// Seen hears the version of another instance.
func (m *Manifests) Seen(v id.ManifestVersion, _ id.Instance) {
	if version, _, _ := m.Current(); v <= version {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// Current returns the manifest in force; the version is 0 before the first.
func (m *Manifests) Current() (id.ManifestVersion, *manifest.Manifest, []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.current, m.yaml
}

func (m *Manifests) poll(ctx context.Context) error {
	r, _, err := m.read(ctx)
	if err != nil || r == nil {
		return err
	}
	if version, _, _ := m.Current(); r.Version <= version {
		return nil
	}
	yaml, err := m.Store.GetObject(ctx, r.Object)
	if err != nil {
		return err
	}
	return m.install(r.Version, yaml)
}

func (m *Manifests) read(ctx context.Context) (*row, record.Version, error) {
	rows, err := m.Store.Read(ctx, []record.Key{currentKey})
	if err != nil || len(rows) == 0 {
		return nil, 0, err
	}
	var r row
	if err := json.Unmarshal(rows[0].Value, &r); err != nil {
		return nil, 0, fault.At("decode manifest row", "platform", err)
	}
	return &r, rows[0].Version, nil
}

func (m *Manifests) install(v id.ManifestVersion, yaml []byte) error {
	parsed, err := manifest.Parse(fmt.Sprintf("version %d", v), yaml)
	if err != nil {
		return fault.At("parse manifest", "platform", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if v <= m.version {
		return nil
	}
	m.version, m.current, m.yaml = v, parsed, yaml
	select {
	case m.changed <- struct{}{}:
	default:
	}
	return nil
}

// Apply makes yaml the successor of version base. It returns the version in
// force afterwards and whether that is the given manifest.
func (m *Manifests) Apply(ctx context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (id.ManifestVersion, bool, error) {
	current, expected, err := m.read(ctx)
	if err != nil {
		return 0, false, err
	}
	version := id.ManifestVersion(0)
	if current != nil {
		version = current.Version
	}
	if version != base {
		return version, current.Operation == operation, nil
	}
	object := fmt.Sprintf("manifest/%d/%s", base+1, operation)
	if err := m.Store.PutObject(ctx, object, yaml); err != nil {
		return 0, false, err
	}
	value, err := json.Marshal(row{Version: base + 1, Operation: operation, Author: m.Self, AppliedAtMs: time.Now().UnixMilli(), Object: object})
	if err != nil {
		return 0, false, fault.At("encode manifest row", "", err)
	}
	switch r := m.Store.Write(ctx, []record.Write{{Key: currentKey, Expected: expected, Value: value}}).(type) {
	case record.Written:
		return base + 1, true, m.install(base+1, yaml)
	case record.Conflicted:
		return base + 1, false, nil
	case record.Refused:
		return 0, false, r.Err
	case record.Unknown:
		return 0, false, errors.Mark(r.Err, ErrUnknown)
	}
	return 0, false, nil
}

// ErrUnknown marks an Apply that may have taken effect.
var ErrUnknown = errors.New("outcome unknown")
