package queue

import (
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

// Effect is one output of the queue.
type Effect interface{ effect() }

// Granted gives the holder one slot of an upstream.
type Granted struct {
	Reservation id.Reservation
	Holder      id.Instance
	Upstream    id.Upstream
	// Lease is how long the slot stays reserved without a Progressed.
	Lease time.Duration
}

// RefusalReason says why a reservation was refused.
type RefusalReason string

// The reasons of a refusal.
const (
	// RefusedUnknownClass means that the manifest has no such class.
	RefusedUnknownClass RefusalReason = "unknown_class"
	// RefusedNoUpstream means that no upstream here may take the request.
	RefusedNoUpstream RefusalReason = "no_upstream"
	// RefusedQueueFull means that the class waits at its bound.
	RefusedQueueFull RefusalReason = "queue_full"
	// RefusedTarget means that the latency target can't be met.
	RefusedTarget RefusalReason = "target"
	// RefusedDisplaced means that work of a higher tier, or of a workspace
	// with fewer waiting requests, took the place in the queue.
	RefusedDisplaced RefusalReason = "displaced"
	// RefusedDeadline means that the deadline passed while waiting.
	RefusedDeadline RefusalReason = "deadline"
	// RefusedQuarantined means that equal requests have crashed upstreams.
	RefusedQuarantined RefusalReason = "quarantined"
)

// Refused ends a waiting reservation; nothing of it was run.
type Refused struct {
	Reservation id.Reservation
	Reason      RefusalReason
	// RetryAfter is when a new attempt could succeed; 0 when unknown.
	RetryAfter time.Duration
}

// Preempted asks the holder to end a reservation early and to come back with
// the offset that it has reached.
type Preempted struct {
	Reservation id.Reservation
	Holder      id.Instance
	Upstream    id.Upstream
}

// Expired reports a granted reservation whose lease lapsed; its slot is free.
type Expired struct{ Reservation id.Reservation }

// CrashSeen asks to tell the crash records to all other instances.
type CrashSeen struct{ Records []suspect.Record }

func (Granted) effect()   {}
func (Refused) effect()   {}
func (Preempted) effect() {}
func (Expired) effect()   {}
func (CrashSeen) effect() {}

// PoolState says how busy one pool is.
type PoolState struct {
	Pool      id.Pool
	FreeSlots int
	Slots     int
	// Wait is the expected wait of a new arrival by tier; index 0 is tier 1.
	Wait []time.Duration
}
