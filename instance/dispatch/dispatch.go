// Package dispatch is the seam between an entry, which streams answers, and
// whatever decides which upstream serves a request.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Dispatcher gives out slots of upstreams.
type Dispatcher interface {
	// Reserve waits for a slot. Its error is a *Refusal, or that of ctx.
	Reserve(ctx context.Context, request admission.Request) (*Grant, error)
	// Started notes the first token of an answer; it is called at most once.
	Started(g *Grant)
	// Release ends the use of a grant; it is called once for each.
	Release(g *Grant, r Result)
}

// Grant is one slot of an upstream, held by an entry.
type Grant struct {
	Request  admission.Request
	Upstream manifest.Upstream
	// Wait is how long the reservation took.
	Wait time.Duration

	preempted context.Context
	preempt   context.CancelFunc
}

// NewGrant returns a grant.
func NewGrant(request admission.Request, u manifest.Upstream, wait time.Duration) *Grant {
	g := &Grant{Request: request, Upstream: u, Wait: wait}
	g.preempted, g.preempt = context.WithCancel(context.Background())
	return g
}

// Preempt asks the holder to end the use early. It may be called repeatedly.
func (g *Grant) Preempt() { g.preempt() }

// Preempted ends when Preempt is called.
func (g *Grant) Preempted() context.Context { return g.preempted }

// Ending says how the use of a grant ended.
type Result struct {
	Outcome admission.Outcome
	Tokens  id.Tokens
	// FirstToken is the time from connecting to the first token; 0 when
	// none came.
	FirstToken time.Duration
}

// Refusal is the error of a reservation that got no slot.
type Refusal struct {
	Reason admission.Reason
	// RetryAfter is 0 when unknown.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return fmt.Sprintf("no upstream given out: %s", r.Reason) }
