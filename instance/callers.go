package instance

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/entries"
	"samphirehead/protocol/answer"
	"samphirehead/state/id"
	"samphirehead/transport/caller"
)

// callerBackend handles the requests of the callers' server.
type callerHandler Instance

var _ caller.RequestHandler = (*callerHandler)(nil)

func (h *callerHandler) Authenticate(key string) (id.Workspace, bool) {
	workspace, known := (*Instance)(h).Index().WorkspaceByKey(key)
	if !known {
		return "", false
	}
	return workspace.Name, true
}

// Ready returns a failure while the active manifest may be outdated, and once
// the draining instance accepts no new requests.
func (h *callerHandler) Ready(ctx context.Context) *answer.Failure {
	i := (*Instance)(h)
	switch {
	case !i.drain.accepting():
		return &answer.Failure{Reason: answer.ReasonDraining, Message: "the instance is leaving; ask for entries again", RetryAfter: drainingRetryAfter}
	case i.partitioned():
		return &answer.Failure{Reason: answer.ReasonNotReady, Message: "the instance hears neither the platform nor other instances", RetryAfter: notReadyRetryAfter}
	case !i.awaitManifest(ctx):
		return &answer.Failure{Reason: answer.ReasonNotReady, Message: "the instance has not got the newest manifest yet", RetryAfter: notReadyRetryAfter}
	default:
		return nil
	}
}

// partitioned reports whether other instances may have accepted a manifest that
// this one does not know of, because neither the platform nor a peer has answered
// for several seconds. An instance that never had a peer keeps serving.
func (i *Instance) partitioned() bool {
	return i.manifests.Isolated() && len(i.members.Records()) > 1
}

// awaitManifest waits until the newest known manifest is active. It reports
// false if that takes longer than manifestWaitTimeout.
func (i *Instance) awaitManifest(ctx context.Context) bool {
	if i.upToDate() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, manifestWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(manifestPollInterval)
	defer ticker.Stop()
	for !i.upToDate() {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// upToDate reports whether the newest known manifest is active, and the fetch of
// crash records has ended.
func (i *Instance) upToDate() bool {
	if i.Index() == nil || !i.crashesFetched.Load() || i.manifests.Behind() {
		return false
	}
	newest, _, _ := i.manifests.Current()
	return i.version() == newest
}

func (h *callerHandler) ManifestVersion() id.ManifestVersion { return (*Instance)(h).version() }

const (
	notReadyRetryAfter = 500 * time.Millisecond
	drainingRetryAfter = 100 * time.Millisecond
	// manifestWaitTimeout bounds how long a request waits for the newest
	// manifest.
	manifestWaitTimeout  = 300 * time.Millisecond
	manifestPollInterval = 2 * time.Millisecond
)

// Entries returns the addresses to which callers of a workspace should send
// requests, in order of preference.
func (h *callerHandler) Entries(workspace id.Workspace) caller.Entries {
	i := (*Instance)(h)
	ranked := entries.Rank(entries.Query{
		Workspace:     workspace,
		FailureDomain: i.Settings.FailureDomain,
		Region:        i.Settings.Region,
		Members:       i.members.Records(),
		Seed:          rand.Uint64(),
	})
	out := caller.Entries{Lifetime: entries.Lifetime}
	for _, r := range ranked {
		out.Addresses = append(out.Addresses, r.CallerAddress)
	}
	return out
}

func (h *callerHandler) Generate(ctx context.Context, c caller.ChatCall, sink caller.Sink) answer.Result {
	result := h.entry.Generate(ctx, c, sink)
	if klog.V(1).Enabled() {
		class, _ := (*Instance)(h).Index().Classify(c.Workspace, c.Chat.PromptTokens, c.Class)
		logRequestEnd(c.Request, c.Workspace, class.Name, c.Arrived, result)
	}
	return result
}

func (h *callerHandler) Call(ctx context.Context, c caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	result, out := h.entry.Call(ctx, c)
	if klog.V(1).Enabled() {
		route, _ := (*Instance)(h).Index().Route(c.Service, c.Method, c.Path)
		logRequestEnd(c.Request, c.Workspace, route.Class, c.Arrived, result)
	}
	return result, out
}

// logRequestEnd logs the outcome of a request. The class is empty if the request
// was not classified.
func logRequestEnd(request id.Request, workspace id.Workspace, class id.Class, arrived time.Time, result answer.Result) {
	outcome, reason := answer.OutcomeCompleted, answer.Reason("")
	switch r := result.(type) {
	case answer.NotRun:
		outcome, reason = answer.OutcomeNotRun, r.Failure().Reason
	case answer.Unknown:
		outcome, reason = answer.OutcomeUnknown, r.Reason
	}
	klog.V(1).InfoS("request ended", "request", request, "workspace", workspace, "class", class,
		"outcome", outcome, "reason", reason, "took", time.Since(arrived))
}

func (h *callerHandler) Outcome(ctx context.Context, c caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return h.entry.Outcome(ctx, c)
}

// countInFlight counts the requests in progress.
func (i *Instance) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.inFlight.Add(1)
		defer i.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// admit applies the rate limits of a workspace; nil admits the request.
func (i *Instance) admit(ctx context.Context, workspace id.Workspace, tokens id.Tokens) *answer.Failure {
	retryAfter, admitted := i.limits.Admit(ctx, workspace, tokens)
	if admitted {
		return nil
	}
	return &answer.Failure{
		Reason:     answer.ReasonRateLimited,
		Message:    "the workspace is over its limit of requests or tokens",
		RetryAfter: retryAfter,
	}
}
