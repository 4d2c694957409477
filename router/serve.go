package router

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/choice"
	"samphirehead/coordination/suspect"
	"samphirehead/protocol/call"
	"samphirehead/state/id"
	"samphirehead/state/metrics"
	"samphirehead/state/routing"
)

const (
	defaultMaxBody = 8 << 20
	// defaultTimeout bounds a request that neither its caller nor its route
	// bounds.
	defaultTimeout = time.Minute
	// soon, later and muchLater are when callers of refused requests may come
	// back: elsewhere, when an upstream is back, and never with success.
	soon      = 20 * time.Millisecond
	later     = 400 * time.Millisecond
	muchLater = 5 * time.Second
	// perToken is how long an output token takes at most as a rule.
	perToken = 9 * time.Millisecond
)

// reason says why a request ended without an upstream's answer.
type reason string

// The reasons of refusals and failures.
const (
	noRoutes      reason = "no_routes"
	badRequest    reason = "bad_request"
	noRoute       reason = "no_route"
	unknownKey    reason = "unknown_key"
	bodyTooLarge  reason = "body_too_large"
	bodyBroken    reason = "body_broken"
	instanceLeave reason = "instance_leaving"
	quarantined   reason = "quarantined"
	noUpstream    reason = "no_upstream"
	overloaded    reason = "overloaded"
	notRun        reason = "not_run"
	timedOut      reason = "timed_out"
	unknown       reason = "outcome_unknown"
	brokenStream  reason = "stream_broken"
	callerLeft    reason = "caller_left"
)

// job is one request in progress.
type job struct {
	*call.Request
	router    *Router
	w         http.ResponseWriter
	route     *routing.Route
	workspace *routing.Workspace
	service   id.Service
	arrived   time.Time
	deadline  time.Time
	digest    id.Fingerprint
	// tried holds the upstreams that the request was sent to.
	tried []id.Upstream
	// ran counts the upstreams that may have run it.
	ran int
	// refusal is why no upstream was chosen last, and expected how long the
	// request would have waited.
	refusal  choice.Refusal
	expected time.Duration
	// status is that of an answer of the router's own; 0 where it gave none.
	status int
	// version is that of the routing table, and urgency what engines order
	// requests by.
	version id.ManifestVersion
	urgency int
}

// ServeHTTP serves one request of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	if r.leaving.begun() {
		w.Header().Set("Connection", "close")
	}
	j, why := r.admit(w, request)
	if why != "" {
		j.refuse(why)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), j.deadline)
	defer cancel()
	j.run(ctx)
}

// admit decides what a request may do, and reads its body.
func (r *Router) admit(w http.ResponseWriter, request *http.Request) (*job, reason) {
	j := &job{router: r, w: w, arrived: time.Now(), Request: &call.Request{}}
	table := r.table.Load()
	if table == nil {
		return j, noRoutes
	}
	read, err := r.Dialect.Request(request)
	if err != nil {
		klog.V(1).InfoS("request not understood", "caller", request.RemoteAddr, "err", err)
		return j, badRequest
	}
	j.Request, j.version = read, table.Version
	if j.route = table.Match(read.Host, read.URL.EscapedPath()); j.route == nil {
		return j, noRoute
	}
	var known bool
	if j.workspace, known = table.Workspace(read.Key); !known && !j.route.Public {
		return j, unknownKey
	}
	j.urgency = table.Urgency(j.route, j.workspace, choice.Urgencies)
	j.service = j.route.PickService(rand.Float64())
	j.deadline = j.arrived.Add(j.patience())
	klog.InfoS("received", "request", j.ID, "route", j.route.Name, "service", j.service, "workspace", j.workspaceName(),
		"urgency", j.urgency, "version", j.version, "left", j.patience(), "caller", request.RemoteAddr)
	if !r.fits(j) {
		return j, instanceLeave
	}
	if why := j.readBody(request, table.Limits); why != "" {
		return j, why
	}
	j.digest = r.Dialect.Digest(read)
	r.mu.Lock()
	r.share.RecordRequest(j.arrived, j.service)
	r.mu.Unlock()
	if j.quarantined() {
		return j, quarantined
	}
	return j, ""
}

// quarantined reports whether the request has crashed too many upstreams.
func (j *job) quarantined() bool {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	return j.router.suspects.Verdict(time.Now(), j.digest) == suspect.Quarantined
}

// patience is how long the caller is kept waiting at most.
func (j *job) patience() time.Duration {
	switch {
	case j.route.Timeout <= 0 && j.Budget <= 0:
		return defaultTimeout
	case j.route.Timeout <= 0:
		return j.Budget
	case j.Budget <= 0:
		return j.route.Timeout
	}
	return min(j.route.Timeout, j.Budget)
}

// fits reports whether the request can end before a leaving instance does.
func (r *Router) fits(j *job) bool {
	if !r.leaving.begun() {
		return true
	}
	needed := j.deadline.Sub(j.arrived)
	if j.route.Streaming && j.OutputTokens > 0 {
		needed = min(needed, j.route.Objective+time.Duration(j.OutputTokens)*perToken)
	}
	return needed <= r.leaving.left(j.arrived)
}

func (j *job) readBody(request *http.Request, limits routing.Limits) reason {
	limit := int64(defaultMaxBody)
	if limits.MaxBodyBytes > 0 {
		limit = limits.MaxBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, request.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return bodyTooLarge
	case err != nil:
		return bodyBroken
	}
	j.Body = body
	return ""
}

// refuse answers a request that does not run.
func (j *job) refuse(why reason) {
	switch why {
	case badRequest, bodyBroken:
		j.answer(http.StatusBadRequest, why)
	case noRoute:
		j.answer(http.StatusNotFound, why)
	case unknownKey:
		j.answer(http.StatusUnauthorized, why)
	case bodyTooLarge:
		j.answer(http.StatusRequestEntityTooLarge, why)
	case instanceLeave:
		j.answerLater(soon, why)
	case quarantined:
		j.answerLater(muchLater, why)
	default:
		j.answerLater(later, why)
	}
}

// answerLater says that the request was not run and will not be, and when to
// come back.
func (j *job) answerLater(after time.Duration, why reason) {
	after += rand.N(after/2 + 1)
	j.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	j.answer(http.StatusServiceUnavailable, why)
}

// answer ends a request with a status of the router's own.
func (j *job) answer(status int, why reason) {
	outcome := metrics.Unknown
	if j.ran == 0 {
		outcome = metrics.NotRun
	}
	j.status = status
	j.ended(outcome, why)
	j.w.WriteHeader(status)
}

// ended notes the end of a request that has no whole answer of an upstream.
func (j *job) ended(outcome metrics.Outcome, why reason) {
	m := &j.router.metrics
	m.Add("ended_"+string(why), 1)
	if j.route != nil {
		m.Observe(metrics.Observation{
			Class: id.Class(j.route.Name), Workspace: j.workspaceName(), Upstream: j.lastTried(), Outcome: outcome,
			QueueWait: -1, FirstToken: -1,
		})
	}
	klog.InfoS("ended", "request", j.ID, "status", j.status, "reason", why, "outcome", outcome,
		"route", j.routeName(), "workspace", j.workspaceName(), "attempts", len(j.tried), "ran", j.ran,
		"after", time.Since(j.arrived), "expected", j.expected)
}

func (j *job) routeName() string {
	if j.route == nil {
		return ""
	}
	return j.route.Name
}

// lastTried returns the upstream that the request was last sent to.
func (j *job) lastTried() id.Upstream {
	if len(j.tried) == 0 {
		return ""
	}
	return j.tried[len(j.tried)-1]
}

func (j *job) workspaceName() id.Workspace {
	if j.workspace == nil {
		return ""
	}
	return j.workspace.Name
}

// choose takes an upstream for the next attempt.
func (j *job) choose() (choice.Choice, choice.Ticket, choice.Refusal) {
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	chooser, ok := r.pools.choosers[j.service]
	if !ok {
		return choice.Choice{}, 0, choice.NoUpstream
	}
	r.tickets++
	ticket := choice.Ticket(r.tickets)
	chosen, refusal := chooser.Choose(time.Now(), choice.Request{
		Ticket:         ticket,
		Parts:          j.Parts,
		Objective:      j.route.Objective,
		PauseObjective: j.route.PauseObjective,
		Urgency:        j.urgency,
		Excluded:       j.tried,
		Resubmitted:    len(j.tried) > 0 || r.returns.returned(j.digest),

		OutputTokens: j.OutputTokens,
	})
	if refusal == choice.Overloaded {
		r.returns.refuse(time.Now(), j.digest)
	}
	return chosen, ticket, refusal
}

// mayRepeat spends one repeat of the service's budget.
func (j *job) mayRepeat() bool {
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	instances := len(r.pulse.Live(now))
	if r.share.Allow(now, j.service, instances) {
		return true
	}
	spent, allowed := r.share.Usage(now, j.service, instances)
	klog.InfoS("retry budget spent", "request", j.ID, "service", j.service,
		"spent", spent, "allowed", allowed, "instances", instances)
	return false
}
