// Package dispatch is the seam between an entry, which streams answers, and
// whatever decides which upstream serves a request.
package dispatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Dispatcher gives out slots of upstreams.
type Dispatcher interface {
	// Reserve waits for a slot. Its error is a *Refusal, or that of ctx.
	Reserve(ctx context.Context, need queue.Arrived) (*Grant, error)
	// Release ends the use of a grant; it is called once for each.
	Release(g *Grant, e Ending)
}

// Grant is one slot of an upstream, held by an entry.
type Grant struct {
	Need     queue.Arrived
	Upstream manifest.Upstream
	// Wait is how long the reservation took.
	Wait time.Duration

	delivered atomic.Int64
	preempted context.Context
	preempt   context.CancelFunc
}

// NewGrant returns a grant whose answer has reached need's offset.
func NewGrant(need queue.Arrived, u manifest.Upstream, wait time.Duration) *Grant {
	g := &Grant{Need: need, Upstream: u, Wait: wait}
	g.preempted, g.preempt = context.WithCancel(context.Background())
	g.delivered.Store(int64(need.ResumeOffset))
	return g
}

// Deliver records how many tokens of the answer have been delivered.
func (g *Grant) Deliver(total id.Tokens) { g.delivered.Store(int64(total)) }

// Delivered returns how many tokens of the answer have been delivered.
func (g *Grant) Delivered() id.Tokens { return id.Tokens(g.delivered.Load()) }

// Preempt asks the holder to end the use early. It may be called repeatedly.
func (g *Grant) Preempt() { g.preempt() }

// Preempted ends when Preempt is called.
func (g *Grant) Preempted() context.Context { return g.preempted }

// Ending says how the use of a grant ended.
type Ending struct {
	Outcome queue.Outcome
	Tokens  id.Tokens
	// FirstToken is the time from connecting to the first token; 0 when
	// none came.
	FirstToken time.Duration
}

// Refusal is the error of a reservation that got no slot.
type Refusal struct {
	Reason queue.RefusalReason
	// RetryAfter is 0 when unknown.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return fmt.Sprintf("reservation refused: %s", r.Reason) }
