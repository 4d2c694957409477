package operator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/operator"
)

func TestServerRefusesWithoutSecret(t *testing.T) {
	b := &backend{}
	address := serve(t, b)
	calls := []string{"POST /v1/manifest?base=0", "GET /v1/manifest", "GET /v1/manifest/history", "GET /v1/status", "POST /v1/drain", "GET /debug/vars", "GET /none"}
	headers := []string{"", secret, "Bearer", "Bearer ", "Bearer x" + secret, "Basic " + secret}
	for _, call := range calls {
		for _, header := range headers {
			if code, _ := request(t, address, call, header, `{"instance":"i1"}`); code != http.StatusUnauthorized {
				t.Errorf("%s with %q: status %d", call, header, code)
			}
		}
	}
	if len(b.drained)+len(b.revisions) > 0 {
		t.Error("a refused request took effect")
	}
}

func TestServerWithoutSecretRefusesAll(t *testing.T) {
	s := &operator.Server{Backend: &backend{}}
	r, _ := http.NewRequestWithContext(t.Context(), http.MethodGet, "/v1/status", nil)
	r.Header.Set("Authorization", "Bearer ")
	w := &recorder{header: http.Header{}}
	s.Handler().ServeHTTP(w, r)
	if w.code != http.StatusUnauthorized {
		t.Errorf("status %d", w.code)
	}
}

type recorder struct {
	header http.Header
	code   int
}

func (r *recorder) Header() http.Header         { return r.header }
func (r *recorder) WriteHeader(code int)        { r.code = code }
func (r *recorder) Write(p []byte) (int, error) { return len(p), nil }

func request(t *testing.T, address, call, authorization, body string) (int, string) {
	t.Helper()
	method, path, _ := strings.Cut(call, " ")
	r, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", authorization)
	r.Header.Set(operator.HeaderOperation, "op-1")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(text)
}

func TestServerAnswers(t *testing.T) {
	tests := map[string]struct {
		backend    backend
		call, body string
		code       int
		want       string
	}{
		"accepted":         {backend{}, "POST /v1/manifest?base=0", "a: 1", 200, `{"version":1}`},
		"conflict":         {backend{}, "POST /v1/manifest?base=5", "a: 1", 409, `{"current":0,"difference":[{"field":"f","before":"1","after":"2"}]}`},
		"invalid":          {backend{applyResult: operator.Invalid{Faults: []manifest.Fault{{Line: 2, Field: "f", Message: "m"}}}}, "POST /v1/manifest?base=0", "", 422, `{"faults":[{"line":2,"field":"f","message":"m"}]}`},
		"unknown":          {backend{applyResult: operator.Unknown{Cause: "c"}}, "POST /v1/manifest?base=0", "", 504, "may have been accepted: c"},
		"store down":       {backend{applyErr: errInjected}, "POST /v1/manifest?base=0", "", 503, "injected"},
		"no base":          {backend{}, "POST /v1/manifest", "", 400, "base"},
		"negative base":    {backend{}, "POST /v1/manifest?base=-1", "", 400, "base"},
		"large":            {backend{}, "POST /v1/manifest?base=0", strings.Repeat(" ", manifest.MaxSize+1), 413, "too large"},
		"no manifest":      {backend{}, "GET /v1/manifest", "", 404, "no manifest"},
		"history limit":    {backend{}, "GET /v1/manifest/history?limit=0", "", 400, "limit"},
		"no history":       {backend{}, "GET /v1/manifest/history", "", 200, `{"revisions":[]}`},
		"status":           {backend{}, "GET /v1/status", "", 200, `{"instances":[{"instance":"i1","failure_domain":"d","state":"live","manifest_version":3,"in_flight":4,"queued":[]}]}`},
		"drain unknown":    {backend{}, "POST /v1/drain", `{"instance":"x"}`, 404, "no such instance"},
		"drain nothing":    {backend{}, "POST /v1/drain", `{}`, 400, "instance"},
		"drain not JSON":   {backend{}, "POST /v1/drain", `instance`, 400, "instance"},
		"drain":            {backend{}, "POST /v1/drain", `{"instance":"i1"}`, 200, `{"instance":"i1"}`},
		"metrics":          {backend{}, "GET /debug/vars", "", 200, "memstats"},
		"method not known": {backend{}, "DELETE /v1/manifest", "", 405, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, body := request(t, serve(t, &test.backend), test.call, "Bearer "+secret, test.body)
			if code != test.code || !strings.Contains(body, test.want) {
				t.Errorf("got %d %s, want %d %s", code, body, test.code, test.want)
			}
		})
	}
}

func TestServerRefusesInvalidOperation(t *testing.T) {
	b := &backend{}
	for _, operation := range []id.Attempt{"", "a/../b", "a b"} {
		c := operator.Client{Address: serve(t, b), Secret: secret}
		_, err := c.Apply(t.Context(), operator.Submission{Operation: operation})
		if err == nil || !strings.Contains(err.Error(), operator.HeaderOperation) {
			t.Errorf("%q: %v", operation, err)
		}
	}
	if len(b.revisions) != 0 {
		t.Error("accepted")
	}
}

func TestApplyFaults(t *testing.T) {
	tests := map[string]struct {
		faults []callFault
		// existing revisions come before the call, others after each
		// faulty call.
		earlierRevisions, laterRevisions int
		want                             operator.ApplyResult
		wantRevisions                    int
	}{
		"sound":                         {want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost request":                  {faults: []callFault{lostRequest}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost answer":                   {faults: []callFault{lostResponse}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost answer twice":             {faults: []callFault{lostResponse, lostResponse}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"gateway timeout":               {faults: []callFault{gatewayTimeout}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost answer, succeeded":        {faults: []callFault{lostResponse}, laterRevisions: 1, want: operator.Accepted{Version: 1}, wantRevisions: 2},
		"lost request, overtaken":       {faults: []callFault{lostRequest}, laterRevisions: 1, want: operator.Conflict{Current: 1}, wantRevisions: 1},
		"lost request, base wrong":      {faults: []callFault{lostRequest}, earlierRevisions: 2, want: operator.Conflict{Current: 2}, wantRevisions: 2},
		"never answered, accepted":      {faults: []callFault{lostResponse, lostResponse, lostResponse}, want: operator.Unknown{}, wantRevisions: 1},
		"never answered, not accepted":  {faults: []callFault{lostRequest, lostRequest, lostRequest}, want: operator.Unknown{}, wantRevisions: 0},
		"lost answer, then unavailable": {faults: []callFault{lostResponse, unavailable, unavailable}, want: operator.Unknown{}, wantRevisions: 1},
		"unavailable":                   {faults: []callFault{unavailable}, want: nil, wantRevisions: 0},
		"conflict at once":              {earlierRevisions: 1, want: operator.Conflict{Current: 1}, wantRevisions: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			b := &backend{}
			for range test.earlierRevisions {
				b.accept("earlier")
			}
			transport := &faultyTransport{faults: test.faults, afterFault: func() {
				for range test.laterRevisions {
					b.accept("other")
				}
			}}
			c := operator.Client{Address: serve(t, b), Secret: secret, HTTP: &http.Client{Transport: transport}, RetryDelay: time.Nanosecond}
			result, err := c.Apply(t.Context(), operator.Submission{YAML: []byte("a"), Operation: "op-1"})
			if (err != nil) != (test.want == nil) {
				t.Fatalf("error %v", err)
			}
			if got := summarize(result); got != summarize(test.want) {
				t.Errorf("got %v, want %v", result, test.want)
			}
			if len(b.revisions) != test.wantRevisions {
				t.Errorf("%d revisions, want %d", len(b.revisions), test.wantRevisions)
			}
		})
	}
}

// result is what the tests compare of an operator.ApplyResult.
type result struct {
	kind    string
	version id.ManifestVersion
}

func summarize(r operator.ApplyResult) result {
	switch r := r.(type) {
	case operator.Accepted:
		return result{"accepted", r.Version}
	case operator.Conflict:
		return result{"conflict", r.Current}
	case operator.Unknown:
		return result{kind: "unknown"}
	default:
		return result{}
	}
}

func TestRepeatedSubmissionFindsItsRevision(t *testing.T) {
	b := &backend{}
	b.accept("op-1")
	b.accept("other")
	c := operator.Client{Address: serve(t, b), Secret: secret}
	got, err := c.Apply(t.Context(), operator.Submission{Operation: "op-1", Repeated: true})
	if err != nil || summarize(got) != (result{"accepted", 1}) {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestApplyWithoutServerIsNotAccepted(t *testing.T) {
	c := operator.Client{Address: "127.0.0.1:1", Secret: secret, RetryDelay: time.Nanosecond}
	if result, err := c.Apply(t.Context(), operator.Submission{Operation: "op"}); err == nil {
		t.Errorf("got %v", result)
	}
}

func TestApplyStopsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	transport := &faultyTransport{faults: []callFault{lostResponse, lostResponse}, afterFault: cancel}
	b := &backend{}
	c := operator.Client{Address: serve(t, b), Secret: secret, HTTP: &http.Client{Transport: transport}, RetryDelay: time.Hour}
	got, err := c.Apply(ctx, operator.Submission{Operation: "op"})
	if err != nil || summarize(got).kind != "unknown" {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestClientReads(t *testing.T) {
	b := &backend{yaml: []byte("classes: []")}
	b.accept("op-1")
	c := operator.Client{Address: serve(t, b), Secret: secret}
	version, yaml, err := c.Manifest(t.Context())
	if err != nil || version != 1 || string(yaml) != string(b.yaml) {
		t.Errorf("manifest: %d %q %v", version, yaml, err)
	}
	revisions, err := c.History(t.Context(), 7)
	if err != nil || !reflect.DeepEqual(revisions, b.revisions) || b.historyLimit != 7 {
		t.Errorf("history: %v %v", revisions, err)
	}
	instances, err := c.Status(t.Context())
	if err != nil || len(instances) != 1 || instances[0].InFlight != 4 {
		t.Errorf("status: %v %v", instances, err)
	}
	if err := c.Drain(t.Context(), "i1"); err != nil || len(b.drained) != 1 {
		t.Errorf("drain: %v", err)
	}
	if err := c.Drain(t.Context(), "x"); err == nil || !strings.Contains(err.Error(), "no such instance") {
		t.Errorf("drain of an unknown instance: %v", err)
	}
}

func TestClientErrorsCarryNoSecret(t *testing.T) {
	c := operator.Client{Address: serve(t, &backend{}), Secret: "wrong-secret"}
	_, err := c.Status(t.Context())
	if err == nil || strings.Contains(err.Error(), "wrong-secret") || !strings.Contains(err.Error(), "401") {
		t.Errorf("error %v", err)
	}
	if errors.Is(err, operator.ErrUnknownInstance) {
		t.Error("wrong cause")
	}
}
