package manifests_test

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/instance/internal/memtable"
	"samphirehead/instance/manifests"
	"samphirehead/state/id"
)

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
		m := &memtable.Table{}
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
		m.Fail(memtable.Faults{Down: true})
		b.Seen(1, "a")
		if version(a) != 1 || version(b) != 1 {
			t.Fatalf("versions %d and %d without the platform, want 1", version(a), version(b))
		}
		polling.Seen(1, "gone")
		if !polling.Behind() {
			t.Error("an instance that cannot fetch a version it saw is not behind")
		}
		m.Fail(memtable.Faults{})
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
		before    func(*memtable.Table)
		base      id.ManifestVersion
		operation id.Attempt
		version   id.ManifestVersion
		accepted  bool
		fails     bool
	}{
		{"answer lost", func(m *memtable.Table) { m.Fail(memtable.Faults{LoseWrites: 1}) }, 0, "one", 1, true, false},
		{"next", nil, 1, "two", 2, true, false},
		{"repeat after a further version", nil, 0, "one", 1, true, false},
		{"race lost", nil, 1, "three", 2, false, false},
		{"platform down", func(m *memtable.Table) { m.Fail(memtable.Faults{Down: true}) }, 2, "four", 0, false, true},
		{"platform up again", func(m *memtable.Table) { m.Fail(memtable.Faults{}) }, 2, "four", 3, true, false},
	}
	synctest.Test(t, func(t *testing.T) {
		m := &memtable.Table{}
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
