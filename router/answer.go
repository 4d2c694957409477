package router

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/state/id"
	"samphirehead/state/metrics"
	"samphirehead/transport/relay"
)

// refuse answers a request that was not admitted.
func (j *job) refuse(why reason) {
	j.conn.Drain()
	switch why {
	case badRequest, bodyBroken:
		j.answer(http.StatusBadRequest, why)
	case noRoute:
		j.answer(http.StatusNotFound, why)
	case unknownKey:
		j.answer(http.StatusUnauthorized, why)
	case bodyTooLarge:
		j.answer(http.StatusRequestEntityTooLarge, why)
	case bodyTooSlow:
		j.answer(http.StatusRequestTimeout, why)
	case tooManyParts:
		j.answer(http.StatusRequestHeaderFieldsTooLarge, why)
	case instanceDraining:
		j.answerUnavailable(j.router.drainDelay(), why)
	case quarantined:
		j.answerUnavailable(retryAfterMax, why)
	default:
		j.answerUnavailable(retryAfterDefault, why)
	}
}

// answerUnavailable answers with status 503, which promises that the request
// was not run and will not be, and with Retry-After. Up to half of retryAfter
// is added as jitter.
func (j *job) answerUnavailable(retryAfter time.Duration, why reason) {
	retryAfter += rand.N(retryAfter/2 + 1)
	j.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	j.retryAfter = retryAfter
	j.answer(http.StatusServiceUnavailable, why)
}

// answer ends a request with a status that the router itself chose.
func (j *job) answer(status int, why reason) {
	outcome := metrics.Unknown
	if j.possibleRuns == 0 {
		outcome = metrics.NotRun
	}
	j.status = status
	j.recordEnd(outcome, why)
	j.setRelayReply(relay.Reply{Outcome: relayOutcome(outcome), RetryAfter: j.retryAfter})
	j.w.WriteHeader(status)
}

// recordEnd logs and counts the end of a request for which no upstream gave a
// complete answer.
func (j *job) recordEnd(outcome metrics.Outcome, why reason) {
	m := &j.router.metrics
	m.Add("ended_"+string(why), 1)
	if j.route != nil {
		m.Observe(metrics.Observation{
			Class: id.Class(j.route.Name), Workspace: j.workspaceName(), Upstream: j.lastTried(), Outcome: outcome,
			QueueWait: -1, FirstToken: -1,
		})
	}
	klog.InfoS("ended", "request", j.ID, "status", j.status, "reason", why, "outcome", outcome,
		"route", j.routeName(), "workspace", j.workspaceName(), "version", j.version, "attempts", len(j.tried), "ran", j.possibleRuns,
		"after", time.Since(j.arrived), "expected", j.expectedWait)
}
