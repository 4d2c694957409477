package admission

import (
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Ticket identifies one arrival of a request at the queue of an instance; a
// requeued request arrives with a new one.
type Ticket uint64

// Request is one request for a slot of an upstream.
type Request struct {
	Ticket       Ticket
	Request      id.Request
	Pool         id.Pool
	Class        id.Class
	Workspace    id.Workspace
	PromptTokens id.Tokens
	// ResumeOffset is the number of output tokens already delivered. Above
	// 0, only an upstream that can resume a response is chosen.
	ResumeOffset id.Tokens
	// FirstTokenBy is the latency target of the first token, as an absolute
	// time.
	FirstTokenBy time.Time
	// Deadline is when the caller gives up, as an absolute time.
	Deadline time.Time
	// Prefix holds the hashes of the prompt's leading blocks, in order.
	Prefix []uint64
	// Excluded lists upstreams that must not be chosen.
	Excluded    []id.Upstream
	Fingerprint id.Fingerprint
	// Attempt counts earlier grants of the same request.
	Attempt int
}

// Event is one input of the queue.
type Event interface{ event() }

// Configured replaces the classes by those of a new manifest, and reports that the
// upstreams may have changed.
type Configured struct{ Classes []manifest.Class }

// Arrived reports a request that needs an upstream.
type Arrived struct{ Request }

// Withdrawn reports that a request is no longer wanted: one that waits, or one that
// was granted and did not run.
type Withdrawn struct{ Ticket Ticket }

// Outcome says how a run ended.
type Outcome string

// The outcomes of a run.
const (
	// Completed means that the whole response was delivered.
	Completed Outcome = "completed"
	// Cancelled means that the caller gave up.
	Cancelled Outcome = "cancelled"
	// Failed means that the upstream answered with an error.
	Failed Outcome = "failed"
	// Crashed means that the connection broke while the run was in progress.
	Crashed Outcome = "crashed"
	// Unreachable means that no connection to the upstream was made.
	Unreachable Outcome = "unreachable"
	// Preempted means that the run was ended because of a Preempt effect.
	Preempted Outcome = "preempted"
)

// Released reports the end of a run.
type Released struct {
	Ticket Ticket
	// Tokens is the number of output tokens since the start of the response,
	// ResumeOffset included.
	Tokens  id.Tokens
	Outcome Outcome
	// FirstToken is the time from the start of the run at the upstream to its
	// first token; 0 when no token arrived.
	FirstToken time.Duration
}

// Waiting counts requests by pool and tier.
type RequestCounts map[id.Pool]map[id.Tier]int

// LoadReceived carries the load report of another instance: what waits and runs
// there.
type LoadReceived struct {
	Instance id.Instance
	Waiting  RequestCounts
	// AtRisk counts those of Waiting that may miss their target unless another
	// instance preempts for them; Running counts the runs that may be preempted.
	AtRisk, Running RequestCounts
}

// CrashRecordsReceived carries crash records that another instance sent.
type CrashRecordsReceived struct{ Records []quarantine.Record }

// Ticked reports that time has passed, or that slots may have become free.
type Ticked struct{}

func (Configured) event()           {}
func (Arrived) event()              {}
func (Withdrawn) event()            {}
func (Released) event()             {}
func (LoadReceived) event()         {}
func (CrashRecordsReceived) event() {}
func (Ticked) event()               {}
