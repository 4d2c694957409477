package entry

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/admission"
	"samphirehead/coordination/retry"
	"samphirehead/instance/dispatch"
	"samphirehead/protocol/answer"
	"samphirehead/protocol/openai"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/metrics"
	"samphirehead/transport/caller"
	"samphirehead/transport/engine"
)

const (
	// firstTokenTimeout bounds the wait for the first token of an attempt,
	// tokenTimeout the wait for each later one.
	firstTokenTimeout = 20 * time.Second
	tokenTimeout      = 5 * time.Second
	// prefixBlockBytes is the length of the prompt block that each further
	// prefix hash adds.
	prefixBlockBytes = 1024
	maxPrefixBlocks  = 32
)

// errPreempted ends an attempt whose slot is needed for a higher tier.
var errPreempted = errors.New("preempted")

// errCallerGone ends an attempt whose answer can't be delivered to the caller.
var errCallerGone = errors.New("the caller has disconnected")

// generation is the state of one chat completion over all attempts. It is used
// by one goroutine only.
type generation struct {
	entry    *Entry
	in       caller.ChatCall
	class    manifest.Class
	sink     caller.Sink
	progress answer.Progress
	request  admission.Request
	// delivered counts the tokens that the caller has received; it never
	// decreases.
	delivered id.Tokens
	// attempts counts the attempts, without the preempted ones.
	attempts int
	// queueWait and firstToken are -1 until a slot is granted and a token
	// arrives.
	queueWait  time.Duration
	firstToken time.Duration
	lastToken  time.Time
}

// Generate runs a chat completion and delivers its answer to sink.
func (e *Entry) Generate(ctx context.Context, in caller.ChatCall, sink caller.Sink) answer.Result {
	var progress answer.Progress
	index := e.Index()
	if !index.HasModel(in.Chat.Model) {
		return progress.Fail(answer.Failure{Reason: answer.ReasonNotFound, Message: "no such model: " + string(in.Chat.Model)})
	}
	c := e.classify(index, in.Workspace, in.Chat.PromptTokens, in.Class)
	if c.failure != nil {
		return progress.Fail(*c.failure)
	}
	admitted := in.Chat.PromptTokens
	if f := e.Admit(ctx, in.Workspace, admitted); f != nil {
		return progress.Fail(*f)
	}
	g := &generation{entry: e, in: in, class: c.class, sink: sink, queueWait: -1, firstToken: -1}
	g.request = g.newRequest()
	ctx, cancel := context.WithDeadline(ctx, g.request.Deadline)
	defer cancel()
	result := g.run(ctx)
	e.ReportUsage(in.Workspace, admitted, in.Chat.PromptTokens+g.delivered)
	g.observe(result)
	return result
}

func (g *generation) newRequest() admission.Request {
	return admission.Request{
		Request:      g.in.Request,
		Pool:         id.ModelPool(g.in.Chat.Model),
		Class:        g.class.Name,
		Workspace:    g.in.Workspace,
		PromptTokens: g.in.Chat.PromptTokens,
		FirstTokenBy: g.in.Arrived.Add(g.class.FirstToken),
		Deadline:     g.in.Arrived.Add(g.class.TotalDeadline),
		Prefix:       prefixHashes(g.in.Chat),
		Fingerprint:  fingerprint(g.in),
	}
}

// fingerprint is equal for equal requests of one workspace.
func fingerprint(in caller.ChatCall) id.Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(string(in.Workspace))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(in.Chat.Body)
	return id.Fingerprint(h.Sum64())
}

// prefixHashes returns a hash for each leading whole block of the prompt; each
// hash covers the prompt up to the end of its block.
func prefixHashes(chat *openai.ChatRequest) []uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(string(chat.Model))
	var hashes []uint64
	filled := 0
	for _, m := range chat.Messages {
		for len(m) > 0 && len(hashes) < maxPrefixBlocks {
			n := min(prefixBlockBytes-filled, len(m))
			_, _ = h.Write(m[:n])
			m, filled = m[n:], filled+n
			if filled == prefixBlockBytes {
				hashes, filled = append(hashes, h.Sum64()), 0
			}
		}
	}
	return hashes
}

// run makes attempts until the answer is complete or no retry is allowed.
func (g *generation) run(ctx context.Context) answer.Result {
	for {
		g.request.ResumeOffset = g.delivered
		grant, err := g.entry.Dispatcher.Reserve(ctx, g.request)
		if err != nil {
			return g.progress.Fail(refusalFailure(err))
		}
		if g.queueWait < 0 {
			g.queueWait = grant.Wait
		}
		err = g.attempt(ctx, grant)
		if err == nil {
			g.entry.recordSuccess(g.retryKey())
			return answer.Completed{}
		}
		if failure, final := g.finalFailure(ctx, grant, err); final {
			return g.progress.Fail(failure)
		}
	}
}

// attempt streams the rest of the answer from one upstream and releases its slot.
func (g *generation) attempt(ctx context.Context, grant *dispatch.Grant) error {
	started := time.Now()
	firstToken := time.Duration(0)
	offset := g.delivered
	g.attempts++
	g.request.Attempt++
	ctx, stop := untilPreempted(ctx, grant)
	defer stop()
	_, err := g.entry.Engines.Stream(ctx, engine.Request{
		Address:           grant.Upstream.Address,
		ID:                g.in.Request,
		Attempt:           g.attempts,
		Tier:              g.class.Tier,
		Offset:            offset,
		Body:              g.in.Chat.Body,
		FirstTokenTimeout: firstTokenTimeout,
		TokenTimeout:      tokenTimeout,
	}, func(ev openai.Event) error {
		if firstToken == 0 {
			firstToken = max(time.Since(started), 1)
			g.entry.Dispatcher.Started(grant)
		}
		return g.deliver(ev)
	})
	if !errors.Is(err, engine.ErrNotSent) {
		g.progress.MarkPossiblySent()
	}
	g.entry.Dispatcher.Release(grant, dispatch.Result{
		Outcome:    attemptOutcome(ctx, err),
		Tokens:     g.delivered,
		FirstToken: firstToken,
	})
	return err
}

// untilPreempted returns a context that also ends when the grant is preempted.
func untilPreempted(ctx context.Context, grant *dispatch.Grant) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(grant.Preempted(), func() { cancel(errPreempted) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// deliver writes one event to the caller. Only the last event of an answer may
// lack content.
func (g *generation) deliver(ev openai.Event) error {
	if err := g.sink.Deliver(ev); err != nil {
		return errors.Mark(err, errCallerGone)
	}
	if ev.Content == "" {
		return nil
	}
	now := time.Now()
	if g.firstToken < 0 {
		g.firstToken = now.Sub(g.in.Arrived)
	} else {
		g.entry.Metrics.ObserveTokenGap(g.class.Name, now.Sub(g.lastToken))
	}
	g.lastToken = now
	g.delivered++
	return nil
}

// attemptOutcome maps the error of an attempt to its outcome.
func attemptOutcome(ctx context.Context, err error) admission.Outcome {
	switch {
	case err == nil:
		return admission.Completed
	case errors.Is(err, errPreempted):
		return admission.Preempted
	case errors.Is(err, engine.ErrNotSent):
		return admission.Unreachable
	case errors.Is(err, engine.ErrStalled):
		return admission.Unreachable
	case errors.Is(err, engine.ErrStatus):
		return admission.Failed
	case errors.Is(err, errCallerGone), ctx.Err() != nil:
		return admission.Cancelled
	default:
		return admission.Crashed
	}
}

// finalFailure returns the failure that ends the request, and whether the failed
// attempt is the last one.
func (g *generation) finalFailure(ctx context.Context, grant *dispatch.Grant, err error) (answer.Failure, bool) {
	klog.V(1).InfoS("attempt failed", "request", g.in.Request, "workspace", g.in.Workspace, "class", g.class.Name,
		"upstream", grant.Upstream.Name, "attempt", g.attempts, "delivered", g.delivered, "err", err)
	if errors.Is(err, errCallerGone) || ctx.Err() != nil {
		return contextFailure(context.Cause(ctx)), true
	}
	if errors.Is(err, engine.ErrRejected) {
		return answer.Failure{Reason: answer.ReasonUpstreamRejected, Message: "the engine rejected the request: " + err.Error()}, true
	}
	preempted := errors.Is(err, errPreempted)
	if preempted {
		g.attempts--
	}
	outcome := attemptOutcome(ctx, err)
	if outcome == admission.Crashed {
		g.entry.Crashed(grant.Upstream.Name, g.in.Request, g.request.Fingerprint)
	}
	decision := g.entry.decideRetry(g.retryKey(), retry.FailedAttempt{
		NothingSent:     errors.Is(err, engine.ErrNotSent),
		TokensDelivered: g.delivered,
		Resumable:       grant.Upstream.Resumes,
		Idempotent:      true,
		Preempted:       preempted,
		Attempts:        g.attempts,
		Deadline:        g.request.Deadline,
	})
	if decision.Action == retry.Fail {
		return retryFailure(decision), true
	}
	if !preempted && !slices.Contains(g.request.Excluded, grant.Upstream.Name) {
		g.request.Excluded = append(g.request.Excluded, grant.Upstream.Name)
	}
	return answer.Failure{}, false
}

func (g *generation) retryKey() retry.Key {
	return retry.Key{Class: g.class.Name, Pool: g.request.Pool}
}

// attained reports whether a complete answer met the targets of its class: the
// time to the first token, and the mean gap between tokens.
func (g *generation) attained() bool {
	if g.firstToken < 0 || g.firstToken > g.class.FirstToken {
		return false
	}
	if g.delivered < 2 || g.class.BetweenTokens == 0 {
		return true
	}
	streamed := g.lastToken.Sub(g.in.Arrived) - g.firstToken
	return streamed <= g.class.BetweenTokens*time.Duration(g.delivered-1)
}

func (g *generation) observe(result answer.Result) {
	_, completed := result.(answer.Completed)
	g.entry.Metrics.Observe(metrics.Observation{
		Class:      g.class.Name,
		Workspace:  g.in.Workspace,
		Outcome:    metricsOutcome(result),
		QueueWait:  g.queueWait,
		FirstToken: g.firstToken,
		Tokens:     g.delivered,
		Attained:   completed && g.attained(),
	})
}

func metricsOutcome(result answer.Result) metrics.Outcome {
	switch result.(type) {
	case answer.Completed:
		return metrics.Completed
	case answer.NotRun:
		return metrics.NotRun
	default:
		return metrics.Unknown
	}
}
