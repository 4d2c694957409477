package manifest_test

import (
	"errors"
	"testing"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

func smallIndex(t *testing.T) *manifest.Index {
	t.Helper()
	m, err := manifest.Parse("m.yaml", []byte(smallManifest))
	if err != nil {
		t.Fatal(err)
	}
	return manifest.NewIndex(m)
}

func TestClassify(t *testing.T) {
	tests := map[string]struct {
		workspace id.Workspace
		prompt    id.Tokens
		requested id.Class
		class     id.Class
		err       error
	}{
		"small":             {"w", 100, "", "quick", nil},
		"large":             {"w", 101, "", "slow", nil},
		"large but named":   {"w", 101, "quick", "quick", nil},
		"named":             {"w", 1, "slow", "slow", nil},
		"unknown class":     {"w", 1, "other", "", manifest.ErrClassNotAllowed},
		"unknown workspace": {"x", 1, "", "", manifest.ErrUnknownWorkspace},
	}
	x := smallIndex(t)
	for name, test := range tests {
		class, err := x.Classify(test.workspace, test.prompt, test.requested)
		if class.Name != test.class || !errors.Is(err, test.err) {
			t.Errorf("%s: got %q, %v", name, class.Name, err)
		}
	}
	quickOnly := manifest.NewIndex(&manifest.Manifest{
		Classes:    x.Manifest.Classes,
		Workspaces: []manifest.Workspace{{Name: "w", Classes: []id.Class{"quick"}}},
	})
	if _, err := quickOnly.Classify("w", 101, ""); !errors.Is(err, manifest.ErrPromptTooLarge) {
		t.Errorf("too large: %v", err)
	}
}

func TestWorkspaceByKeyRejectsUnknownKeys(t *testing.T) {
	x := smallIndex(t)
	for _, key := range []string{"", "sample", x.Manifest.Workspaces[0].KeySHA256[0]} {
		if _, found := x.WorkspaceByKey(key); found {
			t.Errorf("key %q was accepted", key)
		}
	}
}

func TestRouteMatching(t *testing.T) {
	m := &manifest.Manifest{Services: []manifest.Service{{Name: "desk", Routes: []manifest.Route{
		{Method: "GET", Path: "/a/*", Class: "short"},
		{Method: "GET", Path: "/a/b/*", Class: "long"},
		{Method: "GET", Path: "/a/b/c", Class: "exact"},
		{Method: "POST", Path: "/a/b/c", Class: "post"},
	}}}}
	x := manifest.NewIndex(m)
	tests := []struct {
		method, path string
		class        id.Class
	}{
		{"GET", "/a/b/c", "exact"},
		{"POST", "/a/b/c", "post"},
		{"GET", "/a/b/d", "long"},
		{"GET", "/a/x/y", "short"},
		{"GET", "/a/b/c/", "long"},
		{"GET", "/a/", ""},
		{"GET", "/a", ""},
		{"DELETE", "/a/b/c", ""},
		{"GET", "/a/../a/b/c", ""},
		{"GET", "/a/./b", ""},
		{"GET", "/a//b", ""},
		{"GET", "/a/%2e%2e/b", ""},
		{"GET", "/a/..\\b", ""},
		{"GET", "/a/..", ""},
		{"GET", "a/b", ""},
	}
	for _, test := range tests {
		route, found := x.Route("desk", test.method, test.path)
		if route.Class != test.class || found != (test.class != "") {
			t.Errorf("%s %s: got %q, want %q", test.method, test.path, route.Class, test.class)
		}
	}
	if _, found := x.Route("other", "GET", "/a/b/c"); found {
		t.Error("an unknown service has a route")
	}
}

func TestPools(t *testing.T) {
	x := manifest.NewIndex(parseSample(t, "trust"))
	for pool, want := range map[id.Pool]int{"model:notes": 20, "model:dossier": 8, "service:entry-desk": 3, "model:x": 0} {
		if got := len(x.Upstreams(pool)); got != want {
			t.Errorf("%s: %d upstreams, want %d", pool, got, want)
		}
	}
	if got := len(x.Pools()); got != 3 {
		t.Errorf("%d pools, want 3", got)
	}
}

func TestDiff(t *testing.T) {
	before, after := smallIndex(t).Manifest, smallIndex(t).Manifest
	after.Classes[0].Tier = 2
	after.Upstreams[0].Capacity.Slots = 3
	after.Upstreams = after.Upstreams[:1]
	after.Models = append(after.Models, manifest.Model{Name: "n"})
	after.Services[0].Routes[0].Semantics = manifest.Idempotent
	want := []string{
		"~ classes[quick].tier 1 -> 2",
		"+ models[n] added",
		"- upstreams[s] removed",
		"~ upstreams[e].capacity.slots 2 -> 3",
		"- services[desk].routes POST /run at_most_once quick",
		"+ services[desk].routes POST /run idempotent quick",
	}
	got := manifest.Diff(before, after)
	for i, change := range got {
		if i >= len(want) || change.String() != want[i] {
			t.Errorf("change %d: %s", i, change)
		}
	}
	if len(got) != len(want) {
		t.Errorf("%d changes, want %d", len(got), len(want))
	}
	if same := manifest.Diff(before, before); len(same) != 0 {
		t.Errorf("a manifest differs from itself: %v", same)
	}
}
