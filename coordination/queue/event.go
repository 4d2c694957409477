package queue

import (
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Event is one input of the queue.
type Event interface{ event() }

// Upstream describes one upstream that is homed here.
type Upstream struct {
	// Name is unique.
	Name id.Upstream
	// Pools lists the pools that the upstream serves.
	Pools []id.Pool
	// FailureDomain is where the upstream runs.
	FailureDomain id.FailureDomain
	// Capacity bounds the work in progress; it has at least one slot.
	Capacity manifest.Capacity
	// Resumes says that the upstream can go on with an answer at an offset.
	Resumes bool
}

// Configured replaces the classes and the upstreams. An upstream that is no
// longer listed gets no new work and is forgotten when its last reservation
// ends.
type Configured struct {
	Classes   []manifest.Class
	Upstreams []Upstream
}

// Arrived reports a reservation request from an entry. A repeated one is
// answered again and changes nothing.
type Arrived struct {
	Reservation  id.Reservation
	Request      id.Request
	Pool         id.Pool
	Class        id.Class
	Workspace    id.Workspace
	Holder       id.Instance
	PromptTokens id.Tokens
	// ResumeOffset is the number of answer tokens already delivered; above
	// 0 only an upstream that resumes is chosen.
	ResumeOffset id.Tokens
	// FirstTokenBy is the latency target as an absolute time.
	FirstTokenBy time.Time
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Prefix holds the hashes of the prompt's leading blocks, in order.
	Prefix []uint64
	// Excluded lists upstreams that must not be chosen.
	Excluded    []id.Upstream
	Fingerprint id.Fingerprint
	// Attempt counts earlier grants of the same request.
	Attempt int
	// MustNotPreempt keeps the work running whatever waits.
	MustNotPreempt bool
	// FailureDomain of the holder.
	FailureDomain id.FailureDomain
}

// Registered reports work that already runs at an upstream which is new to
// this home.
type Registered struct {
	Arrived
	Upstream id.Upstream
	// Tokens is as in Progressed.
	Tokens id.Tokens
}

// Withdrawn takes a waiting reservation back, or frees a granted one that was
// not used.
type Withdrawn struct{ Reservation id.Reservation }

// Progressed renews the lease of a granted reservation.
type Progressed struct {
	Reservation id.Reservation
	// Tokens is the number of answer tokens so far, from the start of the
	// answer (ResumeOffset included).
	Tokens id.Tokens
}

// Outcome says how the use of a reservation ended.
type Outcome string

// The outcomes of a reservation.
const (
	// Completed answers were delivered whole.
	Completed Outcome = "completed"
	// Cancelled ones were given up by the caller.
	Cancelled Outcome = "cancelled"
	// Failed ones got an error answer from the upstream.
	Failed Outcome = "failed"
	// Crashed ones lost their connection while in progress.
	Crashed Outcome = "crashed"
	// Unreachable upstreams could not be connected to.
	Unreachable Outcome = "unreachable"
	// OutcomePreempted ones were ended because of a Preempted effect.
	OutcomePreempted Outcome = "preempted"
)

// Released ends a granted reservation.
type Released struct {
	Reservation id.Reservation
	// Tokens is as in Progressed.
	Tokens  id.Tokens
	Outcome Outcome
	// FirstToken is the time from the start at the upstream to the first
	// token; 0 when none arrived.
	FirstToken time.Duration
}

// Reported is a late load report of an upstream.
type Reported struct {
	Upstream id.Upstream
	// AsOf is when the figures were true.
	AsOf    time.Time
	Running int
	Waiting int
	KVUsed  id.Tokens
}

// Cached is what an upstream's late cache events say of prompt prefixes.
type Cached struct {
	Upstream id.Upstream
	Stored   []uint64
	Evicted  []uint64
	// Gap says that events before these were lost: all that was known of
	// the upstream's cache is dropped first.
	Gap bool
}

// Heard is what other instances tell of crashes.
type Heard struct{ Records []suspect.Record }

// HolderLost reports that an instance has died with all it held.
type HolderLost struct{ Instance id.Instance }

// Ticked reports only that time has passed.
type Ticked struct{}

func (Configured) event() {}
func (Arrived) event()    {}
func (Registered) event() {}
func (Withdrawn) event()  {}
func (Progressed) event() {}
func (Released) event()   {}
func (Reported) event()   {}
func (Cached) event()     {}
func (Heard) event()      {}
func (HolderLost) event() {}
func (Ticked) event()     {}
