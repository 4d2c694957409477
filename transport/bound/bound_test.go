package bound_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"

	"samphirehead/transport/bound"
)

func TestTransportBoundsBodies(t *testing.T) {
	for name, c := range map[string]struct {
		length  int
		tooLong bool
	}{
		"empty": {0, false}, "at the limit": {1000, false}, "beyond the limit": {1001, true}, "far beyond": {1 << 20, true},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", c.length))
		}))
		client := http.Client{Transport: &bound.Transport{Next: http.DefaultTransport, MaxBytes: 1000}}
		response, err := client.Get(server.URL) //nolint:noctx // loopback
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if errors.Is(err, bound.ErrTooLong) != c.tooLong || len(body) != min(c.length, 1000) {
			t.Errorf("%s: %d bytes, %v", name, len(body), err)
		}
		server.Close()
	}
}

func TestBuffersShareMemory(t *testing.T) {
	const limit = 1 << 20
	memory := &bound.Memory{Limit: 3*limit + 100}
	text := strings.Repeat("x", limit)
	var buffers [4]bound.Buffer
	for i := range buffers {
		buffers[i] = bound.Buffer{Memory: memory, Limit: limit}
		err := buffers[i].ReadAll(strings.NewReader(text))
		if wantErr := i == 3; errors.Is(err, bound.ErrMemory) != wantErr {
			t.Errorf("buffer %d: %v", i, err)
		}
	}
	short := bound.Buffer{Memory: memory, Limit: limit}
	if err := short.ReadAll(strings.NewReader(text[:10_000])); err != nil || len(short.Data) != 10_000 {
		t.Errorf("a short response: %d bytes, %v", len(short.Data), err)
	}
	for i := range buffers {
		buffers[i].Release()
	}
	if memory.Used() != 0 || memory.Peak() < 3*limit || memory.Peak() > memory.Limit {
		t.Errorf("used %d, peak %d", memory.Used(), memory.Peak())
	}
}

func TestBufferLimits(t *testing.T) {
	for name, c := range map[string]struct {
		memory *bound.Memory
		length int
		err    error
	}{
		"at the limit":            {nil, 100_000, nil},
		"beyond the limit":        {nil, 100_001, bound.ErrTooLong},
		"half of the memory":      {&bound.Memory{Limit: 100_000}, 50_000, nil},
		"over half of the memory": {&bound.Memory{Limit: 100_000}, 50_001, bound.ErrTooLong},
	} {
		b := bound.Buffer{Memory: c.memory, Limit: 100_000}
		if err := b.ReadAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", c.length)))); !errors.Is(err, c.err) {
			t.Errorf("%s: %v, want %v", name, err, c.err)
		}
	}
}
