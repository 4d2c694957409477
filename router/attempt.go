package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/protocol/call"
	"samphirehead/state/id"
	"samphirehead/state/metrics"
	"samphirehead/state/routing"
	"samphirehead/transport/forward"
	"samphirehead/transport/relay"
)

// extraAttempts is how many attempts beyond the route's MaxAttempts are allowed
// for upstreams that rejected the request without running it.
const extraAttempts = 2

// attempt is one try of a request at one upstream.
type attempt struct {
	balancer.Choice
	ticket balancer.Ticket
	// relay is the instance that the request was relayed to; empty if it was sent to an
	// upstream.
	relay    id.Instance
	sentAt   time.Time
	response *forward.Response
	// started is set once the chooser has received balancer.Started for the
	// attempt.
	started bool
	// body is the complete answer if it is not a stream.
	body []byte
}

// outcome is the result of an attempt.
type outcome string

const (
	// answered attempts have an answer that can be forwarded to the caller.
	answered outcome = "answered"
	// rejected attempts were certainly not run.
	rejected outcome = "rejected"
	// failed attempts may have been run and have no usable answer.
	failed outcome = "failed"
	// faulty attempts have an answer in which the upstream reports a server
	// error.
	faulty outcome = "faulty"
)

// run sends the request to one upstream after the other until one answers or no
// further attempt is allowed. If none answers, the caller gets the last server
// error that an upstream answered with, if there is one.
func (j *job) run(ctx context.Context) {
	var lastFaulty *attempt
	for {
		if j.possibleRuns == 0 && !j.router.canFinish(j) {
			// The drain has started since the request was admitted.
			j.fail(ctx, instanceDraining)
			return
		}
		a, result, err := j.try(ctx, "")
		if result == answered {
			j.deliver(ctx, a)
			return
		}
		if result == faulty {
			lastFaulty = a
		}
		retry := a != nil && ctx.Err() == nil && j.shouldRetry(ctx, result)
		if a != nil {
			j.logFailedAttempt(a, result, retry, err)
		}
		if retry {
			continue
		}
		j.giveUp(ctx, a, lastFaulty)
		return
	}
}

// giveUp ends a request that no upstream answered. last is the last attempt, or nil if no
// upstream was chosen for it, and lastFaulty that with a server error, if there is one.
func (j *job) giveUp(ctx context.Context, last, lastFaulty *attempt) {
	switch {
	case lastFaulty != nil && ctx.Err() == nil:
		j.deliver(ctx, lastFaulty)
	case last == nil && j.limitDelay > 0:
		j.fail(ctx, upstreamLimit)
	case last == nil:
		j.fail(ctx, reason(j.refusal))
	case j.possibleRuns == 0:
		j.fail(ctx, notRun)
	default:
		j.fail(ctx, outcomeUnknown)
	}
}

func (j *job) logFailedAttempt(a *attempt, result outcome, retry bool, err error) {
	klog.InfoS("attempt failed", "request", j.ID, "upstream", a.Upstream, "relayed_to", a.relay, "outcome", result,
		"status", a.status(), "after", time.Since(a.sentAt), "again", retry, "err", err)
}

func (a *attempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.Status
}

// shouldRetry reports whether the request is to be sent to a further upstream
// after an outcome. If it returns true, the retry is deducted from the retry
// budget.
func (j *job) shouldRetry(ctx context.Context, result outcome) bool {
	if result != rejected && j.route.Semantics == routing.AtMostOnce || j.possibleRuns >= j.maxAttempts() {
		return false
	}
	if j.quarantined() || result == failed && j.retryCrashes() || !j.keepBody() {
		return false
	}
	if _, ok := j.awaitRelay(ctx); ok && !j.arrivedAtUpstream {
		return true
	}
	return len(j.tried) < j.maxAttempts()+extraAttempts && j.spendRetry()
}

// fail ends a request for which there is no answer of an upstream. It answers
// with 503 only if the request was certainly not run.
func (j *job) fail(ctx context.Context, why reason) {
	if !j.isResumption() {
		j.streamCompleted()
	}
	j.router.demandRefused(j.service, why)
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		j.recordEnd(metrics.Unknown, callerDisconnected)
	case j.possibleRuns == 0 && ctx.Err() == nil:
		j.answerUnavailable(j.comeBackAfter(why), why)
	case ctx.Err() != nil:
		j.answer(http.StatusGatewayTimeout, timedOut)
	default:
		j.answer(http.StatusBadGateway, why)
	}
}

// comeBackAfter returns when the caller of a request that was not run is to come back.
func (j *job) comeBackAfter(why reason) time.Duration {
	switch {
	case j.relayDelay > 0:
		return j.relayDelay
	case why == overloaded:
		return min(max(j.expectedWait-j.route.Objective, retryAfterDefault), retryAfterMax)
	case why == upstreamLimit:
		return j.limitDelay
	case why == instanceDraining:
		return j.router.drainDelay()
	}
	return retryAfterDefault
}

// try sends the request to one upstream and reads the answer, or only its head
// if it is a stream. lastEvent is the id of the last event that the caller
// received if a stream is resumed, otherwise empty. The attempt is nil if no
// upstream was chosen. If this instance reaches none, it sends the request to another instance.
func (j *job) try(ctx context.Context, lastEvent string) (*attempt, outcome, error) {
	if peer, ok := j.relayTo(); ok {
		return j.relay(ctx, peer, lastEvent)
	}
	confirmed := j.confirmVersions(ctx)
	admission := j.admission()
	chosen, ticket, refusal := j.choose(admission)
	if refusal == balancer.NoUpstream && j.askPermit(ctx, admission) {
		chosen, ticket, refusal = j.choose(admission)
	}
	if refusal == balancer.NoUpstream {
		if peer, ok := j.awaitRelay(ctx); ok {
			return j.relay(ctx, peer, lastEvent)
		}
	}
	if refusal != balancer.Chosen {
		j.refusal, j.expectedWait = refusal, chosen.Expected
		return nil, rejected, nil
	}
	a := &attempt{Choice: chosen, ticket: ticket, sentAt: time.Now()}
	j.tried = append(j.tried, chosen.Upstream)
	var connectedBefore time.Time
	if !confirmed {
		connectedBefore = j.router.lastServed(chosen)
	}
	j.recordStream(chosen, connectedBefore)
	send := call.SendOptions{
		Upstream:      chosen.Upstream,
		Address:       chosen.Address,
		Budget:        time.Until(j.deadline),
		Workspace:     j.workspaceName(),
		Urgency:       j.urgency,
		LastEventID:   lastEvent,
		CopyFrom:      chosen.CopyFrom,
		NewConnection: j.route.Semantics == routing.AtMostOnce,

		ConnectedBefore: connectedBefore,
		Written:         j.retainOnceWritten(),
	}
	klog.InfoS("sent", "request", j.ID, "upstream", a.Upstream, "software", a.Software, "attempt", len(j.tried), "left", send.Budget,
		"rank", a.Rank, "prefill", a.Prefill, "copied", a.Copied, "ahead", a.PrefillAhead, "expected", a.Expected, "news", a.LoadReports, "age", a.ReportAge)
	attemptCtx := j.router.paths.begin(ctx, a, j.route)
	response, err := j.router.forward.Send(attemptCtx, j.Request, send)
	if err != nil {
		result := failed
		if errors.Is(err, forward.ErrNotSent) {
			result = rejected
		}
		j.recordFailure(ctx, a, result, err)
		return a, result, err
	}
	j.arrivedAtUpstream = true
	a.response = response
	j.router.paths.answerBegun(a)
	j.recordAnswer(a)
	j.hearAnswer(a)
	j.responses = append(j.responses, response)
	result, err := j.readAnswer(a)
	if result == answered {
		j.possibleRuns++
		return a, result, nil
	}
	j.recordFailure(ctx, a, result, err)
	return a, result, err
}

// isStream reports whether the answer is a stream.
func (a *attempt) isStream(r *routing.Route) bool {
	return r.Streaming && a.response.Status == http.StatusOK
}

// readAnswer classifies an answer, and reads its body unless it is a stream. What is no stream
// has no place in one that the caller has the beginning of.
func (j *job) readAnswer(a *attempt) (outcome, error) {
	response := a.response
	if response.NotRun {
		response.Discard()
		return rejected, nil
	}
	if a.isStream(j.route) {
		if !response.Sealed {
			_ = response.Body.Close()
			return failed, forward.ErrNotSealed
		}
		return answered, nil
	}
	body, err := response.ReadWhole()
	switch {
	case err != nil:
		return failed, errors.Wrap(err, "read answer")
	case !response.Sealed:
		return failed, forward.ErrNotSealed
	}
	a.body = body
	if response.Status >= http.StatusInternalServerError || j.streamStarted {
		return faulty, nil
	}
	return answered, nil
}

// recordFailure reports the end of an attempt without an answer for the caller
// to the chooser. err is why there is none.
func (j *job) recordFailure(ctx context.Context, a *attempt, result outcome, err error) {
	if result != rejected {
		j.possibleRuns++
		j.arrivedAtUpstream = true
	}
	j.router.paths.end(a)
	possibleCrash := result == failed && ctx.Err() == nil
	unanswered := result == failed && errors.Is(ctx.Err(), context.DeadlineExceeded)
	notTried := errors.Is(err, forward.ErrNoConnection)
	unreachable := result == rejected && a.response == nil && ctx.Err() == nil && !notTried
	j.router.stepChooser(j.service, balancer.Ended{
		Ticket:      a.ticket,
		Failed:      possibleCrash || unanswered || result == faulty,
		Unreachable: unreachable,
	})
	if unreachable {
		j.router.paths.connectFailed(a)
	}
	if possibleCrash {
		j.recordCrash(ctx, a, err)
	}
}

// deliver forwards an answer to the caller.
func (j *job) deliver(ctx context.Context, a *attempt) {
	if a.isStream(j.route) {
		j.stream(ctx, a)
		return
	}
	j.releaseBody()
	j.router.paths.end(a)
	j.countRun(a)
	j.router.stepChooser(j.service, balancer.Started{Ticket: a.ticket})
	j.router.stepChooser(j.service, balancer.Ended{Ticket: a.ticket})
	if a.response.Status < 300 {
		j.clearParts()
	}
	j.setHeader(a)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	j.w.WriteHeader(a.response.Status)
	_, err := j.w.Write(a.body)
	j.recordCompletion(a, nil, err)
}

// setHeader copies the header of the upstream's answer to the caller's.
func (j *job) setHeader(a *attempt) {
	header := j.w.Header()
	j.router.Dialect.CleanHeaders(a.response.Header)
	for name, values := range a.response.Header {
		header[name] = values
	}
	j.setRelayReply(relay.Reply{Outcome: relay.Answered, Software: a.Software})
}

// recordCompletion logs and counts a request whose answer was forwarded to the
// caller. p is nil unless the answer is a stream, and err is the error of writing
// it.
func (j *job) recordCompletion(a *attempt, p *progress, err error) {
	r := j.router
	if a.response.Status < 300 {
		j.clearRequest()
	}
	elapsed := time.Since(j.arrived)
	observation := metrics.Observation{
		Class: id.Class(j.route.Name), Workspace: j.workspaceName(), Upstream: a.Upstream, Outcome: metrics.Completed,
		QueueWait: -1, FirstToken: elapsed, Attained: elapsed <= j.route.Objective,
	}
	fields := []any{
		"request", j.ID, "upstream", a.Upstream, "relayed_to", a.relay,
		"status", a.response.Status, "framing", a.response.Framing, "attempts", len(j.tried), "after", elapsed, "err", err,
	}
	if p != nil {
		firstEvent := p.firstEventAt.Sub(j.arrived)
		observation.FirstToken = firstEvent
		observation.Attained = firstEvent <= j.route.Objective && (j.route.PauseObjective <= 0 || p.longestPause <= j.route.PauseObjective)
		fields = append(fields, "first", firstEvent, "pause", p.longestPause, "events", p.events)
		r.metrics.ObserveTokenGap(observation.Class, p.longestPause)
	}
	r.metrics.Observe(observation)
	r.metrics.Add("framing_"+string(a.response.Framing), 1)
	klog.InfoS("answered", fields...)
}
