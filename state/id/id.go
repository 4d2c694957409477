// Package id defines the types of identifiers and counted quantities that all
// layers share.
package id

// Instance identifies one samphirehead process. It stays the same when the
// process restarts with the same settings.
type Instance string

// Incarnation orders the successive processes of one instance: it is the process
// start time in Unix nanoseconds, so that a restarted process has a higher one.
type Incarnation uint64

// Upstream identifies one server that requests are forwarded to: a model engine
// or a worker of a plain service.
type Upstream string

// SoftwareVersion names a version of the software of an upstream; it says nothing of
// the weights of its models.
type SoftwareVersion string

// FailureDomain names a set of hosts that can fail together.
type FailureDomain string

// Region names a set of failure domains that are close to each other.
type Region string

// Workspace identifies one customer of the operators of the system.
type Workspace string

// Class names a class of traffic in the manifest.
type Class string

// Model names a model that engines can serve.
type Model string

// Service names a plain service, as opposed to a model engine.
type Service string

// Pool names a set of upstreams that can serve the same requests: all engines
// that serve one model, or all workers of one service.
type Pool string

// ModelPool returns the pool of the engines that serve m.
func ModelPool(m Model) Pool { return Pool("model:" + string(m)) }

// ServicePool returns the pool of the workers of s.
func ServicePool(s Service) Pool { return Pool("service:" + string(s)) }

// Request identifies one request of a caller, across its attempts.
type Request string

// Attempt identifies one attempt to write a claim, lease or version.
type Attempt string

// Tier is the priority of a class; 1 is the highest.
type Tier int

// Tokens counts model tokens.
type Tokens int64

// ManifestVersion numbers accepted manifests from 1; 0 means none.
type ManifestVersion uint64

// FencingNumber orders the holders of a lease; it rises with each new holder.
type FencingNumber uint64

// eraShift is the bit of a fencing number above which it holds the era of the table, so that a
// number that was lost with a restoration is never given out again.
const eraShift = 32

// FirstFencingNumber returns the number below all that are given out in an era of the table.
func FirstFencingNumber(era uint64) FencingNumber { return FencingNumber(era) << eraShift }

// Era returns the era of the table in which the number was given out; 0 if that was not known.
func (n FencingNumber) Era() uint64 { return uint64(n) >> eraShift }

// Fingerprint is the same for all requests of one workspace with the same model
// and body.
type Fingerprint uint64
