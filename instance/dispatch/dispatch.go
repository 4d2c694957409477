// Package dispatch defines the interface between an entry, which streams answers, and
// the component that decides which upstream serves a request.
package dispatch

import (
	"context"
	"fmt"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Dispatcher grants slots of upstreams.
type Dispatcher interface {
	// Reserve waits for a slot. Its error is a *Refusal, or the error or
	// cause of ctx.
	Reserve(ctx context.Context, request admission.Request) (*Grant, error)
	// Started reports the first token of an answer. It is called at most
	// once for each grant.
	Started(g *Grant)
	// Release frees the slot of a grant. It is called exactly once for each
	// grant.
	Release(g *Grant, r Result)
}

// Grant is one slot of an upstream that is reserved for a request.
type Grant struct {
	Request  admission.Request
	Upstream manifest.Upstream
	// Wait is how long the request waited for the slot.
	Wait time.Duration

	preempted context.Context
	preempt   context.CancelFunc
}

// NewGrant returns a grant that is not preempted.
func NewGrant(request admission.Request, u manifest.Upstream, wait time.Duration) *Grant {
	g := &Grant{Request: request, Upstream: u, Wait: wait}
	g.preempted, g.preempt = context.WithCancel(context.Background())
	return g
}

// Preempt asks the entry to release the slot early. It may be called repeatedly.
func (g *Grant) Preempt() { g.preempt() }

// Preempted returns a context that ends when Preempt is called.
func (g *Grant) Preempted() context.Context { return g.preempted }

// Result is how the use of a grant ended.
type Result struct {
	Outcome admission.Outcome
	// Tokens counts the answer tokens that the caller has received over all
	// attempts.
	Tokens id.Tokens
	// FirstToken is the time from the start of the attempt to the first
	// token; 0 when no token arrived.
	FirstToken time.Duration
}

// Refusal is the error of a reservation that got no slot.
type Refusal struct {
	Reason admission.Reason
	// RetryAfter is when a retry may be accepted; 0 when unknown.
	RetryAfter time.Duration
}

func (r *Refusal) Error() string { return fmt.Sprintf("no slot granted: %s", r.Reason) }
