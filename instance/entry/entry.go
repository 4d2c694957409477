// Package entry serves callers' requests: it classifies them, reserves slots,
// streams answers, and retries what may be retried.
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

// defaultRetryAfter is told when the queue names no time.
const defaultRetryAfter = time.Second

// Admission decides before a request is queued; nil admits.
type Admission func(ctx context.Context, workspace id.Workspace, tokens id.Tokens) *answer.Failure

// Entry serves requests over a Dispatcher. Exported fields are set before the
// first request.
type Entry struct {
	Dispatcher dispatch.Dispatcher
	Engines    *engine.Client
	Services   *service.Client
	// Calls runs the calls that run at most once.
	Calls   *atmostonce.Calls
	Metrics *metrics.Registry
	// Index is the manifest in force.
	Index func() *manifest.Index
	// Admit applies the workspace's limits.
	Admit Admission
	// Used corrects the limits by the real use of an admitted request.
	ReportUsage func(workspace id.Workspace, admitted, used id.Tokens)
	// Crashed hears of each upstream that broke under a request.
	Crashed func(u id.Upstream, request id.Request, f id.Fingerprint)

	// Retries is guarded by mu once requests are served.
	Retries retry.Policy

	mu sync.Mutex
}

// decide returns what becomes of a request after a failed attempt.
func (e *Entry) decideRetry(k retry.Key, evidence retry.FailedAttempt) retry.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	verdict := e.Retries.Decide(time.Now(), k, evidence)
	if verdict.Action == retry.Fail {
		e.Metrics.Add("retries_refused_"+string(verdict.Reason), 1)
		return verdict
	}
	e.Metrics.Add("retries_"+string(verdict.Action), 1)
	return verdict
}

// succeeded credits the budget for retries.
func (e *Entry) succeeded(k retry.Key) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Retries.RecordSuccess(time.Now(), k)
}

// retryFailure explains why a request is not tried again.
func retryFailure(v retry.Decision) answer.Failure {
	f := answer.Failure{Reason: answer.ReasonUpstreamFailed, RetryAfter: defaultRetryAfter}
	switch v.Reason {
	case retry.NotResumable:
		f.Message = "the upstream failed and the answer can't be resumed"
	case retry.TooLate:
		f.Reason, f.Message = answer.ReasonDeadline, "the upstream failed and the class's total deadline leaves no time to try another"
	case retry.NoBudget:
		f.Message = "the upstream failed and the class has used up its retries"
	case retry.NotRepeatable:
		f.Message = "the upstream failed and the call must not be repeated"
	default:
		f.Message = "several upstreams failed"
	}
	return f
}

// classified is a request with the class it runs in.
type classified struct {
	class   manifest.Class
	failure *answer.Failure
}

func (e *Entry) classify(x *manifest.Index, ws id.Workspace, tokens id.Tokens, wanted id.Class) classified {
	class, err := x.Classify(ws, tokens, wanted)
	switch {
	case err == nil:
		return classified{class: class}
	case errors.Is(err, manifest.ErrPromptTooLarge):
		return classified{failure: &answer.Failure{Reason: answer.ReasonTooLarge, Message: err.Error()}}
	default:
		return classified{failure: &answer.Failure{Reason: answer.ReasonForbidden, Message: err.Error()}}
	}
}

// refusalFailure explains a reservation that got no slot.
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
		f.Message = "equal requests have crashed upstreams; this one is not run"
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

// contextFailure explains the end of a request's context.
func contextFailure(err error) answer.Failure {
	if errors.Is(err, context.DeadlineExceeded) {
		return answer.Failure{Reason: answer.ReasonDeadline, Message: "the class's total deadline has passed", RetryAfter: defaultRetryAfter}
	}
	return answer.Failure{Reason: answer.ReasonCancelled, Message: "the caller has gone"}
}
