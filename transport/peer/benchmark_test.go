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

	"samphirehead/protocol/exchange"
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

type fixedLoad struct{}

func (fixedLoad) Tell(context.Context, *wire.LoadState) (*wire.LoadState, error) {
	return loadState(), nil
}

func stamp() *wire.Stamp {
	return &wire.Stamp{Instance: "entry-00017", Incarnation: 1 << 60, ManifestVersion: 100000}
}

// loadState tells of upstreams as many as an instance uses, and of what waits.
func loadState() *wire.LoadState {
	const upstreams = 64
	s := &wire.LoadState{Stamp: stamp()}
	for u := range upstreams {
		s.Loads = append(s.Loads, &exchange.Load{
			Upstream: fmt.Sprint("moss-engine-", u), Running: 3, Memory: 2000, Ended: 12.5, Begun: 12.5, Pace: 20,
			Prefill: []*exchange.Prefill{{Urgency: 1, Tokens: 800}},
		})
	}
	for tier := range 4 {
		s.Waiting = append(s.Waiting, &wire.Waiting{Pool: "model:moss-3", Tier: int32(tier), Requests: 7})
	}
	return s
}

// BenchmarkTell measures exchanges of loads over loopback, as many at a time as
// there are processors: processor time of both sides together and bytes of both
// directions.
func BenchmarkTell(b *testing.B) {
	measureCalls(b, func(ctx context.Context, l wire.Load) error {
		_, err := l.Tell(ctx, loadState())
		return err
	})
}

func measureCalls(b *testing.B, call func(context.Context, wire.Load) error) {
	b.Helper()
	var bytes atomic.Int64
	load, stop := benchmarkServer(b, &bytes)
	defer stop()
	if err := call(b.Context(), load); err != nil {
		b.Fatal(err)
	}
	bytes.Store(0)
	cpuBefore := cpuTime(b)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if err := call(b.Context(), load); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "bytes/op")
}

func benchmarkServer(b *testing.B, bytes *atomic.Int64) (wire.Load, func()) {
	b.Helper()
	l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer(peer.Handler("s", peer.Services{Load: fixedLoad{}}))
	done := make(chan error, 1)
	go func() { done <- server.Serve(countingListener{Listener: l, bytes: bytes}) }()
	clients := &peer.Clients{Secret: "s"}
	return clients.Load(l.Addr().String()), func() {
		_ = server.Close()
		<-done //nolint:errcheck // Always ErrServerClosed after Close.
	}
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkWaiting measures the memory of waiting calls, both sides together.
func BenchmarkWaitingCalls(b *testing.B) {
	const calls = 2000
	for b.Loop() {
		i := &testInstance{}
		i.pendingDrains.Add(calls + 1)
		l, err := new(net.ListenConfig).Listen(b.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		server := peer.NewServer(peer.Handler("s", peer.Services{Control: i}))
		done := make(chan error, calls+1)
		go func() { done <- server.Serve(l) }()
		control := (&peer.Clients{Secret: "s"}).Control(l.Addr().String())
		memoryBefore := memoryInUse()
		for range calls {
			go func() {
				_, err := control.Drain(b.Context(), &wire.DrainRequest{Stamp: stamp()})
				done <- err
			}()
		}
		for i.drainCalls.Load() < calls {
			time.Sleep(time.Millisecond)
		}
		b.ReportMetric(float64(memoryInUse()-memoryBefore)/calls/1024, "KB/waiting-call")
		i.pendingDrains.Done()
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

func memoryInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapInuse + stats.StackInuse)
}
