package entry

import (
	"context"
	"net/http"
	"net/url"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/claim"
	"samphirehead/coordination/retry"
	"samphirehead/instance/dispatch"
	"samphirehead/protocol/answer"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/metrics"
	"samphirehead/transport/caller"
	"samphirehead/transport/service"
)

// droppedHeaders are the request headers that are not forwarded to plain services.
var droppedHeaders = []string{"Authorization", "Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Keep-Alive", "Proxy-Authorization", "Accept-Encoding"}

// serviceCall is the state of one call of a plain service. It belongs to one
// goroutine.
type serviceCall struct {
	entry     *Entry
	in        caller.ServiceCall
	route     manifest.Route
	class     manifest.Class
	request   admission.Request
	queueWait time.Duration
}

// Call serves a call of a plain service.
func (e *Entry) Call(ctx context.Context, in caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	var progress answer.Progress
	c, failure := e.newCall(in)
	if failure != nil {
		return progress.Fail(*failure), caller.ServiceAnswer{}
	}
	if f := e.Admit(ctx, in.Workspace, 0); f != nil {
		return progress.Fail(*f), caller.ServiceAnswer{}
	}
	ctx, cancel := context.WithDeadline(ctx, c.request.Deadline)
	defer cancel()
	var result answer.Result
	var out caller.ServiceAnswer
	if c.route.Semantics == manifest.AtMostOnce {
		result, out = c.runAtMostOnce(ctx)
	} else {
		result, out = c.runRepeatable(ctx)
	}
	c.observe(result)
	return result, out
}

// newCall looks up the route of a call and checks the call against the manifest.
func (e *Entry) newCall(in caller.ServiceCall) (*serviceCall, *answer.Failure) {
	index := e.Index()
	if !index.HasService(in.Service) {
		return nil, &answer.Failure{Reason: answer.ReasonNotFound, Message: "no such service: " + string(in.Service)}
	}
	route, found := index.Route(in.Service, in.Method, in.Path)
	if !found {
		return nil, &answer.Failure{Reason: answer.ReasonNotFound, Message: "the service has no route " + in.Method + " " + in.Path}
	}
	if !index.Allows(in.Workspace, route.Class) {
		return nil, &answer.Failure{Reason: answer.ReasonForbidden, Message: "the workspace may not use class " + string(route.Class)}
	}
	if route.Semantics == manifest.AtMostOnce && in.IdempotencyKey == "" {
		return nil, &answer.Failure{Reason: answer.ReasonKeyMissing, Message: "the route runs at most once and needs an Idempotency-Key header"}
	}
	if len(in.IdempotencyKey) > claim.MaxIdempotencyKeyBytes {
		return nil, &answer.Failure{Reason: answer.ReasonBadRequest, Message: "the Idempotency-Key header is longer than 255 bytes"}
	}
	class, _ := index.Class(route.Class)
	return &serviceCall{entry: e, in: in, route: route, class: class, queueWait: -1, request: admission.Request{
		Request:      in.Request,
		Pool:         id.ServicePool(in.Service),
		Class:        class.Name,
		Workspace:    in.Workspace,
		FirstTokenBy: in.Arrived.Add(class.FirstToken),
		Deadline:     in.Arrived.Add(class.TotalDeadline),
	}}, nil
}

// reserve waits for a slot of a worker and counts an attempt.
func (c *serviceCall) reserve(ctx context.Context) (*dispatch.Grant, error) {
	c.request.Attempt++
	grant, err := c.entry.Dispatcher.Reserve(ctx, c.request)
	if err == nil && c.queueWait < 0 {
		c.queueWait = grant.Wait
	}
	return grant, err
}

// runRepeatable calls workers until one answers or no retry is allowed.
func (c *serviceCall) runRepeatable(ctx context.Context) (answer.Result, caller.ServiceAnswer) {
	var progress answer.Progress
	for attempts := 1; ; attempts++ {
		grant, err := c.reserve(ctx)
		if err != nil {
			return progress.Fail(refusalFailure(err)), caller.ServiceAnswer{}
		}
		evidence := c.entry.Services.SendRepeatable(ctx, c.upstreamCall(grant))
		if _, notSent := evidence.(claim.NothingSent); !notSent {
			progress.MarkPossiblySent()
		}
		c.release(ctx, grant, evidence)
		if answered, ok := evidence.(claim.Answered); ok {
			c.entry.recordSuccess(c.retryKey())
			return answer.Completed{}, serviceAnswer(answered.Answer)
		}
		if ctx.Err() != nil {
			return progress.Fail(contextFailure(context.Cause(ctx))), caller.ServiceAnswer{}
		}
		if decision := c.decideRetry(evidence, attempts); decision.Action == retry.Fail {
			return progress.Fail(retryFailure(decision)), caller.ServiceAnswer{}
		}
		c.request.Excluded = append(c.request.Excluded, grant.Upstream.Name)
	}
}

// verdict decides whether to retry after an attempt that got no answer.
func (c *serviceCall) decideRetry(evidence claim.Evidence, attempts int) retry.Decision {
	_, notSent := evidence.(claim.NothingSent)
	return c.entry.decideRetry(c.retryKey(), retry.FailedAttempt{
		NothingSent: notSent,
		Idempotent:  c.route.Semantics == manifest.Idempotent,
		Attempts:    attempts,
		Deadline:    c.request.Deadline,
	})
}

func (c *serviceCall) retryKey() retry.Key {
	return retry.Key{Class: c.class.Name, Pool: c.request.Pool}
}

func (c *serviceCall) logFailure(grant *dispatch.Grant, err error) {
	klog.V(1).InfoS("attempt failed", "request", c.in.Request, "workspace", c.in.Workspace, "class", c.class.Name,
		"upstream", grant.Upstream.Name, "err", err)
}

// workerCall returns the call as it is sent to a worker.
func (c *serviceCall) upstreamCall(grant *dispatch.Grant) service.Call {
	header := c.in.Header.Clone()
	for _, name := range droppedHeaders {
		header.Del(name)
	}
	header.Set(caller.HeaderRequestID, string(c.in.Request))
	target := url.URL{Path: c.in.Path, RawQuery: c.in.Query}
	return service.Call{
		Address: grant.Upstream.Address,
		Method:  c.in.Method,
		Target:  target.RequestURI(),
		Header:  header,
		Body:    c.in.Body,
	}
}

// release returns the slot of an attempt with its outcome.
func (c *serviceCall) release(ctx context.Context, grant *dispatch.Grant, evidence claim.Evidence) {
	outcome := admission.Completed
	switch e := evidence.(type) {
	case claim.Answered:
		if e.Answer.Status >= http.StatusInternalServerError {
			outcome = admission.Failed
		}
	case claim.NothingSent:
		c.logFailure(grant, e.Err)
		outcome = admission.Unreachable
	case claim.MayHaveSent:
		// A single lost answer is not treated as a crash: a worker that has
		// crashed refuses the next connection.
		c.logFailure(grant, e.Err)
		outcome = admission.Failed
	}
	if outcome != admission.Completed && ctx.Err() != nil {
		outcome = admission.Cancelled
	}
	c.entry.Dispatcher.Release(grant, dispatch.Result{Outcome: outcome})
}

func serviceAnswer(a claim.Answer) caller.ServiceAnswer {
	return caller.ServiceAnswer{Status: a.Status, Header: a.Header, Body: a.Body}
}

func (c *serviceCall) observe(result answer.Result) {
	latency := time.Duration(-1)
	if _, done := result.(answer.Completed); done {
		latency = time.Since(c.in.Arrived)
	}
	c.entry.Metrics.Observe(metrics.Observation{
		Class:      c.class.Name,
		Workspace:  c.in.Workspace,
		Outcome:    metricsOutcome(result),
		QueueWait:  c.queueWait,
		FirstToken: latency,
		Attained:   latency >= 0 && latency <= c.class.FirstToken,
	})
}
