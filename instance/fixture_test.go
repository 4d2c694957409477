package instance_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"samphirehead/instance"
	"samphirehead/standin/engine"
	"samphirehead/standin/platform"
	"samphirehead/standin/service"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/state/settings"
	"samphirehead/transport/operator"
)

const (
	testKey  = "test-key"
	otherKey = "other-key"
	// readyTimeout bounds the start of the parts in a test.
	readyTimeout = 20 * time.Second
)

// fixture is one instance before one engine and one service worker.
type fixture struct {
	platform *platform.Platform
	engine   *engine.Engine
	service  *service.Service
	instance *instance.Instance
	// ended gets the error of the instance's Run.
	done chan error
}

type runner interface {
	Listen() error
	Run(ctx context.Context) error
}

// start runs r until the test ends.
func start(t testing.TB, r runner) chan error {
	t.Helper()
	if err := r.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("run: %v", err)
		}
		close(ended)
	})
	return ended
}

func newFixture(t testing.TB, slots int) *fixture {
	t.Helper()
	return newFixtureWithLimits(t, slots, settings.DefaultLimits())
}

// newLimitedFixture gives the instance other limits on its callers.
func newFixtureWithLimits(t testing.TB, slots int, limits settings.Limits) *fixture {
	t.Helper()
	f := &fixture{
		platform: &platform.Platform{Address: "127.0.0.1:0", ListLag: -1},
		engine:   &engine.Engine{Address: "127.0.0.1:0", Models: []string{"notes"}, Slots: slots, KVTokens: 1 << 30, Fast: true},
		service:  &service.Service{Address: "127.0.0.1:0", WorkDuration: -1},
	}
	start(t, f.platform)
	start(t, f.engine)
	start(t, f.service)
	f.instance = &instance.Instance{Settings: &settings.Settings{
		Instance:        "entry-1",
		FailureDomain:   "east",
		Region:          "doto",
		CallerAddress:   "127.0.0.1:0",
		PeerAddress:     "127.0.0.1:0",
		OperatorAddress: "127.0.0.1:0",
		PlatformAddress: f.platform.Addr(),
		PeerSecret:      "peer-secret",
		OperatorSecret:  "operator-secret",
		Limits:          limits,
	}}
	f.done = start(t, f.instance)
	f.apply(t, slots)
	f.waitReady(t)
	return f
}

func (f *fixture) operator() *operator.Client {
	return &operator.Client{Address: f.instance.OperatorAddr(), Secret: "operator-secret"}
}

func (f *fixture) apply(t testing.TB, slots int) {
	t.Helper()
	yaml, err := f.manifest(slots).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	result, err := f.operator().Apply(t.Context(), operator.Submission{YAML: yaml, Operation: "first"})
	if err != nil {
		t.Fatal(err)
	}
	if _, ok := result.(operator.Accepted); !ok {
		t.Fatalf("manifest: %+v", result)
	}
}

// await waits until the instance names itself as an entry.
func (f *fixture) waitReady(t testing.TB) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	for ctx.Err() == nil {
		r := f.do(t, request{method: http.MethodGet, path: "/v1/entries", key: testKey})
		if r.status == http.StatusOK && strings.Contains(r.body, f.instance.CallerAddr()) {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("the instance does not serve")
}

func (f *fixture) manifest(slots int) *manifest.Manifest {
	return &manifest.Manifest{
		Classes: []manifest.Class{
			{Name: "question", Tier: 1, FirstToken: time.Second, BetweenTokens: time.Second, TotalDeadline: 30 * time.Second, QueueBound: 1 << 16, LargestPrompt: 1000},
			{Name: "booking", Tier: 1, FirstToken: time.Second, TotalDeadline: 20 * time.Second, QueueBound: 100, LargestPrompt: 1000},
		},
		Workspaces: []manifest.Workspace{
			{Name: "jury", KeySHA256: []string{keySHA256(testKey)}, Classes: []id.Class{"question", "booking"}},
			{Name: "other", KeySHA256: []string{keySHA256(otherKey)}, Classes: []id.Class{"question"}},
		},
		Models: []manifest.Model{{Name: "notes"}},
		Upstreams: []manifest.Upstream{
			{Name: "engine-1", Address: f.engine.Addr(), FailureDomain: "east", Kind: manifest.KindEngine, Models: []id.Model{"notes"}, Resumes: true,
				Capacity: manifest.Capacity{Slots: slots, PrefillTokensPerSecond: 1e6, DecodeTokensPerSecond: 1e6, KVTokens: 1 << 30}},
			{Name: "desk-1", Address: f.service.Addr(), FailureDomain: "east", Kind: manifest.KindService, Service: "desk", Capacity: manifest.Capacity{Slots: 16}},
		},
		Services: []manifest.Service{{Name: "desk", Routes: []manifest.Route{
			{Method: http.MethodPost, Path: "/bookings", Semantics: manifest.AtMostOnce, Class: "booking"},
			{Method: http.MethodGet, Path: "/status/*", Semantics: manifest.Idempotent, Class: "booking"},
		}}},
	}
}

func keySHA256(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// request is one call of the callers' listener.
type request struct {
	method, path, key, body string
	header                  map[string]string
}

type response struct {
	status int
	header http.Header
	body   string
}

func (f *fixture) do(t testing.TB, r request) response {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), r.method, "http://"+f.instance.CallerAddr()+r.path, strings.NewReader(r.body))
	if err != nil {
		t.Fatal(err)
	}
	if r.key != "" {
		req.Header.Set("Authorization", "Bearer "+r.key)
	}
	for name, value := range r.header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

// chatBody asks for an answer of n tokens.
func chatBody(stream bool, prompt string, n int) string {
	return fmt.Sprintf(`{"model":"notes","stream":%v,"messages":[{"role":"user","content":"%s answer_tokens=%d"}]}`, stream, prompt, n)
}

// wantAnswer is the answer of the stand-in to chatBody.
func wantAnswer(prompt string, n int) string {
	d := engine.Digest(fmt.Sprintf("%s answer_tokens=%d", prompt, n))
	var b strings.Builder
	for i := range n {
		b.WriteString(engine.Token(i, d))
	}
	return b.String()
}
