package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/instance/manifests"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/document"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/operator"
)

func (i *Instance) buildManifests() {
	i.manifests = &manifests.Manifests{Self: i.Settings.Instance, Store: i.platform}
	i.manifests.Init()
}

// takeManifest makes the current manifest the one in force here.
func (i *Instance) takeManifest() {
	version, m, _ := i.manifests.Current()
	if m == nil || version <= i.version() {
		return
	}
	i.index.Store(&indexed{version: version, index: manifest.NewIndex(m), taken: time.Now()})
}

func (i *Instance) manifestMessage() *wire.FetchManifestResponse {
	version, _, yaml := i.manifests.Current()
	return &wire.FetchManifestResponse{Stamp: i.stamp(), Version: uint64(version), Yaml: yaml}
}

// Apply makes yaml the successor of version base.
func (b *operatorBackend) Apply(ctx context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (operator.ApplyResult, error) {
	proposed, err := manifest.Parse("manifest", yaml)
	if faults := new(document.Faults); errors.As(err, &faults) {
		return operator.Invalid{Faults: faults.List}, nil
	}
	if err != nil {
		return nil, err
	}
	version, accepted, err := b.manifests.Apply(ctx, base, yaml, operation)
	switch {
	case errors.Is(err, manifests.ErrUnknown):
		return operator.Unknown{Cause: err.Error()}, nil
	case err != nil:
		return nil, err
	case accepted:
		return operator.Accepted{Version: version}, nil
	}
	conflict := operator.Conflict{Current: version}
	if _, current, _ := b.manifests.Current(); current != nil {
		conflict.Difference = manifest.Diff(current, proposed)
	}
	return conflict, nil
}

// Manifest returns the manifest in force here.
func (b *operatorBackend) Manifest(context.Context) (id.ManifestVersion, []byte, error) {
	version, _, yaml := b.manifests.Current()
	if version == 0 {
		return 0, nil, operator.ErrNoManifest
	}
	return version, yaml, nil
}

// History returns the accepted versions.
func (b *operatorBackend) History(context.Context, int) ([]operator.Revision, error) {
	return nil, errors.New("not available")
}
