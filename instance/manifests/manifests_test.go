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

func sampleManifest(t *testing.T) []byte {
	t.Helper()
	yaml, err := os.ReadFile("../../config/trust.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return yaml
}

// run starts an instance and stops it with the test.
func startInstance(t *testing.T, m *manifests.Manifests) {
	t.Helper()
	m.Init()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- m.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

func currentVersion(m *manifests.Manifests) id.ManifestVersion {
	synctest.Wait()
	v, _, _ := m.Current()
	return v
}

func TestApplyReachesOtherInstances(t *testing.T) {
	yaml := sampleManifest(t)
	synctest.Test(t, func(t *testing.T) {
		table := &memtable.Table{}
		a := &manifests.Manifests{Self: "a", Store: table}
		fetchFromA := func(context.Context, id.Instance) (id.ManifestVersion, []byte, error) {
			v, _, yaml := a.Current()
			return v, yaml, nil
		}
		b := &manifests.Manifests{Self: "b", Store: table, FetchFromPeer: fetchFromA}
		polling := &manifests.Manifests{Self: "c", Store: table}
		startInstance(t, a)
		startInstance(t, b)
		startInstance(t, polling)
		synctest.Wait()
		if v, ok, err := a.Apply(t.Context(), 0, yaml, "one"); v != 1 || !ok || err != nil {
			t.Fatalf("apply: %d, %v, %v", v, ok, err)
		}
		table.SetFaults(memtable.Faults{Down: true})
		b.ObserveVersion(1, "a")
		if currentVersion(a) != 1 || currentVersion(b) != 1 {
			t.Fatalf("versions %d and %d without the platform, want 1", currentVersion(a), currentVersion(b))
		}
		polling.ObserveVersion(1, "gone")
		if !polling.Behind() {
			t.Error("an instance that cannot fetch a version it saw is not behind")
		}
		table.SetFaults(memtable.Faults{})
		time.Sleep(time.Second)
		if currentVersion(polling) != 1 || polling.Behind() {
			t.Errorf("polling instance at version %d, behind %v", currentVersion(polling), polling.Behind())
		}
	})
}

func TestApplyResults(t *testing.T) {
	yaml := sampleManifest(t)
	cases := []struct {
		name      string
		setup     func(*memtable.Table)
		base      id.ManifestVersion
		operation id.Attempt
		version   id.ManifestVersion
		accepted  bool
		wantErr   bool
	}{
		{"answer lost", func(table *memtable.Table) { table.SetFaults(memtable.Faults{LoseWriteResponses: 1}) }, 0, "one", 1, true, false},
		{"next", nil, 1, "two", 2, true, false},
		{"repeat after a further version", nil, 0, "one", 1, true, false},
		{"race lost", nil, 1, "three", 2, false, false},
		{"platform down", func(table *memtable.Table) { table.SetFaults(memtable.Faults{Down: true}) }, 2, "four", 0, false, true},
		{"platform up again", func(table *memtable.Table) { table.SetFaults(memtable.Faults{}) }, 2, "four", 3, true, false},
	}
	synctest.Test(t, func(t *testing.T) {
		table := &memtable.Table{}
		a := &manifests.Manifests{Self: "a", Store: table}
		startInstance(t, a)
		for _, c := range cases {
			if c.setup != nil {
				c.setup(table)
			}
			v, accepted, err := a.Apply(t.Context(), c.base, yaml, c.operation)
			if v != c.version || accepted != c.accepted || (err != nil) != c.wantErr {
				t.Errorf("%s: got %d, %v, %v", c.name, v, accepted, err)
			}
			if errors.Is(err, manifests.ErrOutcomeUnknown) {
				t.Errorf("%s: unknown although nothing was written", c.name)
			}
		}
		history, err := a.History(t.Context(), 10)
		if err != nil || len(history) != 3 {
			t.Errorf("history %+v, %v", history, err)
		}
	})
}
