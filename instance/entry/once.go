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

// findTimeout bounds the lookup of the record of a call that got no slot.
const findTimeout = 500 * time.Millisecond

// noSlot is the reason why a claimed call was not run when no slot was granted.
// Its cause is the error of the reservation.
const noSlot = claim.Reason("no_slot")

// claimKey returns the key of the record of a call.
func claimKey(in caller.ServiceCall) record.Key {
	return claim.NewKey(in.Workspace, in.Service, in.Method, in.Path, in.IdempotencyKey)
}

// callDigest returns a digest of a call without its idempotency key. It detects a
// key that is reused for another call.
func callDigest(in caller.ServiceCall) string {
	h := sha256.New()
	for _, part := range []string{in.Method, in.Path, in.Query, in.Header.Get("Content-Type")} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(in.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// slot is the slot of an at-most-once call. It is released exactly once: by the
// attempt that sends the call, or else by the first to find that it isn't needed.
type slot struct {
	mu sync.Mutex
	// grant is nil after take.
	grant *dispatch.Grant
}

func (s *slot) take() *dispatch.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	grant := s.grant
	s.grant = nil
	return grant
}

// runAtMostOnce runs a call at most once. The slot is reserved before the claim,
// so that a refusal for lack of capacity writes nothing. It is released while the
// call waits for another attempt's claim.
func (c *serviceCall) runAtMostOnce(ctx context.Context) (answer.Result, caller.ServiceAnswer) {
	grant, err := c.reserve(ctx)
	if err != nil {
		return c.resultWithoutSlot(ctx, refusalFailure(err))
	}
	reserved := &slot{grant: grant}
	outcome := c.entry.Calls.Do(ctx, atmostonce.Call{
		Key:      claimKey(c.in),
		Digest:   callDigest(c.in),
		Deadline: c.request.Deadline,
		Repeat:   c.in.Repeat,
		OnWait:   func() { c.releaseUnused(reserved) },
		Send: func(sendCtx context.Context, permit *claim.Permit) claim.Evidence {
			return c.send(ctx, sendCtx, permit, reserved)
		},
	})
	c.releaseUnused(reserved)
	return outcomeResult(outcome)
}

// releaseUnused releases the slot if no attempt has taken it.
func (c *serviceCall) releaseUnused(reserved *slot) {
	if unused := reserved.take(); unused != nil {
		c.entry.Dispatcher.Release(unused, dispatch.Result{Outcome: admission.Cancelled})
	}
}

// resultWithoutSlot returns the result of a call that got no slot: the recorded
// one if the key was claimed before, else not run.
func (c *serviceCall) resultWithoutSlot(ctx context.Context, f answer.Failure) (answer.Result, caller.ServiceAnswer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), findTimeout)
	defer cancel()
	var progress answer.Progress
	finding, err := c.entry.Calls.Find(ctx, claimKey(c.in))
	if err != nil {
		if c.in.Repeat {
			progress.MarkPossiblySent()
		}
		return progress.Fail(f), caller.ServiceAnswer{}
	}
	if _, noRecord := finding.(claim.NoRecord); noRecord {
		return progress.Fail(f), caller.ServiceAnswer{}
	}
	return findingResult(finding)
}

// send makes attempts until one may have reached a worker. A slot that was
// released is reserved again only while the caller waits, that is until callerCtx
// ends; ctx outlives the caller.
func (c *serviceCall) send(callerCtx, ctx context.Context, permit *claim.Permit, reserved *slot) claim.Evidence {
	grant := reserved.take()
	if grant == nil {
		var err error
		if grant, err = c.reserve(callerCtx); err != nil {
			return claim.NothingSent{Reason: noSlot, RetryAfter: refusalFailure(err).RetryAfter, Err: err}
		}
	}
	for attempts := 1; ; attempts++ {
		evidence := c.entry.Services.SendOnce(ctx, permit, c.upstreamCall(grant))
		c.release(ctx, grant, evidence)
		nothingSent, ok := evidence.(claim.NothingSent)
		if !ok || ctx.Err() != nil || c.decideRetry(evidence, attempts).Action == retry.Fail {
			return evidence
		}
		c.request.Excluded = append(c.request.Excluded, grant.Upstream.Name)
		next, err := c.reserve(ctx)
		if err != nil {
			nothingSent.RetryAfter = refusalFailure(err).RetryAfter
			return nothingSent
		}
		grant = next
	}
}

// Outcome returns the recorded result of an at-most-once call. It runs nothing.
func (e *Entry) Outcome(ctx context.Context, in caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	finding, err := e.Calls.Find(ctx, claimKey(in))
	if err != nil {
		return unknownResult(answer.Failure{
			Reason:     answer.ReasonPlatformDown,
			Message:    "the call records can't be read now",
			RetryAfter: defaultRetryAfter,
		})
	}
	return findingResult(finding)
}

func findingResult(finding claim.LookupResult) (answer.Result, caller.ServiceAnswer) {
	switch f := finding.(type) {
	case claim.Known:
		return outcomeResult(f.Outcome)
	case claim.Pending:
		return unknownResult(answer.Failure{Reason: answer.ReasonInProgress, Message: "the call is in progress", RetryAfter: f.RetryAfter})
	default:
		return unknownResult(answer.Failure{Reason: answer.ReasonNotFound, Message: "there is no record of such a call; it was never sent, or the record has expired"})
	}
}

func unknownResult(f answer.Failure) (answer.Result, caller.ServiceAnswer) {
	var progress answer.Progress
	progress.MarkPossiblySent()
	return progress.Fail(f), caller.ServiceAnswer{}
}

// outcomeResult maps the outcome of a claim to the result for the caller.
func outcomeResult(outcome claim.Outcome) (answer.Result, caller.ServiceAnswer) {
	switch o := outcome.(type) {
	case claim.Completed:
		return answer.Completed{}, serviceAnswer(o.Answer)
	case claim.NotRun:
		var progress answer.Progress
		return progress.Fail(notRunFailure(o)), caller.ServiceAnswer{}
	case claim.Unknown:
		return unknownResult(answer.Failure{
			Reason:     answer.ReasonUpstreamFailed,
			Message:    "the call may have run; ask for its outcome",
			RetryAfter: max(o.RetryAfter, defaultRetryAfter),
		})
	default:
		return unknownResult(answer.Failure{Reason: answer.ReasonUpstreamFailed, Message: "the call may have run"})
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
		f.Reason, f.Message = answer.ReasonCancelled, "the caller has disconnected; nothing was sent"
	default:
		f.Reason, f.Message = answer.ReasonNoUpstream, "no worker of the service could be reached; nothing was sent"
	}
	f.RetryAfter = max(f.RetryAfter, defaultRetryAfter)
	return f
}
