package instance

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"samphirehead/coordination/entries"
	"samphirehead/protocol/answer"
	"samphirehead/state/id"
	"samphirehead/transport/caller"
)

// callerBackend is the instance as its callers' server sees it.
type callerBackend Instance

var _ caller.Backend = (*callerBackend)(nil)

func (b *callerBackend) Authenticate(key string) (id.Workspace, bool) {
	workspace, known := (*Instance)(b).Index().WorkspaceByKey(key)
	if !known {
		return "", false
	}
	return workspace.Name, true
}

// Ready refuses while there is no manifest, or one that is known to be
// outdated, and once the instance takes no new work.
func (b *callerBackend) Ready() *answer.Failure {
	i := (*Instance)(b)
	switch {
	case i.Index() == nil:
		return &answer.Failure{Reason: answer.ReasonNotReady, Message: "the instance has no manifest yet", RetryAfter: notReadyRetry}
	case !i.leaving.accepting():
		return &answer.Failure{Reason: answer.ReasonLeaving, Message: "the instance is leaving; ask for entries again", RetryAfter: leavingRetry}
	default:
		return nil
	}
}

func (b *callerBackend) ManifestVersion() id.ManifestVersion { return (*Instance)(b).version() }

const (
	notReadyRetry = 500 * time.Millisecond
	leavingRetry  = 100 * time.Millisecond
)

// Entries names the instances that a workspace's callers are to use.
func (b *callerBackend) Entries(workspace id.Workspace) caller.Entries {
	i := (*Instance)(b)
	ranked := entries.Rank(entries.Query{
		Workspace:     workspace,
		FailureDomain: i.Settings.FailureDomain,
		Region:        i.Settings.Region,
		Members:       i.members.Records(),
		Draw:          rand.Uint64(),
	})
	out := caller.Entries{Lifetime: entries.Lifetime}
	for _, r := range ranked {
		out.Addresses = append(out.Addresses, r.CallerAddress)
	}
	return out
}

func (b *callerBackend) Generate(ctx context.Context, g caller.Generation, sink caller.Sink) answer.Result {
	return b.entry.Generate(ctx, g, sink)
}

func (b *callerBackend) Call(ctx context.Context, c caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return b.entry.Call(ctx, c)
}

func (b *callerBackend) Outcome(ctx context.Context, c caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return b.entry.Outcome(ctx, c)
}

// counted counts the requests in progress.
func (i *Instance) counted(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		i.inFlight.Add(1)
		defer i.inFlight.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// admit applies the limits of a workspace.
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
