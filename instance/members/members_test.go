package members_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/quarantine"
	"samphirehead/instance/members"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/id"
	"samphirehead/transport/peer"
)

// testInstance is one instance that serves peers on a loopback address.
type testInstance struct {
	members *members.Members
	faults  *peer.Faults
	server  *http.Server
	cancel  context.CancelFunc
	done    chan error

	mu       sync.Mutex
	crashes  []quarantine.Record
	versions map[string]uint64
}

// startCluster starts n instances that find each other through the platform's
// list.
func startCluster(t *testing.T, n int) []*testInstance {
	t.Helper()
	listeners := make([]net.Listener, n)
	list := make([]membership.Record, n)
	for i := range n {
		l, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners[i] = l
		list[i] = membership.Record{Instance: id.Instance(fmt.Sprint("i", i)), PeerAddress: l.Addr().String()}
	}
	instances := make([]*testInstance, n)
	for i := range n {
		instances[i] = startInstance(t, list, i, listeners[i])
	}
	return instances
}

func startInstance(t *testing.T, list []membership.Record, i int, l net.Listener) *testInstance {
	t.Helper()
	inst := &testInstance{
		faults: &peer.Faults{}, done: make(chan error, 2),
		versions: map[string]uint64{},
	}
	self := list[i]
	self.Incarnation, self.State, self.Manifest = 1, membership.Alive, 1
	name := string(self.Instance)
	clients := &peer.Clients{Secret: "s", Wrap: inst.faults.Wrap}
	inst.members = &members.Members{
		Machine:       &membership.Machine{Self: self, Random: rand.New(rand.NewPCG(1, uint64(i)))},
		Client:        clients.Member,
		ClassifyError: peer.ClassifyError,
		List:          func(context.Context) ([]membership.Record, error) { return list, nil },
		Stamp:         func() *wire.Stamp { return &wire.Stamp{Instance: name, ManifestVersion: uint64(10 + i)} },
		StampReceived: func(s *wire.Stamp) {
			inst.mu.Lock()
			defer inst.mu.Unlock()
			inst.versions[s.Instance] = s.ManifestVersion
		},
		CrashReceived: func(c quarantine.Record) {
			inst.mu.Lock()
			defer inst.mu.Unlock()
			inst.crashes = append(inst.crashes, c)
		},
		Manifest: func() *wire.FetchManifestResponse {
			return &wire.FetchManifestResponse{Version: 1, Yaml: []byte(name)}
		},
	}
	inst.server = peer.NewServer(peer.Handler("s", peer.Services{Member: inst.members}))
	ctx, cancel := context.WithCancel(context.Background())
	inst.cancel = cancel
	go func() { inst.done <- inst.server.Serve(l) }()
	go func() { inst.done <- inst.members.Run(ctx) }()
	t.Cleanup(func() { inst.stop(t) })
	return inst
}

func (inst *testInstance) stop(t *testing.T) {
	t.Helper()
	if inst.cancel == nil {
		return
	}
	inst.cancel()
	inst.cancel = nil
	_ = inst.server.Close()
	for range 2 {
		if err := <-inst.done; err != nil && !errors.Is(err, http.ErrServerClosed) {
			t.Error(err)
		}
	}
}

// eventually waits until a condition holds. The limit of 30 seconds is far longer
// than a passing test needs.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 1500 {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out waiting: %s", what)
}

func (inst *testInstance) stateOf(instance id.Instance) membership.State {
	for _, r := range inst.members.Records() {
		if r.Instance == instance {
			return r.State
		}
	}
	return ""
}

func TestJoinGossipAndLeave(t *testing.T) {
	instances := startCluster(t, 4)
	eventually(t, "all instances see each other alive", func() bool {
		for _, inst := range instances {
			for i := range instances {
				if inst.stateOf(id.Instance(fmt.Sprint("i", i))) != membership.Alive {
					return false
				}
			}
		}
		return true
	})
	eventually(t, "i0 receives the stamps of all others", func() bool {
		inst := instances[0]
		inst.mu.Lock()
		defer inst.mu.Unlock()
		return len(inst.versions) == 3 && inst.versions["i2"] == 12
	})

	crash := quarantine.Record{Fingerprint: 7, Upstream: "u", Request: "r", At: time.Now()}
	instances[1].members.ReportCrash(crash)
	eventually(t, "all others receive the crash report", func() bool { return countReceived(instances, 7) == 3 })

	manifest, err := instances[0].members.FetchManifestFrom(t.Context(), "i3")
	if err != nil || string(manifest.Yaml) != "i3" {
		t.Errorf("manifest %v, %v", manifest, err)
	}

	instances[2].members.Leave()
	eventually(t, "all others see i2 leaving", func() bool { return othersSee(instances, 2, membership.Leaving) })
	instances[2].stop(t)
	eventually(t, "all others see i2 dead", func() bool { return othersSee(instances, 2, membership.Dead) })
	if got := countReceived(instances, 7); got != 3 {
		t.Errorf("the 3 others received the crash report %d times, want 3", got)
	}
}

func countReceived(instances []*testInstance, fingerprint id.Fingerprint) int {
	received := 0
	for _, inst := range instances {
		inst.mu.Lock()
		for _, c := range inst.crashes {
			if c.Fingerprint == fingerprint {
				received++
			}
		}
		inst.mu.Unlock()
	}
	return received
}

func othersSee(instances []*testInstance, target int, state membership.State) bool {
	for i, inst := range instances {
		if i != target && inst.stateOf(id.Instance(fmt.Sprint("i", target))) != state {
			return false
		}
	}
	return true
}

// TestOneWayLoss checks over real connections that an instance is seen as alive
// but unreachable while only the requests from one peer to it are lost.
func TestOneWayLoss(t *testing.T) {
	instances := startCluster(t, 3)
	address := instances[1].members.Self().PeerAddress
	eventually(t, "i0 sees i1 alive", func() bool { return instances[0].stateOf("i1") == membership.Alive })
	instances[0].faults.Lose(address, peer.LoseRequests)
	unreachable := func() bool {
		for _, r := range instances[0].members.Records() {
			if r.Instance == "i1" {
				return r.Unreachable
			}
		}
		return false
	}
	eventually(t, "i0 sees i1 unreachable", unreachable)
	if got := instances[0].stateOf("i1"); got != membership.Alive {
		t.Errorf("i0 sees i1 %s, want alive", got)
	}
	instances[0].faults.Restore(address)
	eventually(t, "i0 reaches i1 again", func() bool { return !unreachable() })
}
