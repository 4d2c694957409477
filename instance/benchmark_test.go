package instance_test

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const benchmarkTokens = 8

// streamOnce sends a streamed request and returns the time to its first event.
func streamOnce(ctx context.Context, client *http.Client, address, key string) (time.Duration, error) {
	start := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/chat/completions",
		strings.NewReader(chatBody(true, "hello", benchmarkTokens)))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	first := time.Duration(0)
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if first == 0 {
			first = time.Since(start)
		}
	}
	return first, lines.Err()
}

func benchmarkClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
}

// BenchmarkAddedLatency measures the first token of one request at a time
// through the instance and at the engine itself, in turns.
func BenchmarkAddedLatency(b *testing.B) {
	f := newFixture(b, 64)
	client := benchmarkClient()
	viaInstance := hdrhistogram.New(1, 10_000_000, 3)
	direct := hdrhistogram.New(1, 10_000_000, 3)
	b.ResetTimer()
	for b.Loop() {
		for _, target := range []struct {
			address   string
			latencies *hdrhistogram.Histogram
		}{{f.instance.CallerAddr(), viaInstance}, {f.engine.Addr(), direct}} {
			first, err := streamOnce(b.Context(), client, target.address, testKey)
			if err != nil {
				b.Fatal(err)
			}
			_ = target.latencies.RecordValue(first.Microseconds())
		}
	}
	b.ReportMetric(float64(viaInstance.ValueAtQuantile(50)-direct.ValueAtQuantile(50)), "added-p50-us")
	b.ReportMetric(float64(viaInstance.ValueAtQuantile(95)-direct.ValueAtQuantile(95)), "added-p95-us")
	b.ReportMetric(float64(direct.ValueAtQuantile(50)), "direct-p50-us")
}

// BenchmarkThroughput measures short streamed requests through one instance.
// The allocations are those of caller, instance and engine together.
func BenchmarkThroughput(b *testing.B) {
	f := newFixture(b, 4096)
	client := benchmarkClient()
	var failed atomic.Int64
	b.ReportAllocs()
	b.SetParallelism(16)
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := streamOnce(context.Background(), client, f.instance.CallerAddr(), testKey); err != nil {
				failed.Add(1)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
	if n := failed.Load(); n > 0 {
		b.Errorf("%d requests failed", n)
	}
}
