package manifests_test

import (
	"context"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/instance/manifests"
	"samphirehead/state/id"
	"samphirehead/state/record"
)

// memory is a platform with faults.
type memory struct {
	mu      sync.Mutex
	rows    map[record.Key]record.Row
	objects map[string][]byte
	down    bool
	// loseWrites is how many writes take effect without an answer.
	loseWrites int
}

func newMemory() *memory {
	return &memory{rows: map[record.Key]record.Row{}, objects: map[string][]byte{}}
}

func (m *memory) setDown(down bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = down
}

func (m *memory) Write(_ context.Context, writes []record.Write) record.WriteResult {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return record.Refused{Err: os.ErrClosed}
	}
	var out record.Written
	for _, w := range writes {
		if row := m.rows[w.Key]; row.Version != w.Expected {
			return record.Conflicted{Rows: []record.Row{row}}
		}
	}
	for _, w := range writes {
		m.rows[w.Key] = record.Row{Key: w.Key, Version: w.Expected + 1, Value: w.Value}
		out.Versions = append(out.Versions, w.Expected+1)
	}
	if m.loseWrites > 0 {
		m.loseWrites--
		return record.Unknown{Err: os.ErrDeadlineExceeded}
	}
	return out
}

func (m *memory) Read(_ context.Context, keys []record.Key) ([]record.Row, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, os.ErrClosed
	}
	var out []record.Row
	for _, key := range keys {
		if row, ok := m.rows[key]; ok {
			out = append(out, row)
		}
	}
	return out, nil
}

func (m *memory) Scan(ctx context.Context, prefix, _ record.Key, _ int) ([]record.Row, error) {
	var keys []record.Key
	m.mu.Lock()
	for key := range m.rows {
		if strings.HasPrefix(string(key), string(prefix)) {
			keys = append(keys, key)
		}
	}
	m.mu.Unlock()
	return m.Read(ctx, keys)
}

func (m *memory) PutObject(_ context.Context, name string, body []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = body
	return nil
}

func (m *memory) GetObject(_ context.Context, name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return nil, os.ErrClosed
	}
	return m.objects[name], nil
}

func sample(t *testing.T) []byte {
	t.Helper()
	yaml, err := os.ReadFile("../../config/trust.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return yaml
}

// run starts an instance and stops it with the test.
func run(t *testing.T, m *manifests.Manifests) {
	t.Helper()
	m.Init()
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

func version(m *manifests.Manifests) id.ManifestVersion {
	synctest.Wait()
	v, _, _ := m.Current()
	return v
}

func TestApplySpreadsByStampPollAndPeer(t *testing.T) {
	yaml := sample(t)
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		a := &manifests.Manifests{Self: "a", Store: m}
		fromA := func(context.Context, id.Instance) (id.ManifestVersion, []byte, error) {
			v, _, yaml := a.Current()
			return v, yaml, nil
		}
		b := &manifests.Manifests{Self: "b", Store: m, FetchPeer: fromA}
		polling := &manifests.Manifests{Self: "c", Store: m}
		run(t, a)
		run(t, b)
		run(t, polling)
		synctest.Wait()
		if v, ok, err := a.Apply(t.Context(), 0, yaml, "one"); v != 1 || !ok || err != nil {
			t.Fatalf("apply: %d, %v, %v", v, ok, err)
		}
		m.setDown(true)
		b.Seen(1, "a")
		if version(a) != 1 || version(b) != 1 {
			t.Fatalf("versions %d and %d without the platform, want 1", version(a), version(b))
		}
		polling.Seen(1, "gone")
		if !polling.Behind() {
			t.Error("an instance that cannot fetch a version it saw is not behind")
		}
		m.setDown(false)
		time.Sleep(time.Second)
		if version(polling) != 1 || polling.Behind() {
			t.Errorf("polling instance at version %d, behind %v", version(polling), polling.Behind())
		}
	})
}

func TestApplyResults(t *testing.T) {
	yaml := sample(t)
	steps := []struct {
		name      string
		before    func(*memory)
		base      id.ManifestVersion
		operation id.Attempt
		version   id.ManifestVersion
		accepted  bool
		fails     bool
	}{
		{"answer lost", func(m *memory) { m.loseWrites = 1 }, 0, "one", 1, true, false},
		{"next", nil, 1, "two", 2, true, false},
		{"repeat after a further version", nil, 0, "one", 1, true, false},
		{"race lost", nil, 1, "three", 2, false, false},
		{"platform down", func(m *memory) { m.setDown(true) }, 2, "four", 0, false, true},
		{"platform up again", func(m *memory) { m.setDown(false) }, 2, "four", 3, true, false},
	}
	synctest.Test(t, func(t *testing.T) {
		m := newMemory()
		a := &manifests.Manifests{Self: "a", Store: m}
		run(t, a)
		for _, s := range steps {
			if s.before != nil {
				s.before(m)
			}
			v, accepted, err := a.Apply(t.Context(), s.base, yaml, s.operation)
			if v != s.version || accepted != s.accepted || (err != nil) != s.fails {
				t.Errorf("%s: got %d, %v, %v", s.name, v, accepted, err)
			}
			if errors.Is(err, manifests.ErrUnknown) {
				t.Errorf("%s: unknown although nothing was written", s.name)
			}
		}
		history, err := a.History(t.Context(), 10)
		if err != nil || len(history) != 3 {
			t.Errorf("history %+v, %v", history, err)
		}
	})
}
