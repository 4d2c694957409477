package peer_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	wire "samphirehead/protocol/peer"
	"samphirehead/transport/peer"
)

// countingListener counts the bytes of both directions.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{Conn: c, bytes: l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

type quickHome struct{ instance }

func (*quickHome) Reserve(context.Context, *wire.ReserveRequest) (*wire.ReserveResponse, error) {
	return &wire.ReserveResponse{Stamp: stamp(), Upstream: "moss-engine-17", LeaseUs: 2000000, Summary: summary()}, nil
}

func (*quickHome) Renew(context.Context, *wire.RenewRequest) (*wire.RenewResponse, error) {
	return &wire.RenewResponse{Stamp: stamp(), Summary: summary()}, nil
}

func stamp() *wire.Stamp {
	return &wire.Stamp{Instance: "entry-00017", Incarnation: 1 << 60, ManifestVersion: 100000}
}

func summary() *wire.Summary {
	s := &wire.Summary{Instance: "entry-00017", Incarnation: 1 << 60}
	for p := range 6 {
		s.Pools = append(s.Pools, &wire.PoolSummary{
			Pool: fmt.Sprint("model:moss-", p), FreeSlots: 20, Slots: 64, WaitUs: []int64{10000, 100000, 1000000, 10000000},
		})
	}
	return s
}

func reservation(n int) *wire.ReserveRequest {
	return &wire.ReserveRequest{
		Stamp: stamp(), Reservation: fmt.Sprintf("01JE%022d", n), Request: fmt.Sprintf("01JF%022d", n),
		Pool: "model:moss-3", Class: "quote", Workspace: "workspace-01234", PromptTokens: 800,
		FirstTokenInUs: 450000, DeadlineInUs: 60000000, PrefixHashes: make([]uint64, 16), Fingerprint: 1 << 63, Attempt: 1,
	}
}

// BenchmarkCall measures calls over loopback, as many at a time as there are
// processors: processor time of both sides together and bytes of both directions.
func BenchmarkCall(b *testing.B) {
	progress := make([]*wire.Progress, 64)
	for i := range progress {
		progress[i] = &wire.Progress{Reservation: fmt.Sprintf("01JE%022d", i), Tokens: int64(100 + i)}
	}
	for name, call := range map[string]func(context.Context, wire.Home, int) error{
		"reserve": func(ctx context.Context, h wire.Home, n int) error {
			_, err := h.Reserve(ctx, reservation(n))
			return err
		},
		"release": func(ctx context.Context, h wire.Home, n int) error {
			_, err := h.Release(ctx, &wire.ReleaseRequest{Stamp: stamp(), Releases: []*wire.Release{{
				Reservation: fmt.Sprintf("01JE%022d", n), Tokens: 422, Outcome: "completed", FirstTokenUs: 300000,
			}}})
			return err
		},
		"renew 64": func(ctx context.Context, h wire.Home, _ int) error {
			_, err := h.Renew(ctx, &wire.RenewRequest{Stamp: stamp(), Progress: progress})
			return err
		},
	} {
		b.Run(name, func(b *testing.B) { measureCalls(b, call) })
	}
}

func measureCalls(b *testing.B, call func(context.Context, wire.Home, int) error) {
	b.Helper()
	var bytes atomic.Int64
	home, stop := benchmarkServer(b, &bytes)
	defer stop()
	if err := call(b.Context(), home, 0); err != nil {
		b.Fatal(err)
	}
	bytes.Store(0)
	before := processorTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for n := 0; pb.Next(); n++ {
			if err := call(b.Context(), home, n); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}

func benchmarkServer(b *testing.B, bytes *atomic.Int64) (wire.Home, func()) {
	b.Helper()
	l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer(peer.Handler("s", peer.Services{Home: &quickHome{}}))
	done := make(chan error, 1)
	go func() { done <- server.Serve(countingListener{Listener: l, bytes: bytes}) }()
	clients := &peer.Clients{Secret: "s"}
	return clients.Home(l.Addr().String()), func() {
		_ = server.Close()
		<-done //nolint:errcheck // Always ErrServerClosed after Close.
	}
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var use syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &use); err != nil {
		b.Fatal(err)
	}
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

// BenchmarkWaiting measures the memory of waiting calls, both sides together.
func BenchmarkWaiting(b *testing.B) {
	const calls = 2000
	for b.Loop() {
		i := &instance{}
		i.waiting.Add(calls + 1)
		l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := peer.NewServer(peer.Handler("s", peer.Services{Home: i}))
		done := make(chan error, calls+1)
		go func() { done <- server.Serve(l) }()
		home := (&peer.Clients{Secret: "s"}).Home(l.Addr().String())
		before := memory()
		for n := range calls {
			go func() {
				_, err := home.Reserve(b.Context(), reservation(n))
				done <- err
			}()
		}
		for i.reserves.Load() < calls {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(memory()-before)/calls/1024, "KB/waiting-call")
		i.waiting.Done()
		for range calls {
			if err := <-done; err != nil {
				b.Fatal(err)
			}
		}
		_ = server.Close()
		<-done //nolint:errcheck // Always ErrServerClosed after Close.
	}
	b.ReportMetric(0, "ns/op")
}

func memory() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
