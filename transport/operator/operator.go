// Package operator serves and calls the protocol by which operators drive the
// instances: applying manifests, reading state, draining.
package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// The headers of the protocol.
const (
	// HeaderOperation identifies one change over all attempts to apply it.
	HeaderOperation = "X-Operation-Id"
	// HeaderManifestVersion carries the version of the manifest in a body.
	HeaderManifestVersion = "X-Samphirehead-Manifest-Version"
)

// The paths of the protocol.
const (
	pathManifest = "/v1/manifest"
	pathHistory  = "/v1/manifest/history"
	pathStatus   = "/v1/status"
	pathDrain    = "/v1/drain"
	pathMetrics  = "/debug/vars"
)

// ErrUnknownInstance is the cause where a named instance is not a member.
var ErrUnknownInstance = errors.New("there is no such instance")

// ErrNoManifest is the cause where no manifest is in force.
var ErrNoManifest = errors.New("no manifest is in force")

// Backend is what the server asks of its instance.
type Backend interface {
	// Apply makes yaml the successor of version base. A repeat with the
	// same operation gets the result of the first. An error means that
	// nothing was written.
	Apply(ctx context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (ApplyResult, error)
	// Manifest returns the manifest in force at the instance, or
	// ErrNoManifest.
	Manifest(ctx context.Context) (id.ManifestVersion, []byte, error)
	// History returns the latest accepted versions, the newest first.
	History(ctx context.Context, limit int) ([]Revision, error)
	// Status describes every known instance.
	Status(ctx context.Context) ([]InstanceStatus, error)
	// Drain tells an instance to leave; ErrUnknownInstance if there is
	// none.
	Drain(ctx context.Context, instance id.Instance) error
}

// ApplyResult is the result of applying a manifest: one of Accepted, Conflict,
// Invalid and Unknown.
type ApplyResult interface{ applyResult() }

// Accepted says that the manifest is in the platform's table.
type Accepted struct {
	// Version is one more than the base.
	Version id.ManifestVersion
}

// Conflict says that the base is not the current version; nothing changed.
type Conflict struct {
	// Current is the version in force; 0 means none.
	Current id.ManifestVersion
	// Difference leads from the current manifest to the refused one.
	Difference []manifest.Change
}

// Invalid says that the manifest has faults; nothing changed.
type Invalid struct {
	// Faults is never empty.
	Faults []manifest.Fault
}

// Unknown says that the manifest may have been accepted. Repeating with the
// same operation settles it.
type Unknown struct {
	// Cause says what failed.
	Cause string
}

func (Accepted) applyResult() {}
func (Conflict) applyResult() {}
func (Invalid) applyResult()  {}
func (Unknown) applyResult()  {}

// Revision is one accepted manifest.
type Revision struct {
	Version   id.ManifestVersion `json:"version"`
	Operation id.Attempt         `json:"operation"`
	// Author is the instance that wrote it.
	Author    id.Instance `json:"author"`
	AppliedAt time.Time   `json:"applied_at"`
}

// InstanceState is what is known of the life of an instance.
type InstanceState string

// The states of an instance.
const (
	StateStarting    InstanceState = "starting"
	StateLive        InstanceState = "live"
	StateSuspected   InstanceState = "suspected"
	StateLeaving     InstanceState = "leaving"
	StateUnreachable InstanceState = "unreachable"
)

// InstanceStatus describes one instance.
type InstanceStatus struct {
	Instance      id.Instance      `json:"instance"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	State         InstanceState    `json:"state"`
	// ManifestVersion is the one in force there; 0 means none.
	ManifestVersion id.ManifestVersion `json:"manifest_version"`
	// ManifestTakenAt is when it came into force there, by that instance's
	// clock; zero means unknown.
	ManifestActivatedAt time.Time `json:"manifest_taken_at,omitzero"`
	// InFlight counts the callers' requests in progress there.
	InFlight int `json:"in_flight"`
	// Queued lists the waiting requests there, by class.
	Queued []ClassQueue `json:"queued"`
}

// ClassQueue counts the waiting requests of one class.
type ClassQueue struct {
	Class    id.Class `json:"class"`
	Requests int      `json:"requests"`
}
