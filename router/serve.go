package router

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/quarantine"
	"samphirehead/coordination/throttle"
	"samphirehead/protocol/call"
	"samphirehead/state/id"
	"samphirehead/state/routing"
	"samphirehead/transport/forward"
	"samphirehead/transport/intake"
	"samphirehead/transport/relay"
)

const (
	defaultMaxBodyBytes = 8 << 20
	// defaultTimeout applies to a request for which neither the caller nor the
	// route sets a timeout.
	defaultTimeout = time.Minute
	// These are the Retry-After delays of refused requests, without jitter.
	// retryAfterDrain is short because the caller can go to another instance
	// at once, retryAfterAllDrain for when there is no other that is ready. After
	// retryAfterDefault an upstream may have recovered.
	// retryAfterMax is for quarantined requests, which will not succeed; it
	// also bounds the delay of requests refused because of overload.
	retryAfterDrain    = 20 * time.Millisecond
	retryAfterAllDrain = time.Second
	retryAfterDefault  = 400 * time.Millisecond
	retryAfterMax      = 5 * time.Second
)

// reason is why a request ended without an answer of an upstream.
type reason string

// Reasons of refused and failed requests, as logged and counted in metrics.
const (
	noRoutes           reason = "no_routes"
	badRequest         reason = "bad_request"
	noRoute            reason = "no_route"
	unknownKey         reason = "unknown_key"
	bodyTooLarge       reason = "body_too_large"
	bodyBroken         reason = "body_broken"
	bodyTooSlow        reason = "body_too_slow"
	tooManyParts       reason = "too_many_parts"
	memoryFull         reason = "memory_full"
	instanceDraining   reason = "instance_leaving"
	quarantined        reason = "quarantined"
	noUpstream         reason = "no_upstream"
	overloaded         reason = "overloaded"
	pathsLost          reason = "paths_lost"
	routesOutdated     reason = "routes_outdated"
	upstreamLimit      reason = "upstream_limit"
	originUnknown      reason = "origin_unknown"
	notRun             reason = "not_run"
	timedOut           reason = "timed_out"
	outcomeUnknown     reason = "outcome_unknown"
	streamBroken       reason = "stream_broken"
	callerDisconnected reason = "caller_left"
)

// job is one caller's request in progress.
type job struct {
	*call.Request
	router *Router
	w      http.ResponseWriter
	// conn is the caller's connection, whose memory is bounded; nil in tests.
	conn *intake.Conn
	// bodyMemory is what was drawn for the body, and bodyDropped is set once the body is
	// gone: it can't be sent again, or others needed the memory.
	bodyMemory  int64
	bodyDropped bool
	// chunkedAllowed is set if the caller speaks HTTP/1.1, which marks the end of
	// a stream with a last chunk.
	chunkedAllowed bool
	route          *routing.Route
	workspace      *routing.Workspace
	service        id.Service
	arrived        time.Time
	deadline       time.Time
	digest         id.Fingerprint
	// counted is set once the request was counted for the reports of usage.
	counted bool
	// sharedParts are the fingerprints of the parts of the prompt that other requests
	// may have, too.
	sharedParts []id.Fingerprint
	// tried holds the upstreams that the request was sent to, in order.
	tried []id.Upstream
	// software is the version of the upstream that began the stream, here or at another
	// instance; nil until the caller has an event.
	software *id.SoftwareVersion
	// streamStarted is set once the caller has the head of a stream.
	streamStarted bool
	// resumedAt is when it was last decided to go on with a stream.
	resumedAt time.Time
	// responses holds the answers that are to be released at the end.
	responses []*forward.Response
	// relayed is what another instance tells of the request, which a caller sent there; nil if
	// the caller sent it here.
	relayed *relay.Request
	// relays holds the instances that the request was sent to, in order, and relayDelay is when
	// the last of them would have it again; 0 if unknown.
	relays     []id.Instance
	relayDelay time.Duration
	// possibleRuns counts the upstreams that may have run the request.
	possibleRuns int
	// arrivedAtUpstream is set once an upstream may have received the request.
	arrivedAtUpstream bool
	// refusal is why the last choice found no upstream, and expectedWait how
	// long the request would then have waited.
	refusal      balancer.Refusal
	expectedWait time.Duration
	// limitDelay is when to come back if the last choice found no upstream because
	// of the limits that upstreams state, or the pauses that they ask for; otherwise 0.
	limitDelay time.Duration
	// status is the HTTP status that the router itself answered with; 0 if the
	// answer came from an upstream.
	status int
	// retryAfter is what the router told the caller; 0 if nothing.
	retryAfter time.Duration
	// version is the version of the routing table, and urgency the order in
	// which engines run requests, 0 first.
	version id.ManifestVersion
	urgency int
}

// ServeHTTP serves one request of a caller.
func (r *Router) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if r.drain.started() {
		w.Header().Set("Connection", "close")
	}
	r.serve(&job{
		router: r, w: w, conn: intake.Of(request.Context()), chunkedAllowed: request.ProtoAtLeast(1, 1),
		arrived: time.Now(), Request: &call.Request{},
	}, request)
}

// serve serves the request of a job.
func (r *Router) serve(j *job, request *http.Request) {
	if !r.drain.begin() {
		j.refuse(instanceDraining)
		return
	}
	defer r.drain.end()
	why := r.admit(j, request)
	if why != "" {
		j.refuse(why)
		return
	}
	ctx, cancel := context.WithDeadline(request.Context(), j.deadline)
	defer cancel()
	defer j.release()
	j.run(ctx)
}

// release releases the memory of the upstreams' answers.
func (j *job) release() {
	for _, response := range j.responses {
		response.Release()
	}
}

// admit routes and authenticates a request and reads its body. It returns a
// reason if the request is refused.
func (r *Router) admit(j *job, request *http.Request) reason {
	table := r.table.Load()
	if table == nil {
		return noRoutes
	}
	parsed, err := r.Dialect.ParseRequest(request)
	if err != nil {
		klog.V(1).InfoS("request not parsed", "caller", request.RemoteAddr, "err", err)
		return badRequest
	}
	j.Request, j.version = parsed, table.Version
	if why := j.admitRelayed(); why != "" {
		return why
	}
	if j.hasTooManyParts() {
		return tooManyParts
	}
	j.Parts = boundParts(j.Parts, r.Settings.CallerLimits.ConsideredParts())
	if j.route = table.Match(parsed.Host, parsed.URL.EscapedPath()); j.route == nil {
		return noRoute
	}
	var known bool
	if j.workspace, known = table.Workspace(parsed.APIKey); !known && !j.route.Public {
		return unknownKey
	}
	j.urgency = table.Urgency(j.route, j.workspace, balancer.Urgencies)
	j.service = j.route.PickService(rand.Float64())
	j.deadline = j.arrived.Add(j.timeout())
	klog.InfoS("received", "request", j.ID, "route", j.route.Name, "service", j.service, "workspace", j.workspaceName(),
		"urgency", j.urgency, "version", j.version, "left", j.timeout(), "resumes", parsed.Resumes, "caller", request.RemoteAddr)
	if !r.canFinish(j) {
		return instanceDraining
	}
	if why := j.readBody(request, table.Limits); why != "" {
		return why
	}
	if j.isResumption() && !j.findOrigin(request.Context()) {
		return originUnknown
	}
	j.digest = r.Dialect.Digest(parsed)
	for _, name := range j.sharedPartNames() {
		j.sharedParts = append(j.sharedParts, quarantine.PartFingerprint(name))
	}
	j.recordArrival()
	if j.quarantined() && !j.trial() {
		return quarantined
	}
	return ""
}

// recordArrival counts the request. One that was relayed counts where its caller sent it.
func (j *job) recordArrival() {
	if j.relayed != nil {
		return
	}
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	j.router.retryBudgets.RecordRequest(j.arrived, j.service)
	j.router.demandArrived(j.arrived, j.service)
}

// timeout returns how long the request may take: the shorter of the route's
// timeout and the caller's budget, or defaultTimeout if neither is set.
func (j *job) timeout() time.Duration {
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

// canFinish reports whether the request is sure to end before a draining instance exits:
// it may run until its deadline, whatever others take.
func (r *Router) canFinish(j *job) bool {
	return !r.drain.started() || j.deadline.Sub(j.arrived) <= r.drain.remaining(j.arrived)
}

// drainDelay returns when a caller that a draining instance refuses is to come back: it may
// then go to another one.
func (r *Router) drainDelay() time.Duration {
	if len(r.callerAddresses("", "")) > 0 {
		return retryAfterDrain
	}
	return retryAfterAllDrain
}

func (j *job) routeName() string {
	if j.route == nil {
		return ""
	}
	return j.route.Name
}

// lastTried returns the upstream that the request was last sent to, or "" if it
// was sent to none.
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

// admission draws to which upstreams with a limit the next attempt may be sent.
func (j *job) admission() *throttle.Admission {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	return j.router.throttles.admit(time.Now(), j.service)
}

// choose reserves an upstream for the next attempt.
func (j *job) choose(admission *throttle.Admission) (balancer.Choice, balancer.Ticket, balancer.Refusal) {
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	j.limitDelay = 0
	chooser, ok := r.pools.choosers[j.service]
	if !ok {
		return balancer.Choice{}, 0, balancer.NoUpstream
	}
	r.lastTicket++
	ticket := balancer.Ticket(r.lastTicket)
	now := time.Now()
	chosen, refusal := chooser.Choose(now, balancer.Request{
		Ticket:         ticket,
		Parts:          j.Parts,
		Objective:      j.route.Objective,
		PauseObjective: j.route.PauseObjective,
		Urgency:        j.urgency,
		Excluded:       j.tried,
		Software:       j.software,
		Admits:         admission.Admits,
		FreeSlotOnly:   r.throttles.brittle(now, j.service),
		Resubmitted:    len(j.tried) > 0 || r.refused.contains(j.digest),

		OutputTokens: j.OutputTokens,
	})
	switch {
	case refusal == balancer.Chosen:
		r.throttles.sent(now, j.service, chosen.Upstream)
		r.demandSent(now, j.service, chosen.Prefill)
	case refusal == balancer.Overloaded:
		r.refused.add(now, j.digest)
	case admission.Denied():
		j.limitDelay = r.throttles.retryAfter(now, j.service)
	}
	return chosen, ticket, refusal
}

// spendRetry takes one retry from the service's budget and reports whether one
// was left.
func (j *job) spendRetry() bool {
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.retryBudgets.Allow(now, j.service) {
		return true
	}
	spent, allowed := r.retryBudgets.Usage(now, j.service)
	klog.InfoS("retry budget spent", "request", j.ID, "service", j.service, "spent", spent, "allowed", allowed)
	return false
}
