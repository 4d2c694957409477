package member

import (
	"time"

	"samphirehead/state/id"
)

// ProbeNumber matches the result of a probe to its effect.
type ProbeNumber uint64

// Event is one input of the machine.
type Event interface{ event() }

// Ticked passes time; it is due every TickInterval.
type Ticked struct{}

// Listed brings the platform's list of instances, which may be late.
type InstancesListed struct {
	// Members need Instance, FailureDomain, Region and the addresses.
	Members []Record
}

// Heard reports a probe received from another instance. Its effects contain
// one Reply.
type ProbeReceived struct {
	From    id.Instance
	Records []Record
	// Sync asks for records of all instances after SyncAfter in the order
	// of ids, for an instance that starts.
	Sync      bool
	SyncAfter id.Instance
}

// ProbeAnswered reports the answer to a Probe.
type ProbeAnswered struct {
	Number ProbeNumber
	// From is who answered; it differs from the one asked where another
	// instance took over its address.
	From id.Instance
	// Reached is set when the instance in between reached the target.
	Reached bool
	Records []Record
	// Page is that of Reply.
	Page []Record
}

// ProbeFailed reports that a Probe got no answer.
type ProbeFailed struct {
	Number   ProbeNumber
	Evidence Evidence
}

// Noticed reports that another call to Instance failed. It causes a probe.
type ProbeRequested struct{ Instance id.Instance }

// Updated sets what the instance says of itself.
type SelfUpdated struct {
	Manifest id.ManifestVersion
	Headroom float64
}

// Learned brings records that came outside of probes of one's own, such as the
// answer of the target of an indirect probe for another instance.
type RecordsReceived struct{ Records []Record }

// Left makes the instance leave. It is not undone within an incarnation.
type LeaveRequested struct{}

func (Ticked) event()          {}
func (InstancesListed) event() {}
func (ProbeReceived) event()   {}
func (ProbeAnswered) event()   {}
func (ProbeFailed) event()     {}
func (ProbeRequested) event()  {}
func (SelfUpdated) event()     {}
func (RecordsReceived) event() {}
func (LeaveRequested) event()  {}

// Effect is one output of the machine.
type Effect interface{ effect() }

// Probe asks for a call to Address. Its result is due within Timeout, as
// ProbeAnswered or ProbeFailed.
type SendProbe struct {
	Number ProbeNumber
	// To is who is called.
	To      id.Instance
	Address string
	// Target is set on an indirect probe: the instance that To is to probe.
	Target  id.Instance
	Timeout time.Duration
	Records []Record
	// Sync and SyncAfter are those of Heard.
	Sync      bool
	SyncAfter id.Instance
}

// Reply answers a Heard.
type SendReply struct {
	// Records holds at most MaxRecords.
	Records []Record
	// Page answers Sync, in the order of ids, with at most MaxSyncRecords;
	// fewer mean that no more follow.
	Page []Record
}

// Changed reports a change in what is believed of an instance that matters to
// others: its life, state, addresses, readiness or the local flags.
type RecordChanged struct{ Record Record }

// Forgotten reports that an instance is no longer known.
type InstanceForgotten struct{ Instance id.Instance }

func (SendProbe) effect()         {}
func (SendReply) effect()         {}
func (RecordChanged) effect()     {}
func (InstanceForgotten) effect() {}
