package admission

import (
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

// Effect is one output of the queue.
type Effect interface{ effect() }

// Granted lets a request run at an upstream.
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
	// NoUpstream means that no upstream may take the request.
	NoUpstream Reason = "no_upstream"
	// QueueFull means that the class waits at its bound.
	QueueFull Reason = "queue_full"
	// Target means that the latency target can't be met.
	Target Reason = "target"
	// Displaced means that work of a higher tier, or of a workspace with fewer
	// waiting requests, took the place in the queue.
	Displaced Reason = "displaced"
	// Deadline means that the deadline passed while waiting.
	Deadline Reason = "deadline"
	// Quarantined means that equal requests have crashed upstreams.
	Quarantined Reason = "quarantined"
)

// Refused ends a waiting request; nothing of it was run.
type Refused struct {
	Ticket Ticket
	Reason Reason
	// RetryAfter is when a new attempt could succeed; 0 when unknown.
	RetryAfter time.Duration
}

// Preempted asks to end a run early; its request comes back with the offset
// that it has reached.
type Preempt struct {
	Ticket   Ticket
	Upstream id.Upstream
}

// CrashSeen asks to tell the crash records to all other instances.
type BroadcastCrashRecords struct{ Records []suspect.Record }

func (Granted) effect()               {}
func (Refused) effect()               {}
func (Preempt) effect()               {}
func (BroadcastCrashRecords) effect() {}
