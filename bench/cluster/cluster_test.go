package cluster_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"samphirehead/bench/cluster"
	"samphirehead/config"
	"samphirehead/state/manifest"
	"samphirehead/state/settings"
)

// fakeInstance answers the requests that Start sends. Tests send requests with
// its settings and its transport to peers.
type fakeInstance struct {
	settings   settings.Settings
	peerFaults func(http.RoundTripper) http.RoundTripper
	shared     *fakeInstances

	callers, peers, operators net.Listener
}

// fakeInstances holds what the fake instances of one cluster share.
type fakeInstances struct {
	mu        sync.Mutex
	instances []*fakeInstance
	manifest  *manifest.Manifest
}

func (f *fakeInstances) newInstance(s settings.Settings, peerFaults func(http.RoundTripper) http.RoundTripper) cluster.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := &fakeInstance{settings: s, peerFaults: peerFaults, shared: f}
	f.instances = append(f.instances, i)
	return i
}

func (i *fakeInstance) Listen() error {
	for _, l := range []*net.Listener{&i.callers, &i.peers, &i.operators} {
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*l = listener
	}
	return nil
}

func (i *fakeInstance) CallerAddr() string   { return i.callers.Addr().String() }
func (i *fakeInstance) PeerAddr() string     { return i.peers.Addr().String() }
func (i *fakeInstance) OperatorAddr() string { return i.operators.Addr().String() }

func (i *fakeInstance) Run(ctx context.Context) error {
	handlers := map[net.Listener]http.HandlerFunc{
		i.callers: func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, `{"entries":["a","b","c","d"],"lifetime_ms":1000}`)
		},
		i.peers: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "peer") },
		i.operators: func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			m, err := manifest.Parse("manifest", body)
			if err != nil {
				http.Error(w, err.Error(), http.StatusUnprocessableEntity)
				return
			}
			i.shared.mu.Lock()
			i.shared.manifest = m
			i.shared.mu.Unlock()
			_, _ = io.WriteString(w, `{"version":1}`)
		},
	}
	ended := make(chan error)
	for l, h := range handlers {
		server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		go func() { ended <- server.Serve(l) }()
	}
	var err error
	for range handlers {
		if e := <-ended; !errors.Is(e, http.ErrServerClosed) {
			err = e
		}
	}
	return err
}

func start(t *testing.T) (*cluster.Cluster, *fakeInstances) {
	t.Helper()
	fakes := &fakeInstances{}
	c := cluster.New(fakes.newInstance)
	t.Cleanup(func() {
		if err := c.Stop(); err != nil {
			t.Error(err)
		}
	})
	if err := c.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return c, fakes
}

// checkSample checks that m differs from the sample manifest only in addresses.
func checkSample(t *testing.T, m *manifest.Manifest) {
	t.Helper()
	want, err := manifest.Parse("trust.yaml", config.Trust())
	if err != nil {
		t.Fatal(err)
	}
	for _, change := range manifest.Diff(want, m) {
		if !strings.Contains(change.String(), ".address ") {
			t.Errorf("differs from the sample manifest: %s", change)
		}
	}
}

func TestStartAppliesSampleManifest(t *testing.T) {
	c, fakes := start(t)
	m := fakes.manifest
	checkSample(t, m)
	if len(c.Nodes()) != 4 || len(m.Upstreams) != 23 || len(m.Workspaces) != 10 {
		t.Errorf("%d instances, %d upstreams, %d workspaces", len(c.Nodes()), len(m.Upstreams), len(m.Workspaces))
	}
	if got := c.Capacity(); got != 8000 {
		t.Errorf("capacity %v", got)
	}
}

// get reports whether a GET succeeds.
func get(t *testing.T, transport http.RoundTripper, address string) bool {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/v1/instances", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Close = true
	response, err := transport.RoundTrip(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func TestIsolateBlocksBothDirectionsAndEnds(t *testing.T) {
	c, fakes := start(t)
	isolated, other := fakes.instances[1], fakes.instances[0]
	paths := map[string]func() bool{
		"to the platform": func() bool { return get(t, http.DefaultTransport, isolated.settings.PlatformAddress) },
		"to a peer": func() bool {
			return get(t, isolated.peerFaults(http.DefaultTransport), other.settings.AdvertisedPeerAddress)
		},
		"from a peer": func() bool {
			return get(t, other.peerFaults(http.DefaultTransport), isolated.settings.AdvertisedPeerAddress)
		},
	}
	for name, ok := range paths {
		if !ok() {
			t.Errorf("%s: GET fails before the isolation", name)
		}
	}
	c.Nodes()[1].Isolate(time.Hour, false)
	for name, ok := range paths {
		if ok() {
			t.Errorf("%s: GET succeeds during the isolation", name)
		}
	}
	c.Nodes()[1].Isolate(0, false)
	for name, ok := range paths {
		if !ok() {
			t.Errorf("%s: GET fails after the isolation", name)
		}
	}
}

func TestStallDelaysWithoutDisconnecting(t *testing.T) {
	c, fakes := start(t)
	stalled := fakes.instances[1]
	c.Nodes()[1].Stall(time.Hour)
	answered := make(chan bool, 1)
	go func() { answered <- get(t, http.DefaultTransport, stalled.settings.PlatformAddress) }()
	select {
	case <-answered:
		t.Error("request was answered during the stall")
	case <-time.After(50 * time.Millisecond):
	}
	c.Nodes()[1].Stall(0)
	if !<-answered {
		t.Error("request failed after the stall")
	}
}

func TestKilledInstanceIsReplacedUnderItsName(t *testing.T) {
	c, fakes := start(t)
	killed := c.Nodes()[2]
	killed.Kill()
	if err := c.Replace(killed); err != nil {
		t.Fatal(err)
	}
	if n := len(fakes.instances); n != 5 || fakes.instances[4].settings.Instance != "entry-3" {
		t.Errorf("%d instances, or the last one is not called entry-3", n)
	}
	if killed.Serving() || !c.Nodes()[4].Serving() {
		t.Error("the killed node still counts as serving, or its replacement does not")
	}
}
