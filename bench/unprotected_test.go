package bench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphirehead/bench"
	"samphirehead/bench/cluster"
	"samphirehead/protocol/answer"
	"samphirehead/protocol/openai"
	"samphirehead/standin/engine"
	"samphirehead/state/id"
	"samphirehead/state/settings"
	"samphirehead/transport/caller"
)

// unprotected is an instance that breaks the guarantees on purpose: it runs a
// call as often as it is sent, answers "not run" for some calls that ran,
// truncates answers and mixes them up, and returns to old manifest versions.
type unprotected struct {
	shared *sharedState

	callers, peers, operators net.Listener
}

// sharedState is what all instances of the cluster share.
type sharedState struct {
	addresses []string
	requests  atomic.Int64
	// workers are the addresses of the service's workers.
	workers []string
}

func (u *unprotected) Listen() error {
	for _, l := range []*net.Listener{&u.callers, &u.peers, &u.operators} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*l = listener
	}
	u.shared.addresses = append(u.shared.addresses, u.CallerAddr())
	return nil
}

func (u *unprotected) CallerAddr() string   { return u.callers.Addr().String() }
func (u *unprotected) PeerAddr() string     { return u.peers.Addr().String() }
func (u *unprotected) OperatorAddr() string { return u.operators.Addr().String() }

func (u *unprotected) Run(ctx context.Context) error {
	server := &caller.Server{RequestHandler: u, MaxBodyBytes: 1 << 20, MaxConcurrent: 1000, BodyTimeout: time.Minute, WriteTimeout: time.Minute}
	operators := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"version":1}`) })
	ended := make(chan error)
	for l, h := range map[net.Listener]http.Handler{u.callers: server.Handler(), u.operators: operators, u.peers: http.NotFoundHandler()} {
		s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
		defer context.AfterFunc(ctx, func() { _ = s.Close() })()
		go func() { ended <- s.Serve(l) }()
	}
	var err error
	for range 3 {
		if e := <-ended; !errors.Is(e, http.ErrServerClosed) {
			err = e
		}
	}
	return err
}

func (u *unprotected) Authenticate(string) (id.Workspace, bool) { return "w", true }
func (u *unprotected) Ready(context.Context) *answer.Failure    { return nil }

func (u *unprotected) ManifestVersion() id.ManifestVersion {
	return id.ManifestVersion(1 + u.shared.requests.Load()%2)
}

func (u *unprotected) Entries(id.Workspace) caller.Entries {
	return caller.Entries{Addresses: u.shared.addresses, Lifetime: time.Second}
}

// Generate makes up answers without an engine. Of each three answers one lacks
// its last token, and one ends with a token that belongs to another answer.
func (u *unprotected) Generate(_ context.Context, g caller.ChatCall, sink caller.Sink) answer.Result {
	n := u.shared.requests.Add(1)
	var message openai.Message
	_ = json.Unmarshal(g.Chat.Messages[len(g.Chat.Messages)-1], &message)
	digest := engine.Digest(message.Content)
	length, _ := strconv.Atoi(message.Content[strings.LastIndex(message.Content, "=")+1:])
	for i := range length {
		if n%3 == 0 && i == length-1 {
			break
		}
		if n%3 == 1 && i == length-1 {
			digest = engine.Digest("another")
		}
		chunk, _ := json.Marshal(openai.Chunk{ID: string(g.Request), Choices: []openai.ChunkChoice{{Delta: openai.Delta{Content: engine.Token(i, digest)}}}})
		_ = sink.Deliver(openai.Event{Sequence: id.Tokens(i), Data: string(chunk)})
	}
	return answer.Completed{}
}

// Call forwards every call, even a repeated one, and reports each tenth as not
// run although it ran.
func (u *unprotected) Call(ctx context.Context, c caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	n := u.shared.requests.Add(1)
	address := u.shared.workers[int(n)%len(u.shared.workers)]
	r, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return notRun(), caller.ServiceAnswer{}
	}
	r.Header.Set("Idempotency-Key", c.IdempotencyKey)
	r.Header.Set("X-Request-Id", string(c.Request))
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return notRun(), caller.ServiceAnswer{}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || n%10 == 0 {
		return notRun(), caller.ServiceAnswer{}
	}
	return answer.Completed{}, caller.ServiceAnswer{Status: response.StatusCode, Header: response.Header, Body: body}
}

func notRun() answer.Result {
	return (&answer.Progress{}).Fail(answer.Failure{Reason: answer.ReasonPlatformDown})
}

func (u *unprotected) Outcome(context.Context, caller.ServiceCall) (answer.Result, caller.ServiceAnswer) {
	return answer.Completed{}, caller.ServiceAnswer{}
}

// The score must count violations of an instance that breaks its guarantees;
// otherwise a run without violations would prove nothing.
func TestExperimentDetectsViolations(t *testing.T) {
	shared := &sharedState{}
	c := cluster.New(func(settings.Settings, func(http.RoundTripper) http.RoundTripper) cluster.Instance {
		return &unprotected{shared: shared}
	})
	t.Cleanup(func() {
		if err := c.Stop(); err != nil {
			t.Error(err)
		}
	})
	if err := c.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	for _, s := range c.Services {
		shared.workers = append(shared.workers, s.Addr())
	}
	scenario, _ := bench.Find("duplicate_calls")
	experiment := &bench.Experiment{Scenario: scenario, Policy: "unprotected", Duration: time.Second, Seed: 1}
	result, _ := experiment.RunOn(t.Context(), c)
	v := result.Violations
	if v.DuplicateRuns == 0 || v.FalseNotRun == 0 || v.TruncatedAnswers == 0 || v.CrossedAnswers == 0 || v.ConfigReverts == 0 {
		t.Errorf("violations %+v", v)
	}
}
