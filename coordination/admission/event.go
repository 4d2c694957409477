package admission

import (
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Ticket numbers the requests of one entry.
type Ticket uint64

// Request asks for one use of an upstream.
type Request struct {
	Ticket       Ticket
	Request      id.Request
	Pool         id.Pool
	Class        id.Class
	Workspace    id.Workspace
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
}

// Event is one input of the queue.
type Event interface{ event() }

// Configured replaces the classes, and says that upstreams have changed.
type Configured struct{ Classes []manifest.Class }

// Arrived reports a request.
type Arrived struct{ Request }

// Withdrawn takes a waiting request back, or ends one that was granted and did
// not run.
type Withdrawn struct{ Ticket Ticket }

// Outcome says how a run ended.
type Outcome string

// The outcomes of a run.
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
	// Yielded runs were ended because of a Preempted effect.
	Preempted Outcome = "preempted"
)

// Released reports the end of a run.
type Released struct {
	Ticket Ticket
	// Tokens is the number of answer tokens, from the start of the answer
	// (ResumeOffset included).
	Tokens  id.Tokens
	Outcome Outcome
	// FirstToken is the time from the start at the upstream to the first
	// token; 0 when none arrived.
	FirstToken time.Duration
}

// Waiting counts requests by pool and tier.
type Waiting map[id.Pool]map[id.Tier]int

// Told is what waits and runs at another instance.
type LoadReceived struct {
	Instance id.Instance
	Waiting  Waiting
	// Pressed are those of Waiting that may miss their target unless another
	// instance preempts for them, Running the runs that may be preempted.
	AtRisk, Running Waiting
}

// Heard is what other instances tell of crashes.
type CrashRecordsReceived struct{ Records []suspect.Record }

// Ticked reports only that time has passed, or that room may have come.
type Ticked struct{}

func (Configured) event()           {}
func (Arrived) event()              {}
func (Withdrawn) event()            {}
func (Released) event()             {}
func (LoadReceived) event()         {}
func (CrashRecordsReceived) event() {}
func (Ticked) event()               {}
