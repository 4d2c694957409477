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
	h := &fakeHandler{}
	address := serve(t, h)
	calls := []string{"POST /v1/manifest?base=0", "GET /v1/manifest", "GET /v1/manifest/history", "GET /v1/status", "POST /v1/drain", "GET /debug/vars", "GET /none"}
	headers := []string{"", secret, "Bearer", "Bearer ", "Bearer x" + secret, "Basic " + secret}
	for _, call := range calls {
		for _, header := range headers {
			if code, _ := request(t, address, call, header, `{"instance":"i1"}`); code != http.StatusUnauthorized {
				t.Errorf("%s with %q: status %d", call, header, code)
			}
		}
	}
	if len(h.drained)+len(h.revisions) > 0 {
		t.Error("a refused request took effect")
	}
}

func TestServerWithoutSecretRefusesAll(t *testing.T) {
	s := &operator.Server{RequestHandler: &fakeHandler{}}
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
		handler    fakeHandler
		call, body string
		code       int
		want       string
	}{
		"accepted":         {fakeHandler{}, "POST /v1/manifest?base=0", "a: 1", 200, `{"version":1}`},
		"conflict":         {fakeHandler{}, "POST /v1/manifest?base=5", "a: 1", 409, `{"current":0,"difference":[{"field":"f","before":"1","after":"2"}]}`},
		"invalid":          {fakeHandler{applyResult: operator.Invalid{Faults: []manifest.Fault{{Line: 2, Field: "f", Message: "m"}}}}, "POST /v1/manifest?base=0", "", 422, `{"faults":[{"line":2,"field":"f","message":"m"}]}`},
		"unknown":          {fakeHandler{applyResult: operator.Unknown{Cause: "c"}}, "POST /v1/manifest?base=0", "", 504, "may have been accepted: c"},
		"store down":       {fakeHandler{applyErr: errInjected}, "POST /v1/manifest?base=0", "", 503, "injected"},
		"no base":          {fakeHandler{}, "POST /v1/manifest", "", 400, "base"},
		"negative base":    {fakeHandler{}, "POST /v1/manifest?base=-1", "", 400, "base"},
		"large":            {fakeHandler{}, "POST /v1/manifest?base=0", strings.Repeat(" ", manifest.MaxSize+1), 413, "too large"},
		"no manifest":      {fakeHandler{}, "GET /v1/manifest", "", 404, "no manifest"},
		"history limit":    {fakeHandler{}, "GET /v1/manifest/history?limit=0", "", 400, "limit"},
		"no history":       {fakeHandler{}, "GET /v1/manifest/history", "", 200, `{"revisions":[]}`},
		"status":           {fakeHandler{}, "GET /v1/status", "", 200, `{"instances":[{"instance":"i1","failure_domain":"d","state":"live","manifest_version":3,"in_flight":4,"queued":[]}]}`},
		"drain unknown":    {fakeHandler{}, "POST /v1/drain", `{"instance":"x"}`, 404, "no such instance"},
		"drain nothing":    {fakeHandler{}, "POST /v1/drain", `{}`, 400, "instance"},
		"drain not JSON":   {fakeHandler{}, "POST /v1/drain", `instance`, 400, "instance"},
		"drain":            {fakeHandler{}, "POST /v1/drain", `{"instance":"i1"}`, 200, `{"instance":"i1"}`},
		"metrics":          {fakeHandler{}, "GET /debug/vars", "", 200, "memstats"},
		"method not known": {fakeHandler{}, "DELETE /v1/manifest", "", 405, ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			code, body := request(t, serve(t, &test.handler), test.call, "Bearer "+secret, test.body)
			if code != test.code || !strings.Contains(body, test.want) {
				t.Errorf("got %d %s, want %d %s", code, body, test.code, test.want)
			}
		})
	}
}

func TestServerRefusesInvalidOperation(t *testing.T) {
	h := &fakeHandler{}
	for _, operation := range []id.Attempt{"", "a/../b", "a b"} {
		c := operator.Client{Address: serve(t, h), Secret: secret}
		_, err := c.Apply(t.Context(), operator.Submission{Operation: operation})
		if err == nil || !strings.Contains(err.Error(), operator.HeaderOperation) {
			t.Errorf("%q: %v", operation, err)
		}
	}
	if len(h.revisions) != 0 {
		t.Error("accepted")
	}
}

func TestApplyFaults(t *testing.T) {
	tests := map[string]struct {
		faults []callFault
		// earlierRevisions are accepted before the call, laterRevisions
		// after each injected fault.
		earlierRevisions, laterRevisions int
		want                             operator.ApplyResult
		wantRevisions                    int
	}{
		"no fault":                        {want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost request":                    {faults: []callFault{lostRequest}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost response":                   {faults: []callFault{lostResponse}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost response twice":             {faults: []callFault{lostResponse, lostResponse}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"gateway timeout":                 {faults: []callFault{gatewayTimeout}, want: operator.Accepted{Version: 1}, wantRevisions: 1},
		"lost response, later superseded": {faults: []callFault{lostResponse}, laterRevisions: 1, want: operator.Accepted{Version: 1}, wantRevisions: 2},
		"lost request, base superseded":   {faults: []callFault{lostRequest}, laterRevisions: 1, want: operator.Conflict{Current: 1}, wantRevisions: 1},
		"lost request, base wrong":        {faults: []callFault{lostRequest}, earlierRevisions: 2, want: operator.Conflict{Current: 2}, wantRevisions: 2},
		"no response, accepted":           {faults: []callFault{lostResponse, lostResponse, lostResponse}, want: operator.Unknown{}, wantRevisions: 1},
		"no response, not accepted":       {faults: []callFault{lostRequest, lostRequest, lostRequest}, want: operator.Unknown{}, wantRevisions: 0},
		"lost response, then unavailable": {faults: []callFault{lostResponse, unavailable, unavailable}, want: operator.Unknown{}, wantRevisions: 1},
		"unavailable":                     {faults: []callFault{unavailable}, want: nil, wantRevisions: 0},
		"conflict at once":                {earlierRevisions: 1, want: operator.Conflict{Current: 1}, wantRevisions: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &fakeHandler{}
			for range test.earlierRevisions {
				h.accept("earlier")
			}
			transport := &faultyTransport{faults: test.faults, afterFault: func() {
				for range test.laterRevisions {
					h.accept("other")
				}
			}}
			c := operator.Client{Address: serve(t, h), Secret: secret, HTTP: &http.Client{Transport: transport}, RetryDelay: time.Nanosecond}
			result, err := c.Apply(t.Context(), operator.Submission{YAML: []byte("a"), Operation: "op-1"})
			if (err != nil) != (test.want == nil) {
				t.Fatalf("error %v", err)
			}
			if got := summarize(result); got != summarize(test.want) {
				t.Errorf("got %v, want %v", result, test.want)
			}
			if len(h.revisions) != test.wantRevisions {
				t.Errorf("%d revisions, want %d", len(h.revisions), test.wantRevisions)
			}
		})
	}
}

// result is the part of an operator.ApplyResult that the tests compare.
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
	h := &fakeHandler{}
	h.accept("op-1")
	h.accept("other")
	c := operator.Client{Address: serve(t, h), Secret: secret}
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
	h := &fakeHandler{}
	c := operator.Client{Address: serve(t, h), Secret: secret, HTTP: &http.Client{Transport: transport}, RetryDelay: time.Hour}
	got, err := c.Apply(ctx, operator.Submission{Operation: "op"})
	if err != nil || summarize(got).kind != "unknown" {
		t.Errorf("got %v, %v", got, err)
	}
}

func TestClientReads(t *testing.T) {
	h := &fakeHandler{yaml: []byte("classes: []")}
	h.accept("op-1")
	c := operator.Client{Address: serve(t, h), Secret: secret}
	version, yaml, err := c.Manifest(t.Context())
	if err != nil || version != 1 || string(yaml) != string(h.yaml) {
		t.Errorf("manifest: %d %q %v", version, yaml, err)
	}
	revisions, err := c.History(t.Context(), 7)
	if err != nil || !reflect.DeepEqual(revisions, h.revisions) || h.historyLimit != 7 {
		t.Errorf("history: %v %v", revisions, err)
	}
	instances, err := c.Status(t.Context())
	if err != nil || len(instances) != 1 || instances[0].InFlight != 4 {
		t.Errorf("status: %v %v", instances, err)
	}
	if err := c.Drain(t.Context(), "i1"); err != nil || len(h.drained) != 1 {
		t.Errorf("drain: %v", err)
	}
	if err := c.Drain(t.Context(), "x"); err == nil || !strings.Contains(err.Error(), "no such instance") {
		t.Errorf("drain of an unknown instance: %v", err)
	}
}

func TestClientErrorsCarryNoSecret(t *testing.T) {
	c := operator.Client{Address: serve(t, &fakeHandler{}), Secret: "wrong-secret"}
	_, err := c.Status(t.Context())
	if err == nil || strings.Contains(err.Error(), "wrong-secret") || !strings.Contains(err.Error(), "401") {
		t.Errorf("error %v", err)
	}
	if errors.Is(err, operator.ErrUnknownInstance) {
		t.Error("wrong cause")
	}
}
