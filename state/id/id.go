// Package id names the identifiers and counted quantities that every layer
// shares.
package id

// Instance identifies one samphirehead process. It stays the same when a
// process restarts under the same settings.
type Instance string

// Incarnation orders the lives of one instance: a restarted process has a
// higher one, in Unix nanoseconds of its start.
type Incarnation uint64

// Upstream identifies one worker of a model engine or of a plain service.
type Upstream string

// FailureDomain names a set of machines that can fail together.
type FailureDomain string

// Region names a set of failure domains close to each other.
type Region string

// Workspace identifies one customer of the operators.
type Workspace string

// Class names a class of traffic in the manifest.
type Class string

// Model names a model that engines can serve.
type Model string

// Service names a plain service beside the engines.
type Service string

// Pool names the upstreams that can serve the same requests: all engines that
// hold one model, or all workers of one service.
type Pool string

// ModelPool returns the pool of the engines that serve m.
func ModelPool(m Model) Pool { return Pool("model:" + string(m)) }

// ServicePool returns the pool of the workers of s.
func ServicePool(s Service) Pool { return Pool("service:" + string(s)) }

// Request identifies one request of a caller, across its attempts.
type Request string

// Attempt identifies one try at writing a claim, lease or version.
type Attempt string

// Tier is the priority of a class; 1 is the highest.
type Tier int

// Tokens counts model tokens.
type Tokens int64

// ManifestVersion numbers accepted manifests from 1; 0 means none.
type ManifestVersion uint64

// FencingNumber orders the holders of a lease; it rises with each take-over.
type FencingNumber uint64

// Fingerprint identifies requests of one workspace with the same model and
// body.
type Fingerprint uint64
