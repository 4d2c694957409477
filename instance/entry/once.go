package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/claim"
	"samphirehead/coordination/retry"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/dispatch"
	"samphirehead/protocol/answer"
	"samphirehead/state/record"
	"samphirehead/transport/caller"
)

// findTimeout bounds the look at the record of a call that gets no slot.
const findTimeout = 500 * time.Millisecond

// noSlot is the reason of a claimed call that got no slot. Its cause is the
// error of the reservation.
const noSlot = claim.Reason("no_slot")

// claimKey is the key of the record of a call.
func claimKey(in caller.ServiceCall) record.Key {
	return claim.NewKey(in.Workspace, in.Service, in.Method, in.Path, in.IdempotencyKey)
}

// callDigest is of all that makes up a call apart from its key.
func callDigest(in caller.ServiceCall) string {
	h := sha256.New()
	for _, part := range []string{in.Method, in.Path, in.Query, in.Header.Get("Content-Type")} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(in.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// slot is the slot of an at-most-once call. It is given back once: by the call
// that sends, else by whoever first finds that it isn't needed.
type slot struct {
	mu sync.Mutex
	// grant is nil once it was taken or given back.
	grant *dispatch.Grant
}

func (s *slot) take() *dispatch.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.grant
	s.grant = nil
	return grant
}

// runOnce runs a call at most once. The slot is reserved before the claim, so
// that a refusal for lack of capacity writes nothing. It is given back while
// another attempt's claim is awaited.
func (c *serviceCall) runOnce(ctx context.Context) (answer.Result, caller.ServiceAnswer) {
	grant, err := c.reserve(ctx)
	if err != nil {
		return c.refusedOnce(ctx, refusalFailure(err))
	}
	held := &slot{grant: grant}
	outcome := c.entry.Calls.Do(ctx, atmostonce.Call{
		Key:      claimKey(c.in),
		Digest:   callDigest(c.in),
		Deadline: c.need.Deadline,
		Repeat:   c.in.Repeat,
		Idle:     func() { c.giveBack(held) },
		Send: func(sending context.Context, permit *claim.Permit) claim.Evidence {
			return c.send(ctx, sending, permit, held)
		},
	})
	c.giveBack(held)
	return resultOf(outcome)
}

// giveBack frees the slot if it is still held.
func (c *serviceCall) giveBack(held *slot) {
	if unused := held.take(); unused != nil {
		c.entry.Dispatcher.Release(unused, dispatch.Ending{Outcome: admission.Cancelled})
	}
}

// refusedOnce answers a call that got no slot: by its record if the key was
// claimed before, else as not run.
func (c *serviceCall) refusedOnce(ctx context.Context, f answer.Failure) (answer.Result, caller.ServiceAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), findTimeout)
	defer cancel()
	var nothing answer.Progress
	finding, err := c.entry.Calls.Find(ctx, claimKey(c.in))
	if err != nil {
		if c.in.Repeat {
			nothing.MarkPossiblySent()
		}
		return nothing.Fail(f), caller.ServiceAnswer{}
	}
	if _, none := finding.(claim.NoRecord); none {
		return nothing.Fail(f), caller.ServiceAnswer{}
	}
	return found(finding)
}

// send makes attempts until one may have reached a worker. A slot that was given
// back is reserved again only while the caller waits; ctx outlives the caller.
func (c *serviceCall) send(waiting, ctx context.Context, permit *claim.Permit, held *slot) claim.Evidence {
	grant := held.take()
	if grant == nil {
		var err error
		if grant, err = c.reserve(waiting); err != nil {
			return claim.NothingSent{Reason: noSlot, RetryAfter: refusalFailure(err).RetryAfter, Err: err}
		}
	}
	for attempts := 1; ; attempts++ {
		evidence := c.entry.Services.SendOnce(ctx, permit, c.message(grant))
		c.release(ctx, grant, evidence)
		nothing, none := evidence.(claim.NothingSent)
		if !none || ctx.Err() != nil || c.verdict(evidence, attempts).Action == retry.Fail {
			return evidence
		}
		c.need.Excluded = append(c.need.Excluded, grant.Upstream.Name)
		next, err := c.reserve(ctx)
		if err != nil {
			nothing.RetryAfter = refusalFailure(err).RetryAfter
			return nothing
		}
		grant = next
	}
}

// Outcome tells again how an at-most-once call ended, and runs nothing.
func (e *Entry) Outcome(ctx context.Context, in caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	finding, err := e.Calls.Find(ctx, claimKey(in))
	if err != nil {
		return unknown(answer.Failure{
			Reason:     answer.ReasonPlatformDown,
			Message:    "the records of calls can't be read now",
			RetryAfter: defaultRetryAfter,
		})
	}
	return found(finding)
}

func found(finding claim.LookupResult) (answer.Result, caller.ServiceAnswer) {
	switch f := finding.(type) {
	case claim.Known:
		return resultOf(f.Outcome)
	case claim.Pending:
		return unknown(answer.Failure{Reason: answer.ReasonInProgress, Message: "the call is in progress", RetryAfter: f.RetryAfter})
	default:
		return unknown(answer.Failure{Reason: answer.ReasonNotFound, Message: "there is no record of such a call; it was never sent, or the record has expired"})
	}
}

func unknown(f answer.Failure) (answer.Result, caller.ServiceAnswer) {
	var p answer.Progress
	p.MarkPossiblySent()
	return p.Fail(f), caller.ServiceAnswer{}
}

// resultOf maps the outcome of a claim to what the caller is told.
func resultOf(outcome claim.Outcome) (answer.Result, caller.ServiceAnswer) {
	switch o := outcome.(type) {
	case claim.Completed:
		return answer.Completed{}, serviceAnswer(o.Answer)
	case claim.NotRun:
		var nothing answer.Progress
		return nothing.Fail(notRunFailure(o)), caller.ServiceAnswer{}
	case claim.Unknown:
		return unknown(answer.Failure{
			Reason:     answer.ReasonUpstreamFailed,
			Message:    "the call may have run; ask for its outcome",
			RetryAfter: max(o.RetryAfter, defaultRetryAfter),
		})
	default:
		return unknown(answer.Failure{Reason: answer.ReasonUpstreamFailed, Message: "the call may have run"})
	}
}

func notRunFailure(n claim.NotRun) answer.Failure {
	f := answer.Failure{RetryAfter: n.RetryAfter()}
	switch n.Reason() {
	case claim.KeyReused:
		return answer.Failure{Reason: answer.ReasonKeyReused, Message: "the idempotency key belongs to another call"}
	case claim.StoreUnavailable:
		f.Reason, f.Message = answer.ReasonPlatformDown, "the platform's table can't be reached; nothing was sent"
	case claim.DeadlinePassed:
		f.Reason, f.Message = answer.ReasonDeadline, "the class's total deadline has passed; nothing was sent"
	case noSlot:
		f = refusalFailure(n.Cause())
	case claim.CallerGone:
		f.Reason, f.Message = answer.ReasonCancelled, "the caller has gone; nothing was sent"
	default:
		f.Reason, f.Message = answer.ReasonNoUpstream, "no worker of the service could be reached; nothing was sent"
	}
	f.RetryAfter = max(f.RetryAfter, defaultRetryAfter)
	return f
}
