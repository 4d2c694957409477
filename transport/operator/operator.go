// Package operator implements the server and the client of the HTTP API for
// operators: it applies manifests, shows their history and the status of the
// instances, and drains instances.
package operator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// The headers of the API.
const (
	// HeaderOperation identifies a submission over all attempts to apply it.
	HeaderOperation = "X-Operation-Id"
	// HeaderManifestVersion is the version of the manifest in the body.
	HeaderManifestVersion = "X-Samphirehead-Manifest-Version"
)

// The paths of the API.
const (
	pathManifest = "/v1/manifest"
	pathHistory  = "/v1/manifest/history"
	pathStatus   = "/v1/status"
	pathDrain    = "/v1/drain"
	pathMetrics  = "/debug/vars"
)

// ErrUnknownInstance is returned by Backend.Drain if the instance is not a
// member.
var ErrUnknownInstance = errors.New("there is no such instance")

// ErrNoManifest is returned by Backend.Manifest if no manifest is active.
var ErrNoManifest = errors.New("no manifest is active")

// Backend handles the requests of operators; an instance implements it.
type RequestHandler interface {
	// Apply makes yaml the manifest that follows version base. A retry with
	// the same operation returns the result of the first attempt. An error
	// means that nothing was written.
	Apply(ctx context.Context, base id.ManifestVersion, yaml []byte, operation id.Attempt) (ApplyResult, error)
	// Manifest returns the version and the text of the active manifest, or
	// ErrNoManifest.
	Manifest(ctx context.Context) (id.ManifestVersion, []byte, error)
	// History returns up to limit of the latest accepted versions, the
	// newest first.
	History(ctx context.Context, limit int) ([]Revision, error)
	// Status returns the status of every known instance.
	Status(ctx context.Context) ([]InstanceStatus, error)
	// Drain asks an instance to drain. It returns ErrUnknownInstance if the
	// instance is not a member.
	Drain(ctx context.Context, instance id.Instance) error
}

// ApplyResult is the result of applying a manifest: Accepted, Conflict, Invalid
// or Unknown.
type ApplyResult interface{ applyResult() }

// Accepted means that the manifest is stored in the platform's table.
type Accepted struct {
	// Version is the version of the manifest, one more than the base.
	Version id.ManifestVersion
}

// Conflict means that the manifest was refused because its base is not the
// active version.
type Conflict struct {
	// Current is the active version; 0 means none.
	Current id.ManifestVersion
	// Difference lists the changes from the active manifest to the refused
	// one.
	Difference []manifest.Change
}

// Invalid means that the manifest was refused because it has faults.
type Invalid struct {
	// Faults is never empty.
	Faults []manifest.Fault
}

// Unknown means that the manifest may have been accepted. A retry with the same
// operation finds out.
type Unknown struct {
	// Cause describes the error that left the outcome open.
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
	// Author is the instance that stored the manifest.
	Author    id.Instance `json:"author"`
	AppliedAt time.Time   `json:"applied_at"`
}

// InstanceState is the state of an instance as the called instance sees it.
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
	// ManifestVersion is the active manifest version; 0 means none.
	ManifestVersion id.ManifestVersion `json:"manifest_version"`
	// ManifestActivatedAt is when that version became active, by the clock
	// of the instance; the zero time means unknown.
	ManifestActivatedAt time.Time `json:"manifest_taken_at,omitzero"`
	// InFlight counts the callers' requests in progress.
	InFlight int `json:"in_flight"`
	// Queued counts the queued requests of each class.
	Queued []ClassQueue `json:"queued"`
}

// ClassQueue counts the queued requests of one class.
type ClassQueue struct {
	Class    id.Class `json:"class"`
	Requests int      `json:"requests"`
}
