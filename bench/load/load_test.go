package load_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"samphirehead/bench/load"
	"samphirehead/protocol/answer"
	"samphirehead/standin/engine"
	"samphirehead/state/id"
)

const workspace = id.Workspace("w")

func profile(perSecond float64, model id.Model) *load.Profile {
	return &load.Profile{
		Seed: 7, Duration: time.Second, Keys: map[id.Workspace]string{workspace: "secret"},
		Streams: []load.Stream{{
			Class: "c", Tier: 1, PerSecond: perSecond, Model: model, Timeout: 10 * time.Second, FirstToken: time.Minute,
			Workspaces:   []load.Weight{{Workspace: workspace, Weight: 1}},
			AnswerTokens: load.Lengths{Median: 4}, PromptTokens: load.Lengths{Median: 50, Sigma: 0.5, Max: 100},
			SharedPrefix: 0.3, Service: "desk", Method: http.MethodPost, Path: "/registrations", AtMostOnce: true,
		}},
	}
}

func TestJobsAreTheSameForTheSameSeed(t *testing.T) {
	a, b := profile(200, "m").Jobs(), profile(200, "m").Jobs()
	if len(a) < 100 || len(a) != len(b) {
		t.Fatalf("%d and %d jobs", len(a), len(b))
	}
	for i := range a {
		a[i].Stream, b[i].Stream = nil, nil
		if !reflect.DeepEqual(a[i], b[i]) {
			t.Fatalf("job %d differs", i)
		}
	}
}

func TestPhasesChangeTheRate(t *testing.T) {
	p := profile(100, "m")
	p.Streams[0].Phases = []load.Phase{{From: 500 * time.Millisecond, To: time.Second, Factor: 5}}
	before, inPhase := 0, 0
	for _, j := range p.Jobs() {
		if j.Arrival < 500*time.Millisecond {
			before++
		} else {
			inPhase++
		}
	}
	if inPhase < 3*before {
		t.Errorf("%d jobs before and %d in the phase", before, inPhase)
	}
}

// entryServer starts a server that lists itself as the only entry and passes
// all other requests to handler.
func entryServer(t *testing.T, handler http.HandlerFunc) *httptest.Server {
	t.Helper()
	mux := http.NewServeMux()
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	mux.HandleFunc("GET /v1/entries", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"entries":[%q],"lifetime_ms":1000}`, server.URL)
	})
	mux.Handle("/", handler)
	return server
}

// runFirst runs a profile and returns the first record.
func runFirst(t *testing.T, p *load.Profile, urls ...string) *load.Record {
	t.Helper()
	records := (&load.Runner{Caller: &load.Caller{Instances: urls, Keys: p.Keys}, Profile: p}).Run(context.Background())
	if len(records) == 0 {
		t.Fatal("no records")
	}
	return records[0]
}

// singleJobProfile returns a profile with exactly one job.
func singleJobProfile(model id.Model) *load.Profile {
	p := profile(50, model)
	p.Duration = p.Jobs()[0].Arrival + 1
	return p
}

func tokenEvent(i int, digest string) string {
	return fmt.Sprintf("id: %d\ndata: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":%q}}]}\n\n", i, engine.Token(i, digest))
}

func TestStreamedAnswersAreChecked(t *testing.T) {
	doneEvent := "data: [DONE]\n\n"
	prompt := singleJobProfile("m").Jobs()[0].Prompt
	digest := engine.Digest(prompt)
	tokens := func(indices ...int) string {
		var b strings.Builder
		for _, i := range indices {
			b.WriteString(tokenEvent(i, digest))
		}
		return b.String()
	}
	cases := map[string]struct {
		body               string
		abort              bool
		outcome            answer.Outcome
		truncated, crossed bool
	}{
		"complete":          {tokens(0, 1, 2, 3) + doneEvent, false, answer.OutcomeCompleted, false, false},
		"missing token":     {tokens(0, 1, 2) + doneEvent, false, answer.OutcomeCompleted, true, false},
		"no end marker":     {tokens(0, 1, 2, 3), false, load.OutcomeFailed, true, false},
		"broken connection": {tokens(0, 1), true, load.OutcomeFailed, false, false},
		"skipped token":     {tokens(0, 2, 3) + doneEvent, false, answer.OutcomeCompleted, true, true},
		"other answer":      {tokenEvent(0, "beef") + doneEvent, false, answer.OutcomeCompleted, true, true},
		"other request":     {strings.ReplaceAll(tokens(0, 1, 2, 3), "r1", "r2") + doneEvent, false, answer.OutcomeCompleted, true, true},
		"error event":       {tokens(0) + "event: error\ndata: {\"error\":{\"code\":\"upstream_failed\"},\"outcome\":\"unknown\"}\n\n", false, answer.OutcomeUnknown, false, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := entryServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("X-Request-Id", "r1")
				_, _ = w.Write([]byte(c.body))
				if c.abort {
					_ = http.NewResponseController(w).Flush()
					panic(http.ErrAbortHandler)
				}
			})
			r := runFirst(t, singleJobProfile("m"), server.URL)
			if r.Outcome != c.outcome || r.Truncated != c.truncated || r.Crossed != c.crossed {
				t.Errorf("outcome %s, truncated %v, crossed %v", r.Outcome, r.Truncated, r.Crossed)
			}
		})
	}
}

func TestRetriesAreBounded(t *testing.T) {
	refuse := func(w http.ResponseWriter, status int) {
		w.Header().Set("X-Samphirehead-Outcome", "not_run")
		w.WriteHeader(status)
		_, _ = w.Write([]byte(`{"error":{"code":"overloaded"},"outcome":"not_run","retry_after_ms":1}`))
	}
	cases := map[string]struct {
		handler  func(n int64, w http.ResponseWriter)
		attempts int
		outcome  answer.Outcome
	}{
		"answered":       {func(_ int64, w http.ResponseWriter) { answerCall(w) }, 1, answer.OutcomeCompleted},
		"refused once":   {func(n int64, w http.ResponseWriter) { refuseUntil(n, 2, w, refuse) }, 2, answer.OutcomeCompleted},
		"always refused": {func(_ int64, w http.ResponseWriter) { refuse(w, 429) }, 4, answer.OutcomeNotRun},
		"broken once": {func(n int64, w http.ResponseWriter) {
			if n < 2 {
				panic(http.ErrAbortHandler)
			}
			answerCall(w)
		}, 2, answer.OutcomeCompleted},
		"broken, then refused": {func(n int64, w http.ResponseWriter) {
			if n < 2 {
				panic(http.ErrAbortHandler)
			}
			refuse(w, 429)
		}, 4, answer.OutcomeUnknown},
		"forbidden": {func(_ int64, w http.ResponseWriter) {
			w.Header().Set("X-Samphirehead-Outcome", "not_run")
			w.WriteHeader(http.StatusForbidden)
		}, 1, answer.OutcomeNotRun},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var n atomic.Int64
			server := entryServer(t, func(w http.ResponseWriter, _ *http.Request) { c.handler(n.Add(1), w) })
			r := runFirst(t, singleJobProfile(""), server.URL)
			if len(r.Attempts) != c.attempts || r.Outcome != c.outcome {
				t.Errorf("%d attempts, outcome %s", len(r.Attempts), r.Outcome)
			}
		})
	}
}

func refuseUntil(n, firstAnswered int64, w http.ResponseWriter, refuse func(http.ResponseWriter, int)) {
	if n < firstAnswered {
		refuse(w, 429)
		return
	}
	answerCall(w)
}

func answerCall(w http.ResponseWriter) {
	w.Header().Set("X-Samphirehead-Outcome", "completed")
	_, _ = w.Write([]byte(`{"digest":"` + engine.Digest(singleJobProfile("").Jobs()[0].Body) + `"}`))
}

func TestFetchesEntriesFromAnotherInstance(t *testing.T) {
	server := entryServer(t, func(w http.ResponseWriter, _ *http.Request) { answerCall(w) })
	dead := httptest.NewServer(http.NotFoundHandler())
	dead.Close()
	if r := runFirst(t, singleJobProfile(""), dead.URL, server.URL); !r.Completed() {
		t.Errorf("outcome %s", r.Outcome)
	}
}
