package manifests_test

import (
	"context"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"samphirehead/instance/internal/memstore"
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

// startInstance runs m until the end of the test.
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
	// b learns of the version from a message of a, and fetches the manifest from
	// a while the platform is down. polling can only poll the platform.
	yaml := sampleManifest(t)
	synctest.Test(t, func(t *testing.T) {
		table := &memstore.Table{}
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
		table.SetFaults(memstore.Faults{Down: true})
		b.ReceiveVersion(1, "a")
		if currentVersion(a) != 1 || currentVersion(b) != 1 {
			t.Fatalf("versions %d and %d without the platform, want 1", currentVersion(a), currentVersion(b))
		}
		polling.ReceiveVersion(1, "gone")
		if !polling.Behind() {
			t.Error("an instance that cannot fetch a version that it observed is not behind")
		}
		table.SetFaults(memstore.Faults{})
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
		setup     func(*memstore.Table)
		base      id.ManifestVersion
		operation id.Attempt
		version   id.ManifestVersion
		accepted  bool
		wantErr   bool
	}{
		{"write response lost", func(table *memstore.Table) { table.SetFaults(memstore.Faults{LoseWriteResponses: 1}) }, 0, "one", 1, true, false},
		{"successor", nil, 1, "two", 2, true, false},
		{"repeat after a later version", nil, 0, "one", 1, true, false},
		{"base already succeeded", nil, 1, "three", 2, false, false},
		{"platform down", func(table *memstore.Table) { table.SetFaults(memstore.Faults{Down: true}) }, 2, "four", 0, false, true},
		{"platform up again", func(table *memstore.Table) { table.SetFaults(memstore.Faults{}) }, 2, "four", 3, true, false},
	}
	synctest.Test(t, func(t *testing.T) {
		table := &memstore.Table{}
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
				t.Errorf("%s: outcome is unknown, want it known", c.name)
			}
		}
		history, err := a.History(t.Context(), 10)
		if err != nil || len(history) != 3 {
			t.Errorf("history %+v, %v", history, err)
		}
	})
}
