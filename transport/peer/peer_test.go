package peer_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/twitchtv/twirp"

	"samphirehead/coordination/membership"
	wire "samphirehead/protocol/peer"
	"samphirehead/transport/peer"
)

// testInstance counts calls. It answers Drain calls only once as many are waiting
// as the test expects.
type testInstance struct {
	drainCalls    atomic.Int32
	tellCalls     atomic.Int32
	pendingDrains sync.WaitGroup
}

func (i *testInstance) Tell(context.Context, *wire.LoadState) (*wire.LoadState, error) {
	i.tellCalls.Add(1)
	return &wire.LoadState{}, nil
}

func (*testInstance) Probe(context.Context, *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	return &wire.ProbeResponse{Reached: true}, nil
}

func (*testInstance) FetchManifest(context.Context, *wire.FetchManifestRequest) (*wire.FetchManifestResponse, error) {
	return &wire.FetchManifestResponse{}, nil
}

func (i *testInstance) Drain(_ context.Context, r *wire.DrainRequest) (*wire.DrainResponse, error) {
	i.drainCalls.Add(1)
	i.pendingDrains.Done()
	i.pendingDrains.Wait()
	return &wire.DrainResponse{Stamp: r.Stamp}, nil
}

func (*testInstance) Crashes(context.Context, *wire.CrashesRequest) (*wire.CrashesResponse, error) {
	return &wire.CrashesResponse{}, nil
}

func (*testInstance) Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error) {
	return &wire.StatusResponse{}, nil
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// serve starts a server for i and returns its address and the number of
// connections that it accepted.
func serve(t *testing.T, secret string, i *testInstance) (string, *atomic.Int32) {
	t.Helper()
	listener := listen(t)
	server := peer.NewServer(peer.Handler(secret, peer.Services{Load: i, Member: i, Control: i}))
	var connections atomic.Int32
	server.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			connections.Add(1)
		}
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-done; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve: %v", err)
		}
	})
	return listener.Addr().String(), &connections
}

func TestManyWaitingCallsShareFewConnections(t *testing.T) {
	const calls = 1000
	i := &testInstance{}
	i.pendingDrains.Add(calls)
	address, connections := serve(t, "s", i)
	clients := &peer.Clients{Secret: "s"}
	errs := make(chan error, calls)
	for n := range calls {
		go func() {
			want := fmt.Sprint(n)
			got, err := clients.Control(address).Drain(t.Context(), &wire.DrainRequest{Stamp: &wire.Stamp{Instance: want}})
			if err == nil && got.Stamp.Instance != want {
				err = fmt.Errorf("response for %q, want %q", got.Stamp.Instance, want)
			}
			errs <- err
		}()
	}
	for range calls {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	if got := connections.Load(); got > 4 {
		t.Errorf("%d connections for %d waiting calls", got, calls)
	}
}

func TestSecret(t *testing.T) {
	for _, c := range []struct {
		name, server, client string
		authenticated        bool
	}{
		{"same", "s", "s", true},
		{"wrong", "s", "t", false},
		{"longer", "s", "ss", false},
		{"no client secret", "s", "", false},
		{"no server secret", "", "", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			i := &testInstance{}
			address, _ := serve(t, c.server, i)
			clients := &peer.Clients{Secret: c.client}
			_, err := clients.Load(address).Tell(t.Context(), &wire.LoadState{})
			if authenticated := err == nil; authenticated != c.authenticated {
				t.Fatalf("admitted = %v: %v", authenticated, err)
			}
			var refusal twirp.Error
			if !c.authenticated && (!asTwirp(err, &refusal) || refusal.Code() != twirp.Unauthenticated) {
				t.Errorf("error = %v, want unauthenticated", err)
			}
			if !c.authenticated && i.tellCalls.Load() != 0 {
				t.Error("the service was called without admission")
			}
		})
	}
}

func asTwirp(err error, target *twirp.Error) bool {
	var ok bool
	*target, ok = err.(twirp.Error) //nolint:errorlint // Twirp clients return the interface itself.
	return ok
}

func TestRefusedConnection(t *testing.T) {
	closed := listen(t)
	address := closed.Addr().String()
	_ = closed.Close()
	clients := &peer.Clients{Secret: "s"}
	_, err := clients.Member(address).Probe(t.Context(), &wire.ProbeRequest{})
	if got := peer.ClassifyError(err); got != membership.Refused {
		t.Errorf("closed port: %s (%v)", got, err)
	}
	if !strings.Contains(fmt.Sprint(err), "refused") {
		t.Errorf("error does not contain its cause: %v", err)
	}
}

func TestFaults(t *testing.T) {
	for _, c := range []struct {
		loss      peer.Loss
		wantCalls int32
	}{{peer.LoseRequests, 0}, {peer.LoseResponses, 1}} {
		t.Run(string(c.loss), func(t *testing.T) {
			i := &testInstance{}
			address, _ := serve(t, "s", i)
			faults := &peer.Faults{}
			clients := &peer.Clients{Secret: "s", Wrap: faults.Wrap}
			faults.Lose(address, c.loss)
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, err := clients.Load(address).Tell(ctx, &wire.LoadState{})
			if err == nil || peer.ClassifyError(err) != membership.TimedOut {
				t.Fatalf("evidence of %v is not a timeout", err)
			}
			if got := i.tellCalls.Load(); got != c.wantCalls {
				t.Errorf("calls served = %d, want %d", got, c.wantCalls)
			}
			faults.Restore(address)
			if _, err := clients.Load(address).Tell(t.Context(), &wire.LoadState{}); err != nil {
				t.Errorf("after Restore: %v", err)
			}
		})
	}
}
