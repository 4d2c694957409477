package membership

import (
	"time"

	"samphirehead/state/id"
)

// ProbeNumber matches the result of a probe to the SendProbe that asked for it.
type ProbeNumber uint64

// Event is an input of the Machine.
type Event interface{ event() }

// Ticked makes the machine check its timers. It is due every TickInterval.
type Ticked struct{}

// InstancesListed carries the platform's list of instances, which may be out of
// date.
type InstancesListed struct {
	// Members need Instance, FailureDomain, Region and the addresses.
	Members []Record
}

// ProbeReceived reports a probe by another instance. Its effects contain exactly
// one SendReply.
type ProbeReceived struct {
	From    id.Instance
	Records []Record
	// Sync asks for a page of records: those of the instances whose ids
	// follow SyncAfter. Starting instances fetch all records page by page.
	Sync      bool
	SyncAfter id.Instance
}

// ProbeAnswered reports the answer to a SendProbe.
type ProbeAnswered struct {
	Number ProbeNumber
	// From is the instance that answered. It is not the one probed if another
	// instance took over its address.
	From id.Instance
	// Reached is set if the relay of an indirect probe reached the target.
	Reached bool
	Records []Record
	// Page is that of SendReply.
	Page []Record
}

// ProbeFailed reports that a SendProbe got no answer.
type ProbeFailed struct {
	Number   ProbeNumber
	Evidence Evidence
}

// ProbeRequested asks for a probe of Instance at once, because a call other than a
// probe failed there or because urgent records are to be sent to it. Dead instances
// and those with a probe in flight are not probed.
type ProbeRequested struct{ Instance id.Instance }

// SelfUpdated sets the state that this instance reports about itself. See Record
// for the fields.
type SelfUpdated struct {
	Manifest id.ManifestVersion
	Headroom float64
}

// RecordsReceived carries records that arrived neither with ProbeReceived nor with
// ProbeAnswered: those in the target's answer to a probe that this instance relayed.
type RecordsReceived struct{ Records []Record }

// LeaveRequested sets the state of this instance to Leaving, which cannot be
// revoked within an incarnation.
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

// Effect is an output of the Machine.
type Effect interface{ effect() }

// SendProbe asks for a probe to be sent to Address. Its result is due within
// Timeout, as ProbeAnswered or ProbeFailed.
type SendProbe struct {
	Number ProbeNumber
	// To is the instance expected at Address.
	To      id.Instance
	Address string
	// Target is set on an indirect probe: the instance that To probes as a
	// relay.
	Target  id.Instance
	Timeout time.Duration
	Records []Record
	// Sync and SyncAfter are those of ProbeReceived.
	Sync      bool
	SyncAfter id.Instance
}

// SendReply asks for the answer to a ProbeReceived to be sent.
type SendReply struct {
	// Records holds at most MaxRecords.
	Records []Record
	// Page answers Sync, ordered by id. It holds at most MaxSyncRecords; a
	// shorter page is the last one.
	Page []Record
}

// RecordChanged reports a significant change to the record of an instance: of its
// incarnation, state, addresses, readiness or a local flag.
type RecordChanged struct{ Record Record }

// InstanceForgotten reports that an instance is no longer known.
type InstanceForgotten struct{ Instance id.Instance }

func (SendProbe) effect()         {}
func (SendReply) effect()         {}
func (RecordChanged) effect()     {}
func (InstanceForgotten) effect() {}
