// Package entry serves callers' requests: it classifies them, reserves slots,
// streams answers, and retries failed attempts where that is safe.
package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/retry"
	"samphirehead/instance/atmostonce"
	"samphirehead/instance/dispatch"
	"samphirehead/protocol/answer"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/metrics"
	"samphirehead/transport/engine"
	"samphirehead/transport/service"
)

// defaultRetryAfter is sent to the caller when the queue gives no retry time.
const defaultRetryAfter = time.Second

// Admission checks a request before it is queued; a nil failure admits it.
type Admission func(ctx context.Context, workspace id.Workspace, tokens id.Tokens) *answer.Failure

// Entry serves requests over a Dispatcher. Exported fields are set before the
// first request.
type Entry struct {
	Dispatcher dispatch.Dispatcher
	Engines    *engine.Client
	Services   *service.Client
	// Calls runs the at-most-once calls.
	Calls   *atmostonce.Calls
	Metrics *metrics.Registry
	// Index returns the active manifest.
	Index func() *manifest.Index
	// Admit applies the limits of the workspace.
	Admit Admission
	// ReportUsage corrects the limits of the workspace when a request has
	// ended: they have counted the admitted tokens, and should count those
	// that were used.
	ReportUsage func(workspace id.Workspace, admitted, used id.Tokens)
	// Crashed is called with each upstream whose connection broke during a
	// request.
	Crashed func(u id.Upstream, request id.Request, f id.Fingerprint)

	// Retries is guarded by mu once requests are served.
	Retries retry.Policy

	mu sync.Mutex
}

// decideRetry decides whether a request is retried after a failed attempt, and
// counts the decision.
func (e *Entry) decideRetry(k retry.Key, attempt retry.FailedAttempt) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	decision := e.Retries.Decide(time.Now(), k, attempt)
	if decision.Action == retry.Fail {
		e.Metrics.Add("retries_refused_"+string(decision.Reason), 1)
		return decision
	}
	e.Metrics.Add("retries_"+string(decision.Action), 1)
	return decision
}

// recordSuccess credits the retry budget with a completed request.
func (e *Entry) recordSuccess(k retry.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Retries.RecordSuccess(time.Now(), k)
}

// retryFailure returns the failure of a request that is not retried.
func retryFailure(d retry.Decision) answer.Failure {
	f := answer.Failure{Reason: answer.ReasonUpstreamFailed, RetryAfter: defaultRetryAfter}
	switch d.Reason {
	case retry.NotResumable:
		f.Message = "the upstream failed and the answer can't be resumed"
	case retry.TooLate:
		f.Reason, f.Message = answer.ReasonDeadline, "the upstream failed and the class's total deadline leaves no time to try another"
	case retry.NoBudget:
		f.Message = "the upstream failed and the class has exhausted its retry budget"
	case retry.NotRepeatable:
		f.Message = "the upstream failed and the call must not be repeated"
	default:
		f.Message = "several upstreams failed"
	}
	return f
}

// classified is the class of a request, or the failure to find one.
type classified struct {
	class   manifest.Class
	failure *answer.Failure
}

func (e *Entry) classify(index *manifest.Index, ws id.Workspace, tokens id.Tokens, wanted id.Class) classified {
	class, err := index.Classify(ws, tokens, wanted)
	switch {
	case err == nil:
		return classified{class: class}
	case errors.Is(err, manifest.ErrPromptTooLarge):
		return classified{failure: &answer.Failure{Reason: answer.ReasonTooLarge, Message: err.Error()}}
	default:
		return classified{failure: &answer.Failure{Reason: answer.ReasonForbidden, Message: err.Error()}}
	}
}

// refusalFailure returns the failure of a reservation that got no slot.
func refusalFailure(err error) answer.Failure {
	var refusal *dispatch.Refusal
	if !errors.As(err, &refusal) {
		return contextFailure(err)
	}
	f := answer.Failure{RetryAfter: refusal.RetryAfter, Message: refusal.Error()}
	switch refusal.Reason {
	case admission.NoUpstream:
		f.Reason = answer.ReasonNoUpstream
	case admission.Quarantined:
		f.Reason = answer.ReasonQuarantined
		f.Message = "identical requests have crashed upstreams; this request was not run"
		return f
	case admission.UnknownClass:
		f.Reason = answer.ReasonNotReady
	default:
		f.Reason = answer.ReasonOverloaded
		f.Message = "the class's latency target can't be met now: " + string(refusal.Reason)
	}
	if f.RetryAfter <= 0 {
		f.RetryAfter = defaultRetryAfter
	}
	return f
}

// contextFailure returns the failure for the end of a request's context.
func contextFailure(err error) answer.Failure {
	if errors.Is(err, context.DeadlineExceeded) {
		return answer.Failure{Reason: answer.ReasonDeadline, Message: "the class's total deadline has passed", RetryAfter: defaultRetryAfter}
	}
	return answer.Failure{Reason: answer.ReasonCancelled, Message: "the caller has disconnected"}
}
