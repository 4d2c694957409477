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

// fakeEngine streams an answer of answerTokens tokens, with one fault.
type fakeEngine struct {
	// until is the token before which the connection breaks; answerTokens
	// and more mean none.
	breakAt int
	// noise sends foreign, repeated and unreadable events among the tokens.
	noise bool
	// status is answered instead of a stream, unless 0.
	status int
	// held is asked after each token; true holds the next one back until the
	// entry has gone.
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

// dispatcher gives out upstreams in order.
type dispatcher struct {
	upstreams []manifest.Upstream

	mu       sync.Mutex
	grants   []*dispatch.Grant
	outcomes []admission.Outcome
	offsets  []id.Tokens
	// started counts the grants whose first token came.
	started int
}

func (d *dispatcher) Reserve(ctx context.Context, need admission.Request) (*dispatch.Grant, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, u := range d.upstreams {
		if slices.Contains(need.Excluded, u.Name) {
			continue
		}
		g := dispatch.NewGrant(need, u, 0)
		d.grants = append(d.grants, g)
		d.offsets = append(d.offsets, need.ResumeOffset)
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

// preemptLast preempts the grant in use.
func (d *dispatcher) preemptLast() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.grants[len(d.grants)-1].Preempt()
}

type sink struct {
	text strings.Builder
	// fail makes every delivery an error.
	fail bool
}

func (s *sink) Deliver(ev openai.Event) error {
	if s.fail {
		return fmt.Errorf("gone")
	}
	s.text.WriteString(ev.Content)
	return nil
}

// rig is an entry before fake engines.
type fixture struct {
	entry      *entry.Entry
	dispatcher *dispatcher
	crashed    []id.Upstream
}

// newRig puts engines that resume, or do not, behind an entry. An empty
// address of a nil engine refuses connections.
func newFixture(t *testing.T, resumes bool, engines ...http.Handler) *fixture {
	t.Helper()
	r := &fixture{dispatcher: &dispatcher{}}
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
	r.dispatcher.upstreams = m.Upstreams
	index := manifest.NewIndex(m)
	r.entry = &entry.Entry{
		Dispatcher:  r.dispatcher,
		Engines:     &engine.Client{HTTP: engine.NewHTTPClient()},
		Metrics:     &metrics.Registry{},
		Index:       func() *manifest.Index { return index },
		Admit:       func(context.Context, id.Workspace, id.Tokens) *answer.Failure { return nil },
		ReportUsage: func(id.Workspace, id.Tokens, id.Tokens) {},
		Crashed: func(u id.Upstream, _ id.Request, _ id.Fingerprint) {
			r.crashed = append(r.crashed, u)
		},
	}
	return r
}

// refusing returns an address at which nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	return server.Listener.Addr().String()
}

func (r *fixture) generate(ctx context.Context, s *sink) answer.Result {
	chat, err := openai.ParseChat([]byte(`{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`))
	if err != nil {
		panic(err)
	}
	return r.entry.Generate(ctx, caller.Generation{Request: "q", Workspace: "w", Chat: chat, Arrived: time.Now()}, s)
}

func fullAnswer() string {
	var b strings.Builder
	for i := range answerTokens {
		b.WriteString(token(i))
	}
	return b.String()
}

// TestFaultsOfEngines checks the answer and its outcome, for each fault of the
// first engine before a good second one.
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
			r := newFixture(t, c.resumes, c.engines...)
			s := &sink{}
			result := r.generate(t.Context(), s)
			if got := outcome(result); got != c.outcome {
				t.Errorf("outcome %s, want %s", got, c.outcome)
			}
			if got := s.text.String(); got != c.text {
				t.Errorf("answer %q, want %q", got, c.text)
			}
			if !slices.Equal(r.dispatcher.outcomes, c.outcomes) || !slices.Equal(r.dispatcher.offsets, c.offsets) {
				t.Errorf("endings %v at offsets %v, want %v at %v", r.dispatcher.outcomes, r.dispatcher.offsets, c.outcomes, c.offsets)
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

// TestPreemptedAnswerIsResumed checks that preempted work goes on where it
// was, and does not count as an attempt.
func TestPreemptedAnswerIsResumed(t *testing.T) {
	var r *fixture
	const preemptions = 6
	remaining := preemptions
	r = newFixture(t, true, fakeEngine{breakAt: answerTokens, stall: func() bool {
		if remaining == 0 {
			return false
		}
		remaining--
		r.dispatcher.preemptLast()
		return true
	}})
	s := &sink{}
	if got := outcome(r.generate(t.Context(), s)); got != "completed" {
		t.Errorf("outcome %s", got)
	}
	if s.text.String() != fullAnswer() {
		t.Errorf("answer %q, want %q", s.text.String(), fullAnswer())
	}
	want := append(slices.Repeat([]admission.Outcome{admission.Preempted}, preemptions), admission.Completed)
	if !slices.Equal(r.dispatcher.outcomes, want) {
		t.Errorf("endings %v, want %v", r.dispatcher.outcomes, want)
	}
}

// TestFirstTokensAreTold checks that the dispatcher hears of each attempt whose
// first token came, once.
func TestFirstTokensAreReported(t *testing.T) {
	r := newFixture(t, true, fakeEngine{breakAt: 0}, fakeEngine{breakAt: 3}, fakeEngine{breakAt: answerTokens})
	r.generate(t.Context(), &sink{})
	if r.dispatcher.started != 2 {
		t.Errorf("told of %d first tokens, want those of two of three attempts", r.dispatcher.started)
	}
}

// TestCrashNamesTheUpstream checks that only a broken connection counts as a
// crash.
func TestOnlyABrokenConnectionIsACrash(t *testing.T) {
	r := newFixture(t, true, nil, fakeEngine{status: 500}, fakeEngine{breakAt: 2}, fakeEngine{breakAt: answerTokens})
	r.generate(t.Context(), &sink{})
	if !slices.Equal(r.crashed, []id.Upstream{"u2"}) {
		t.Errorf("crashed %v, want u2", r.crashed)
	}
}

func TestDeliveryFailureIsNoEngineFailure(t *testing.T) {
	r := newFixture(t, true, fakeEngine{breakAt: answerTokens}, fakeEngine{breakAt: answerTokens})
	r.generate(t.Context(), &sink{fail: true})
	if !slices.Equal(r.dispatcher.outcomes, []admission.Outcome{admission.Cancelled}) {
		t.Errorf("endings %v, want one cancelled", r.dispatcher.outcomes)
	}
}

// TestMetricsCountOutcomes checks what expvar serves after one good and one
// refused request.
func TestMetricsCountOutcomes(t *testing.T) {
	r := newFixture(t, true, fakeEngine{breakAt: answerTokens})
	r.generate(t.Context(), &sink{})
	r.dispatcher.upstreams = nil
	r.generate(t.Context(), &sink{})
	var view struct {
		Classes map[string]struct {
			Outcomes map[string]int `json:"outcomes"`
			Attained int            `json:"attained"`
			Tokens   int            `json:"tokens"`
		} `json:"classes"`
	}
	if err := json.Unmarshal([]byte(r.entry.Metrics.Var().String()), &view); err != nil {
		t.Fatal(err)
	}
	c := view.Classes["c"]
	if c.Outcomes["completed"] != 1 || c.Outcomes["not_run"] != 1 || c.Attained != 1 || c.Tokens != answerTokens {
		t.Errorf("counted %+v", c)
	}
}
