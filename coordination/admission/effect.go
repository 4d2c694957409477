package admission

import (
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

// Effect is one output of the queue.
type Effect interface{ effect() }

// Granted assigns a request to an upstream, where it may run now.
type Granted struct {
	Ticket   Ticket
	Upstream id.Upstream
}

// Reason says why a request was refused.
type Reason string

// The reasons of a refusal.
const (
	// UnknownClass means that the manifest has no such class.
	UnknownClass Reason = "unknown_class"
	// NoUpstream means that no upstream may serve the request.
	NoUpstream Reason = "no_upstream"
	// QueueFull means that the class has as many waiting requests as its
	// bound allows. The refused request is not always the newest.
	QueueFull Reason = "queue_full"
	// Target means that the first-token target can't be met.
	Target Reason = "target"
	// Displaced means that the request was removed from the queue to make room
	// for one of a higher tier.
	Displaced Reason = "displaced"
	// Deadline means that the deadline passed while waiting.
	Deadline Reason = "deadline"
	// Quarantined means that requests of the same fingerprint have crashed
	// upstreams.
	Quarantined Reason = "quarantined"
)

// Refused ends a waiting request, which has not run since it arrived.
type Refused struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is how long to wait before a new attempt could succeed; 0
	// when unknown.
	RetryAfter time.Duration
}

// Preempt asks to end a run early. The request is expected to arrive again, with
// the output that was already delivered as its ResumeOffset.
type Preempt struct {
	Ticket   Ticket
	Upstream id.Upstream
}

// BroadcastCrashRecords asks to send crash records to all other instances.
type BroadcastCrashRecords struct{ Records []quarantine.Record }

func (Granted) effect()               {}
func (Refused) effect()               {}
func (Preempt) effect()               {}
func (BroadcastCrashRecords) effect() {}
