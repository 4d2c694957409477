package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"samphirehead/standin/fault"
	"samphirehead/standin/platform"
)

// call returns the status and body; status 0 stands for a dropped connection.
func call(t *testing.T, server *httptest.Server, method, path, body string, headers ...string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	// One connection a call: the transport must not repeat a call.
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	all, _ := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(all))
}

func serve(t *testing.T, p *platform.Platform) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return server
}

func TestConditionalWrites(t *testing.T) {
	const insertA = `{"writes":[{"key":"a","expected_version":0,"value":"MQ=="}]}`
	cases := map[string]struct {
		secondWrite string
		status      int
		// rows is what a scan shows afterwards.
		rows string
	}{
		"update":          {`{"writes":[{"key":"a","expected_version":1,"value":"Mg=="}]}`, 200, `{"rows":[{"key":"a","version":2,"value":"Mg=="}]}`},
		"old version":     {`{"writes":[{"key":"a","expected_version":9,"value":"Mg=="}]}`, 409, `{"rows":[{"key":"a","version":1,"value":"MQ=="}]}`},
		"second insert":   {insertA, 409, `{"rows":[{"key":"a","version":1,"value":"MQ=="}]}`},
		"delete":          {`{"writes":[{"key":"a","expected_version":1,"delete":true}]}`, 200, `{"rows":[]}`},
		"all or none":     {`{"writes":[{"key":"b","expected_version":0,"value":"Mg=="},{"key":"a","expected_version":0,"value":"Mg=="}]}`, 409, `{"rows":[{"key":"a","version":1,"value":"MQ=="}]}`},
		"two rows":        {`{"writes":[{"key":"b","expected_version":0,"value":"Mg=="},{"key":"a","expected_version":1,"value":"Mg=="}]}`, 200, `{"rows":[{"key":"a","version":3,"value":"Mg=="},{"key":"b","version":2,"value":"Mg=="}]}`},
		"not JSON at all": {`{`, 400, `{"rows":[{"key":"a","version":1,"value":"MQ=="}]}`},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := serve(t, &platform.Platform{})
			if status, body := call(t, server, http.MethodPost, "/v1/table/write", insertA); status != 200 || body != `{"versions":[1]}` {
				t.Fatal(status, body)
			}
			if status, body := call(t, server, http.MethodPost, "/v1/table/write", c.secondWrite); status != c.status {
				t.Error(status, body)
			}
			if _, body := call(t, server, http.MethodGet, "/v1/table/scan?prefix=", ""); body != c.rows {
				t.Error(body)
			}
		})
	}
}

func TestWriteFaults(t *testing.T) {
	cases := map[string]struct {
		fault   fault.Fault
		status  int
		applied bool
	}{
		"lost answer":          {fault.Fault{Kind: fault.LostAnswer, Count: 1}, 0, true},
		"late write":           {fault.Fault{Kind: fault.LateWrite, Count: 1, DelayMS: 5}, 0, true},
		"down":                 {fault.Fault{Kind: fault.Down}, 503, false},
		"slow":                 {fault.Fault{Kind: fault.Slow, DelayMS: 5}, 200, true},
		"every second":         {fault.Fault{Kind: fault.Down, Every: 2}, 200, true},
		"matches another path": {fault.Fault{Kind: fault.Down, Match: "/v1/objects"}, 200, true},
		"matches the body":     {fault.Fault{Kind: fault.Down, Match: `"key":"a"`}, 503, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &platform.Platform{}
			server := serve(t, p)
			p.Faults.Add(c.fault)
			status, _ := call(t, server, http.MethodPost, "/v1/table/write", `{"writes":[{"key":"a","expected_version":0,"value":"MQ=="}]}`)
			if status != c.status {
				t.Errorf("status %d", status)
			}
			for c.applied && len(p.Truth().Writes) == 0 {
				time.Sleep(time.Millisecond)
			}
			if applied := len(p.Truth().Writes) > 0; applied != c.applied {
				t.Errorf("applied: %v", applied)
			}
		})
	}
}

func TestRates(t *testing.T) {
	p := &platform.Platform{WritesPerSecond: 0.001, ReadsPerSecond: 0.001, WeightsPerSecond: 0.001}
	server := serve(t, p)
	calls := map[string][3]string{
		"write":   {http.MethodPost, "/v1/table/write", `{"writes":[{"key":"a","expected_version":0}]}`},
		"read":    {http.MethodPost, "/v1/table/read", `{"keys":["a"]}`},
		"weights": {http.MethodGet, "/v1/weights/m/1", ""},
	}
	for name, c := range calls {
		if status, _ := call(t, server, c[0], c[1], c[2]); status != 200 {
			t.Errorf("%s: first status %d", name, status)
		}
		if status, _ := call(t, server, c[0], c[1], c[2]); status != 429 {
			t.Errorf("%s: second status %d", name, status)
		}
	}
}

func TestObjects(t *testing.T) {
	server := serve(t, &platform.Platform{})
	steps := []struct {
		method, body, condition string
		status                  int
		answer                  string
	}{
		{http.MethodGet, "", "", 404, "no such object"},
		{http.MethodPut, "one", "*", 204, ""},
		{http.MethodPut, "two", "*", 412, "object exists"},
		{http.MethodGet, "", "", 200, "one"},
		{http.MethodPut, "three", "", 204, ""},
		{http.MethodGet, "", "", 200, "three"},
		{http.MethodDelete, "", "", 204, ""},
		{http.MethodGet, "", "", 404, "no such object"},
	}
	for i, s := range steps {
		status, answer := call(t, server, s.method, "/v1/objects/manifest/1/op", s.body, "If-None-Match", s.condition)
		if status != s.status || answer != s.answer {
			t.Errorf("step %d: %d %q", i, status, answer)
		}
	}
}

func TestInstanceListLags(t *testing.T) {
	cases := map[string]struct {
		lag  time.Duration
		want bool
	}{
		"lagging": {time.Hour, false},
		"current": {-1, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := &platform.Platform{ListLag: c.lag}
			server := serve(t, p)
			if status, _ := call(t, server, http.MethodPut, "/v1/instances/i1", `{"state":"live"}`); status != 204 {
				t.Fatal(status)
			}
			_, body := call(t, server, http.MethodGet, "/v1/instances", "")
			if listed := strings.Contains(body, `"instance":"i1"`); listed != c.want {
				t.Error(body)
			}
		})
	}
}

func TestFaultsOverHTTP(t *testing.T) {
	p := &platform.Platform{}
	server := serve(t, p)
	const read = `{"keys":["a"]}`
	if status, _ := call(t, server, http.MethodPost, "/faults", `{"kind":"down"}`); status != 204 {
		t.Fatal(status)
	}
	if status, _ := call(t, server, http.MethodPost, "/v1/table/read", read); status != 503 {
		t.Error(status)
	}
	if status, _ := call(t, server, http.MethodPost, "/faults", `{"kind":"odd"}`); status != 400 {
		t.Error(status)
	}
	if status, _ := call(t, server, http.MethodDelete, "/faults", ""); status != 204 {
		t.Error(status)
	}
	if status, _ := call(t, server, http.MethodPost, "/v1/table/read", read); status != 200 {
		t.Error(status)
	}
}
