package instance

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/instance/manifests"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/document"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/operator"
)

func (i *Instance) buildManifests() {
	i.manifests = &manifests.Manifests{
		Self:          i.Settings.Instance,
		Store:         i.platform,
		FetchFromPeer: i.fetchManifest,
	}
	i.manifests.Init()
}

// fetchManifest fetches the active manifest of another instance.
func (i *Instance) fetchManifest(ctx context.Context, from id.Instance) (id.ManifestVersion, []byte, error) {
	response, err := i.members.FetchManifestFrom(ctx, from)
	if err != nil {
		return 0, nil, fault.Wrap("fetch manifest", string(from), err)
	}
	return id.ManifestVersion(response.Version), response.Yaml, nil
}

// activateManifest activates the current manifest if it is newer than the active
// one. The dispatcher is configured first, so that requests see the manifest only
// once upstreams are chosen by it.
func (i *Instance) activateManifest() {
	version, m, _ := i.manifests.Current()
	if m == nil || version <= i.version() {
		return
	}
	next := &activeManifest{version: version, index: manifest.NewIndex(m), activatedAt: time.Now()}
	i.reconfigure(next)
	i.active.Store(next)
}

func (i *Instance) manifestResponse() *wire.FetchManifestResponse {
	version, _, yaml := i.manifests.Current()
	return &wire.FetchManifestResponse{Stamp: i.stamp(), Version: uint64(version), Yaml: yaml}
}

// Apply proposes yaml as the successor of the manifest version base. A manifest
// that is invalid or conflicts with a newer version is a result, not an error.
func (h *operatorHandler) Apply(ctx context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (operator.ApplyResult, error) {
	proposed, err := manifest.Parse("manifest", yaml)
	if faults := new(document.Faults); errors.As(err, &faults) {
		return operator.Invalid{Faults: faults.List}, nil
	}
	if err != nil {
		return nil, err
	}
	version, accepted, err := h.manifests.Apply(ctx, base, yaml, operation)
	switch {
	case errors.Is(err, manifests.ErrOutcomeUnknown):
		return operator.Unknown{Cause: err.Error()}, nil
	case err != nil:
		return nil, err
	case accepted:
		return operator.Accepted{Version: version}, nil
	}
	conflict := operator.Conflict{Current: version}
	if _, current, _ := h.manifests.Current(); current != nil {
		conflict.Difference = manifest.Diff(current, proposed)
	}
	return conflict, nil
}

// Manifest returns the current manifest of this instance.
func (h *operatorHandler) Manifest(context.Context) (id.ManifestVersion, []byte, error) {
	version, _, yaml := h.manifests.Current()
	if version == 0 {
		return 0, nil, operator.ErrNoManifest
	}
	return version, yaml, nil
}

// History returns at most limit accepted versions, the newest first.
func (h *operatorHandler) History(ctx context.Context, limit int) ([]operator.Revision, error) {
	revisions, err := h.manifests.History(ctx, limit)
	if err != nil {
		return nil, err
	}
	out := make([]operator.Revision, len(revisions))
	for n, r := range revisions {
		out[n] = operator.Revision(r)
	}
	return out, nil
}
