package instance_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/standin/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/settings"
	"samphirehead/transport/operator"
)

// TestListenersRefuseWithoutTheirSecret checks that each listener accepts its own
// secret, and refuses the secrets of the others and near misses.
func TestListenersRefuseWithoutTheirSecret(t *testing.T) {
	f := newFixture(t, 8)
	peerCall := "/twirp/samphirehead.peer.Control/Status"
	for name, c := range map[string]struct {
		address, method, path, header string
		// invalid are values of the header that must be refused.
		invalid []string
		valid   string
	}{
		"peers": {f.instance.PeerAddr(), "POST", peerCall, "X-Samphirehead-Peer",
			[]string{"", testKey, "operator-secret", "peer-secret2", "peer-secre"}, "peer-secret"},
		"operators": {f.instance.OperatorAddr(), "GET", "/v1/status", "Authorization",
			[]string{"", "Bearer " + testKey, "Bearer peer-secret", "Bearer operator-secre", "Bearer", "Basic operator-secret"}, "Bearer operator-secret"},
		"metrics": {f.instance.OperatorAddr(), "GET", "/debug/vars", "Authorization",
			[]string{"", "Bearer " + testKey, "Bearer peer-secret"}, "Bearer operator-secret"},
		"callers": {f.instance.CallerAddr(), "GET", "/v1/entries", "Authorization",
			[]string{"", "Bearer peer-secret", "Bearer operator-secret", "Bearer " + keySHA256(testKey)}, "Bearer " + testKey},
	} {
		t.Run(name, func(t *testing.T) {
			statusWith := func(value string) int {
				return status(t, c.method, "http://"+c.address+c.path, c.header, value)
			}
			for _, value := range c.invalid {
				if got := statusWith(value); got != http.StatusUnauthorized {
					t.Errorf("%q: status %d", value, got)
				}
			}
			if got := statusWith(c.valid); got != http.StatusOK {
				t.Errorf("with the secret: status %d", got)
			}
		})
	}
}

// TestCallerListenerServesOnlyItsOwnPaths checks that the callers' listener does
// not serve the paths of operators and peers.
func TestCallerListenerServesOnlyItsOwnPaths(t *testing.T) {
	f := newFixture(t, 8)
	for _, path := range []string{"/v1/status", "/v1/manifest", "/debug/vars", "/debug/pprof/", "/twirp/samphirehead.peer.Control/Status"} {
		if got := status(t, "GET", "http://"+f.instance.CallerAddr()+path, "Authorization", "Bearer operator-secret"); got != http.StatusNotFound {
			t.Errorf("%s: status %d", path, got)
		}
	}
}

func TestHeadersAreBounded(t *testing.T) {
	f := newFixture(t, 8)
	got := status(t, "GET", "http://"+f.instance.CallerAddr()+"/v1/entries", "X-Large", strings.Repeat("x", 1<<20))
	if got != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", got)
	}
	f.checkServing(t)
}

// TestSlowCallersAreDisconnected checks that the timeouts of the settings apply to
// the listener: a connection is closed whichever part of a request is withheld.
func TestSlowCallersAreDisconnected(t *testing.T) {
	limits := settings.DefaultLimits()
	limits.HeaderTimeout = 50 * time.Millisecond
	limits.BodyTimeout = limits.HeaderTimeout
	limits.IdleTimeout = limits.HeaderTimeout
	f := newFixtureWithLimits(t, 8, limits)
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\nAuthorization: Bearer "
	for name, sent := range map[string]string{
		"nothing":                  "",
		"half a header":            "POST /v1/chat/comp",
		"half a body":              head + testKey + "\r\n\r\n{",
		"half a body, unknown key": head + "guess\r\n\r\n{",
		"whole request, then idle": "GET /v1/entries HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", f.instance.CallerAddr())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_ = c.SetReadDeadline(time.Now().Add(readyTimeout))
			_, _ = io.WriteString(c, sent)
			if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the connection stays open")
			}
		})
	}
	f.checkServing(t)
}

func status(t *testing.T, method, url, header, value string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(header, value)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func (f *fixture) checkServing(t *testing.T) {
	t.Helper()
	got := f.do(t, request{method: "POST", path: "/v1/chat/completions", key: testKey, body: chatBody(false, "still serving", 2)})
	if got.status != http.StatusOK {
		t.Errorf("a valid request afterwards: status %d, body %s", got.status, got.body)
	}
}

// addEngines adds engines to the manifest. Each serves a model of its own, named
// broken-0 and so on.
func (f *fixture) addEngines(t *testing.T, addresses []string) {
	t.Helper()
	m := f.manifest(8)
	for i, address := range addresses {
		name := fmt.Sprintf("broken-%d", i)
		m.Models = append(m.Models, manifest.Model{Name: id.Model(name)})
		m.Upstreams = append(m.Upstreams, manifest.Upstream{
			Name: id.Upstream(name), Address: address, FailureDomain: "east", Kind: manifest.KindEngine, Models: []id.Model{id.Model(name)}, Resumes: true,
			Capacity: manifest.Capacity{Slots: 8, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6, KVTokens: 1 << 30},
		})
	}
	yaml, err := m.Marshal()
	if err != nil {
		t.Fatal(err)
	}
	result, err := f.operator().Apply(t.Context(), operator.Submission{Base: 1, YAML: yaml, Operation: "second"})
	if _, ok := result.(operator.Accepted); !ok || err != nil {
		t.Fatal(result, err)
	}
}

// TestInvalidStreamsAreNotCompleted checks that an answer of an engine that is
// truncated or malformed ends with an unknown outcome, not as completed.
func TestInvalidStreamsAreNotCompleted(t *testing.T) {
	const done = "data: [DONE]\n\n"
	answers := []string{
		"",
		"no events at all",
		"data: {\n\n" + done,
		`data: {"id":"another request","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\n" + done,
		`data: {"id":"REQUEST","choices":[{"delta":{"content":"a"}}]}` + "\n\n" + done,
		"id: 7\n" + `data: {"id":"REQUEST","choices":[{"delta":{"content":"a"},"finish_reason":"stop"}]}` + "\n\n" + done,
		"data: " + strings.Repeat("x", 1<<20),
		"\x00\xff\n\n\n" + done,
	}
	engine := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		for i, a := range answers {
			if strings.Contains(string(body), fmt.Sprintf("case-%d ", i)) {
				_, _ = io.WriteString(w, strings.ReplaceAll(a, "REQUEST", r.Header.Get("X-Request-Id")))
			}
		}
	})
	var addresses []string
	for range 2 * len(answers) {
		server := httptest.NewServer(engine)
		defer server.Close()
		addresses = append(addresses, server.Listener.Addr().String())
	}
	f := newFixture(t, 8)
	f.addEngines(t, addresses)
	for i := range addresses {
		// A failed engine is ejected for a while, so that each request needs
		// an engine of its own.
		body := chatBody(i%2 == 0, fmt.Sprintf("case-%d ", i/2), 1)
		body = strings.Replace(body, "notes", fmt.Sprintf("broken-%d", i), 1)
		got := f.do(t, request{method: "POST", path: "/v1/chat/completions", key: testKey, body: body})
		if strings.Contains(got.body, "[DONE]") || strings.Contains(got.body, `"completed"`) {
			t.Errorf("answer %d is treated as complete: %s", i/2, got.body)
		}
		if !strings.Contains(got.body, `"outcome":"unknown"`) {
			t.Errorf("answer %d: no outcome in %d %s", i/2, got.status, got.body)
		}
	}
	f.checkServing(t)
}

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// captureLogs collects the log lines of all levels until the test ends.
func captureLogs(t *testing.T) *logBuffer {
	t.Helper()
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	if err := flags.Set("v", "9"); err != nil {
		t.Fatal(err)
	}
	logs := &logBuffer{}
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.Level(-9)})))
	t.Cleanup(func() {
		klog.ClearLogger()
		_ = flags.Set("v", "0")
	})
	return logs
}

// TestLogsNameRequestsAndNoSecret sends valid and invalid requests to all
// listeners, among them one that crashes the engine. At the highest verbosity the
// log must have a line of each request, and no secret.
func TestLogsIdentifyRequestsAndOmitSecrets(t *testing.T) {
	logs := captureLogs(t)
	f := newFixture(t, 8)
	chat := func(key, body string) response {
		return f.do(t, request{method: "POST", path: "/v1/chat/completions", key: key, body: body})
	}
	unlogged := map[string]bool{}
	for _, r := range []response{
		chat(testKey, chatBody(true, "a", 3)),
		chat(otherKey, chatBody(false, "b", 3)),
		chat("guessed-key", chatBody(false, "c", 3)),
		chat(testKey, `{"model":`),
		chat(testKey, `{"model":"none","messages":[{}]}`),
		f.do(t, booking("k1", "roof")),
		f.do(t, request{method: "GET", path: "/v1/services/desk/status/7", key: testKey}),
	} {
		unlogged[r.header.Get("X-Request-Id")] = true
	}
	f.engine.Faults.Add(fault.Fault{Kind: fault.Crash, Match: "crash-me"})
	unlogged[chat(testKey, chatBody(true, "crash-me", 3)).header.Get("X-Request-Id")] = true
	_ = status(t, "POST", "http://"+f.instance.PeerAddr()+"/twirp/samphirehead.peer.Control/Status", "X-Samphirehead-Peer", "guessed-peer")
	_ = status(t, "GET", "http://"+f.instance.OperatorAddr()+"/v1/status", "Authorization", "Bearer guessed-operator")
	m := f.manifest(8)
	m.Workspaces[0].KeySHA256 = []string{"plain-key"}
	if yaml, err := m.Marshal(); err == nil {
		_, _ = f.operator().Apply(t.Context(), operator.Submission{Base: 1, YAML: yaml, Operation: "bad"})
	}
	text := logs.String()
	for _, secret := range []string{testKey, otherKey, "peer-secret", "operator-secret", "guessed-", "plain-key", keySHA256(testKey), "Bearer"} {
		if strings.Contains(text, secret) {
			t.Errorf("%q is logged", secret)
		}
	}
	if !strings.Contains(text, "attempt failed") {
		t.Error("no failed attempt is logged")
	}
	checkLogLines(t, text, unlogged)
}

// checkLogLines checks that each line is JSON, that each request has a line, and
// that the lines of a request have its workspace and class. It removes the
// requests that it finds from unlogged.
func checkLogLines(t *testing.T, text string, unlogged map[string]bool) {
	t.Helper()
	for line := range strings.Lines(text) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Errorf("%v in %s", err, line)
			continue
		}
		request, ok := fields["request"].(string)
		if !ok {
			continue
		}
		delete(unlogged, request)
		for _, name := range []string{"workspace", "class"} {
			value, given := fields[name].(string)
			if !given || value == "" && fields["msg"] == "attempt failed" {
				t.Errorf("no %s in %s", name, line)
			}
		}
	}
	for request := range unlogged {
		t.Errorf("no log line of request %q", request)
	}
}
