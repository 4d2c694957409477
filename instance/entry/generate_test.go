package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirehead/coordination/admission"
	"samphirehead/instance/dispatch"
	"samphirehead/instance/entry"
	"samphirehead/protocol/answer"
	"samphirehead/protocol/openai"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/metrics"
	"samphirehead/transport/caller"
	"samphirehead/transport/engine"
)

const answerTokens = 8

// fakeEngine streams an answer of answerTokens tokens, with the fault that is set.
type fakeEngine struct {
	// breakAt is the token before which the connection breaks; answerTokens
	// means never.
	breakAt int
	// noise sends events out of order, of other requests, repeated and
	// malformed among the tokens.
	noise bool
	// status, unless 0, is the HTTP status sent instead of a stream.
	status int
	// stall is called after each token; true sends no more until the entry
	// closes the connection.
	stall func() bool
}

func (f fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.status != 0 {
		w.WriteHeader(f.status)
		return
	}
	request := r.Header.Get("X-Request-Id")
	offset, _ := strconv.Atoi(r.Header.Get("X-Resume-Offset"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := offset; i < answerTokens; i++ {
		if i == f.breakAt {
			panic(http.ErrAbortHandler)
		}
		if f.noise {
			send(w, i+3, request, token(i+3))
			send(w, i, "another request", "foreign ")
			fmt.Fprint(w, "data: {\n\n")
		}
		send(w, i, request, token(i))
		if f.noise {
			send(w, i, request, token(i))
		}
		if f.stall != nil && f.stall() {
			<-r.Context().Done()
			return
		}
	}
	fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", request)
}

func token(i int) string { return fmt.Sprintf("t%d ", i) }

func send(w http.ResponseWriter, sequence int, request, text string) {
	fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", sequence, request, text)
	_ = http.NewResponseController(w).Flush()
}

// dispatcher grants the first upstream that is not excluded.
type dispatcher struct {
	upstreams []manifest.Upstream

	mu       sync.Mutex
	grants   []*dispatch.Grant
	outcomes []admission.Outcome
	offsets  []id.Tokens
	// started counts the calls of Started.
	started int
}

func (d *dispatcher) Reserve(ctx context.Context, request admission.Request) (*dispatch.Grant, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		if slices.Contains(request.Excluded, u.Name) {
			continue
		}
		g := dispatch.NewGrant(request, u, 0)
		d.grants = append(d.grants, g)
		d.offsets = append(d.offsets, request.ResumeOffset)
		return g, nil
	}
	return nil, &dispatch.Refusal{Reason: admission.NoUpstream}
}

func (d *dispatcher) Started(*dispatch.Grant) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.started++
}

func (d *dispatcher) Release(_ *dispatch.Grant, r dispatch.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outcomes = append(d.outcomes, r.Outcome)
}

// preemptLast preempts the latest grant.
func (d *dispatcher) preemptLast() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants[len(d.grants)-1].Preempt()
}

type sink struct {
	text strings.Builder
	// fail makes every delivery return an error.
	fail bool
}

func (s *sink) Deliver(ev openai.Event) error {
	if s.fail {
		return fmt.Errorf("gone")
	}
	s.text.WriteString(ev.Content)
	return nil
}

// fixture is an entry with fake engines as its upstreams.
type fixture struct {
	entry      *entry.Entry
	dispatcher *dispatcher
	crashed    []id.Upstream
}

// newFixture returns an entry with engines that can resume answers, or can't. The
// address of a nil engine refuses connections.
func newFixture(t *testing.T, resumes bool, engines ...http.Handler) *fixture {
	t.Helper()
	f := &fixture{dispatcher: &dispatcher{}}
	m := &manifest.Manifest{
		Classes:    []manifest.Class{{Name: "c", Tier: 1, FirstToken: time.Second, TotalDeadline: time.Minute}},
		Workspaces: []manifest.Workspace{{Name: "w", Classes: []id.Class{"c"}}},
		Models:     []manifest.Model{{Name: "m"}},
	}
	for n, handler := range engines {
		address := refusingAddress(t)
		if handler != nil {
			server := httptest.NewServer(handler)
			t.Cleanup(server.Close)
			address = server.Listener.Addr().String()
		}
		u := manifest.Upstream{Name: id.Upstream(fmt.Sprint("u", n)), Address: address, Kind: manifest.KindEngine, Models: []id.Model{"m"}, Resumes: resumes}
		m.Upstreams = append(m.Upstreams, u)
	}
	f.dispatcher.upstreams = m.Upstreams
	index := manifest.NewIndex(m)
	f.entry = &entry.Entry{
		Dispatcher:  f.dispatcher,
		Engines:     &engine.Client{HTTP: engine.NewHTTPClient()},
		Metrics:     &metrics.Registry{},
		Index:       func() *manifest.Index { return index },
		Admit:       func(context.Context, id.Workspace, id.Tokens) *answer.Failure { return nil },
		ReportUsage: func(id.Workspace, id.Tokens, id.Tokens) {},
		Crashed: func(u id.Upstream, _ id.Request, _ id.Fingerprint) {
			f.crashed = append(f.crashed, u)
		},
	}
	return f
}

// refusingAddress returns an address at which no server listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return server.Listener.Addr().String()
}

func (f *fixture) generate(ctx context.Context, s *sink) answer.Result {
	chat, err := openai.ParseChat([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`))
	if err != nil {
		panic(err)
	}
	return f.entry.Generate(ctx, caller.ChatCall{Request: "q", Workspace: "w", Chat: chat, Arrived: time.Now()}, s)
}

func fullAnswer() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(token(i))
	}
	return b.String()
}

// TestEngineFaults checks the answer and the outcomes of its attempts for each
// fault of an engine. In most cases a faultless engine follows the faulty one.
func TestEngineFaults(t *testing.T) {
	good := fakeEngine{breakAt: answerTokens}
	for _, c := range []struct {
		name     string
		resumes  bool
		engines  []http.Handler
		outcome  string
		text     string
		outcomes []admission.Outcome
		offsets  []id.Tokens
	}{
		{"none", true, []http.Handler{good}, "completed", fullAnswer(), []admission.Outcome{admission.Completed}, []id.Tokens{0}},
		{"breaks in the middle", true, []http.Handler{fakeEngine{breakAt: 3}, good}, "completed", fullAnswer(),
			[]admission.Outcome{admission.Crashed, admission.Completed}, []id.Tokens{0, 3}},
		{"breaks in the middle and can't resume", false, []http.Handler{fakeEngine{breakAt: 3}, good}, "unknown", "t0 t1 t2 ",
			[]admission.Outcome{admission.Crashed}, []id.Tokens{0}},
		{"breaks before the first token", false, []http.Handler{fakeEngine{breakAt: 0}, good}, "completed", fullAnswer(),
			[]admission.Outcome{admission.Crashed, admission.Completed}, []id.Tokens{0, 0}},
		{"refuses connections", false, []http.Handler{nil, good}, "completed", fullAnswer(),
			[]admission.Outcome{admission.Unreachable, admission.Completed}, []id.Tokens{0, 0}},
		{"all refuse connections", false, []http.Handler{nil, nil}, "not_run", "",
			[]admission.Outcome{admission.Unreachable, admission.Unreachable}, []id.Tokens{0, 0}},
		{"all break", true, []http.Handler{fakeEngine{breakAt: 0}, fakeEngine{breakAt: 0}}, "unknown", "",
			[]admission.Outcome{admission.Crashed, admission.Crashed}, []id.Tokens{0, 0}},
		{"answers with an error", true, []http.Handler{fakeEngine{status: 503}, good}, "completed", fullAnswer(),
			[]admission.Outcome{admission.Failed, admission.Completed}, []id.Tokens{0, 0}},
		{"rejects the request", true, []http.Handler{fakeEngine{status: 400}, good}, "unknown", "",
			[]admission.Outcome{admission.Failed}, []id.Tokens{0}},
		{"sends late, repeated and foreign events", true, []http.Handler{fakeEngine{breakAt: answerTokens, noise: true}}, "completed", fullAnswer(),
			[]admission.Outcome{admission.Completed}, []id.Tokens{0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.resumes, c.engines...)
			s := &sink{}
			result := f.generate(t.Context(), s)
			if got := outcome(result); got != c.outcome {
				t.Errorf("outcome %s, want %s", got, c.outcome)
			}
			if got := s.text.String(); got != c.text {
				t.Errorf("answer %q, want %q", got, c.text)
			}
			if !slices.Equal(f.dispatcher.outcomes, c.outcomes) || !slices.Equal(f.dispatcher.offsets, c.offsets) {
				t.Errorf("outcomes %v at offsets %v, want %v at %v", f.dispatcher.outcomes, f.dispatcher.offsets, c.outcomes, c.offsets)
			}
		})
	}
}

func outcome(r answer.Result) string {
	switch r.(type) {
	case answer.Completed:
		return "completed"
	case answer.NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// TestPreemptedAnswerIsResumed checks that a preempted answer continues at the
// token where it stopped, and that preemptions do not count as attempts.
func TestPreemptedAnswerIsResumed(t *testing.T) {
	var f *fixture
	const preemptions = 6
	remaining := preemptions
	f = newFixture(t, true, fakeEngine{breakAt: answerTokens, stall: func() bool {
		if remaining == 0 {
			return false
		}
		remaining--
		f.dispatcher.preemptLast()
		return true
	}})
	s := &sink{}
	if got := outcome(f.generate(t.Context(), s)); got != "completed" {
		t.Errorf("outcome %s", got)
	}
	if s.text.String() != fullAnswer() {
		t.Errorf("answer %q, want %q", s.text.String(), fullAnswer())
	}
	want := append(slices.Repeat([]admission.Outcome{admission.Preempted}, preemptions), admission.Completed)
	if !slices.Equal(f.dispatcher.outcomes, want) {
		t.Errorf("outcomes %v, want %v", f.dispatcher.outcomes, want)
	}
}

// TestFirstTokensAreReported checks that the dispatcher receives Started once for
// each attempt whose first token arrived.
func TestFirstTokensAreReported(t *testing.T) {
	f := newFixture(t, true, fakeEngine{breakAt: 0}, fakeEngine{breakAt: 3}, fakeEngine{breakAt: answerTokens})
	f.generate(t.Context(), &sink{})
	if f.dispatcher.started != 2 {
		t.Errorf("%d first tokens reported, want those of two of three attempts", f.dispatcher.started)
	}
}

// TestOnlyABrokenConnectionIsACrash checks that a crash is reported with the
// upstream whose connection broke, and not for an upstream that refuses the
// connection or answers with an error.
func TestOnlyABrokenConnectionIsACrash(t *testing.T) {
	f := newFixture(t, true, nil, fakeEngine{status: 500}, fakeEngine{breakAt: 2}, fakeEngine{breakAt: answerTokens})
	f.generate(t.Context(), &sink{})
	if !slices.Equal(f.crashed, []id.Upstream{"u2"}) {
		t.Errorf("crashed %v, want u2", f.crashed)
	}
}

func TestDeliveryFailureIsNoEngineFailure(t *testing.T) {
	f := newFixture(t, true, fakeEngine{breakAt: answerTokens}, fakeEngine{breakAt: answerTokens})
	f.generate(t.Context(), &sink{fail: true})
	if !slices.Equal(f.dispatcher.outcomes, []admission.Outcome{admission.Cancelled}) {
		t.Errorf("outcomes %v, want one cancelled", f.dispatcher.outcomes)
	}
}

// TestMetricsCountOutcomes checks the metrics that expvar serves after one
// completed and one refused request.
func TestMetricsCountOutcomes(t *testing.T) {
	f := newFixture(t, true, fakeEngine{breakAt: answerTokens})
	f.generate(t.Context(), &sink{})
	f.dispatcher.upstreams = nil
	f.generate(t.Context(), &sink{})
	var view struct {
		Classes map[string]struct {
			Outcomes map[string]int `json:"outcomes"`
			Attained int            `json:"attained"`
			Tokens   int            `json:"tokens"`
		} `json:"classes"`
	}
	if err := json.Unmarshal([]byte(f.entry.Metrics.Var().String()), &view); err != nil {
		t.Fatal(err)
	}
	c := view.Classes["c"]
	if c.Outcomes["completed"] != 1 || c.Outcomes["not_run"] != 1 || c.Attained != 1 || c.Tokens != answerTokens {
		t.Errorf("counted %+v", c)
	}
}
