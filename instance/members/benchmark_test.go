package members_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/quarantine"
	"samphirehead/instance/members"
	wire "samphirehead/protocol/peer"
	"samphirehead/state/id"
	"samphirehead/transport/peer"
)

const (
	measureTime = 10 * time.Second
	// settleTime is the time for the gossip about the start to reach all
	// instances; fewSettleTime is that for fewMembers instances.
	settleTime    = 60 * time.Second
	fewSettleTime = 5 * time.Second
	fewMembers    = 4
)

// testNetwork connects instances and counts their messages.
type testNetwork struct {
	bytes       atomic.Int64
	messages    atomic.Int64
	connections atomic.Int64
	members     map[string]*members.Members
}

// BenchmarkMembership measures the cost of membership for one instance.
// "loopback" uses the real transport. "codec" only encodes and decodes the
// messages, so that one process can run more instances.
func BenchmarkMembership(b *testing.B) {
	for _, c := range []struct {
		transport string
		n         int
	}{{"loopback", 4}, {"loopback", 64}, {"codec", 4}, {"codec", 64}, {"codec", 256}} {
		b.Run(fmt.Sprintf("%s/members=%d", c.transport, c.n), func(b *testing.B) {
			for b.Loop() {
				measure(b, c.n, c.transport == "loopback")
			}
		})
	}
}

func measure(b *testing.B, n int, loopback bool) {
	b.Helper()
	network := &testNetwork{members: map[string]*members.Members{}}
	stop := network.start(b, n, loopback)
	if n == fewMembers {
		time.Sleep(fewSettleTime)
	} else {
		time.Sleep(settleTime)
	}
	bytes, messages, cpu := network.bytes.Load(), network.messages.Load(), cpuTime(b)
	time.Sleep(measureTime)
	perNode := float64(n) * measureTime.Seconds()
	b.ReportMetric(float64(network.bytes.Load()-bytes)/perNode, "bytes/s/node")
	b.ReportMetric(float64(network.messages.Load()-messages)/perNode, "messages/s/node")
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/perNode, "cpu-us/s/node")
	b.ReportMetric(heapKB()/float64(n), "heap-KB/node")
	b.ReportMetric(float64(network.connections.Load())/float64(n), "connections/node")
	b.ReportMetric(0, "ns/op")
	stop()
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heapKB() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapInuse+stats.StackInuse) / 1024
}

// start runs n instances and returns a function that stops them.
func (network *testNetwork) start(b *testing.B, n int, loopback bool) (stop func()) {
	b.Helper()
	listeners := make([]net.Listener, n)
	list := make([]membership.Record, n)
	for i := range n {
		address := fmt.Sprint("10.0.0.1:", 10000+i)
		if loopback {
			l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			listeners[i] = &countingListener{Listener: l, network: network}
			address = l.Addr().String()
		}
		list[i] = membership.Record{
			Instance: id.Instance(fmt.Sprintf("entry-%05d", i)), PeerAddress: address, CallerAddress: address,
			FailureDomain: id.FailureDomain(fmt.Sprint("doto-", i%16)), Region: "doto",
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 2*n)
	var servers []*http.Server
	for i := range n {
		clients := &peer.Clients{Secret: "0123456789abcdef0123456789abcdef", Wrap: network.wrap}
		m := network.newMembers(list, i)
		network.members[list[i].PeerAddress] = m
		if loopback {
			server := peer.NewServer(peer.Handler(clients.Secret, peer.Services{Member: m}))
			servers = append(servers, server)
			go func() { done <- server.Serve(listeners[i]) }()
			m.Client = clients.Member
		}
	}
	for _, m := range network.members {
		go func() { done <- m.Run(ctx) }()
	}
	return func() {
		cancel()
		for range n {
			if err := <-done; err != nil && !errors.Is(err, http.ErrServerClosed) {
				b.Error(err)
			}
		}
		for _, s := range servers {
			_ = s.Close()
			if err := <-done; !errors.Is(err, http.ErrServerClosed) {
				b.Error(err)
			}
		}
	}
}

func (network *testNetwork) newMembers(list []membership.Record, i int) *members.Members {
	self := list[i]
	self.Incarnation, self.State, self.Manifest = 1, membership.Alive, 1
	return &members.Members{
		Machine: &membership.Machine{Self: self, Random: rand.New(rand.NewPCG(7, uint64(i)))},
		Client: func(address string) wire.Member {
			return &codecClient{network: network, target: network.members[address]}
		},
		ClassifyError: peer.ClassifyError,
		List:          func(context.Context) ([]membership.Record, error) { return list, nil },
		Stamp: func() *wire.Stamp {
			return &wire.Stamp{Instance: string(self.Instance), Incarnation: 1 << 60, ManifestVersion: 100000}
		},
		StampReceived: func(*wire.Stamp) {},
		CrashReceived: func(quarantine.Record) {},
		Manifest:      func() *wire.FetchManifestResponse { return &wire.FetchManifestResponse{} },
	}
}

// wrap returns a round tripper that counts the messages of the real transport.
func (network *testNetwork) wrap(next http.RoundTripper) http.RoundTripper {
	return &countingTripper{network: network, next: next}
}

type countingTripper struct {
	network *testNetwork
	next    http.RoundTripper
}

func (c *countingTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	c.network.messages.Add(2)
	return c.next.RoundTrip(r)
}

type countingListener struct {
	net.Listener
	network *testNetwork
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.network.connections.Add(1)
	return &countingConn{Conn: c, network: l.network}, nil
}

type countingConn struct {
	net.Conn
	network *testNetwork
	closed  atomic.Bool
}

func (c *countingConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.network.connections.Add(-1)
	}
	return c.Conn.Close()
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.network.bytes.Add(int64(n))
	return n, err
}

// codecClient calls an instance of the same process. It encodes and decodes
// messages, without a transport.
type codecClient struct {
	wire.Member
	network *testNetwork
	target  *members.Members
}

func (c *codecClient) Probe(ctx context.Context, r *wire.ProbeRequest) (*wire.ProbeResponse, error) {
	request, response := &wire.ProbeRequest{}, &wire.ProbeResponse{}
	if err := c.transmit(r, request); err != nil {
		return nil, err
	}
	answer, err := c.target.Probe(ctx, request)
	if err != nil {
		return nil, err
	}
	return response, c.transmit(answer, response)
}

func (c *codecClient) transmit(from, to proto.Message) error {
	encoded, err := proto.Marshal(from)
	if err != nil {
		return err
	}
	c.network.bytes.Add(int64(len(encoded)))
	c.network.messages.Add(1)
	return proto.Unmarshal(encoded, to)
}
