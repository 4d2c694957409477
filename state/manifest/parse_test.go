package manifest_test

import (
	"errors"
	"os"
	"reflect"
	"strings"
	"testing"

	"samphirehead/state/manifest"
)

var samples = []string{"trust", "mosalaus", "local"}

func readSample(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile("../../config/" + name + ".yaml")
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func parseSample(t testing.TB, name string) *manifest.Manifest {
	t.Helper()
	m, err := manifest.Parse(name, readSample(t, name))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func TestSampleSizes(t *testing.T) {
	tests := map[string]struct{ engines, workers, workspaces, domains int }{
		"trust":    {20, 3, 10, 3},
		"mosalaus": {10, 3, 10, 3},
	}
	for name, want := range tests {
		m := parseSample(t, name)
		engines, domains := 0, map[string]bool{}
		for _, u := range m.Upstreams {
			domains[string(u.FailureDomain)] = true
			if u.Kind == manifest.KindEngine {
				engines++
			}
		}
		got := want
		got.engines, got.workers = engines, len(m.Upstreams)-engines
		got.workspaces, got.domains = len(m.Workspaces), len(domains)
		if got != want {
			t.Errorf("%s: got %+v, want %+v", name, got, want)
		}
	}
}

func TestSampleKeys(t *testing.T) {
	for _, name := range samples {
		x := manifest.NewIndex(parseSample(t, name))
		for _, w := range x.Manifest.Workspaces {
			found, ok := x.WorkspaceByKey("sample-" + name + "-" + string(w.Name))
			if !ok || found.Name != w.Name {
				t.Errorf("%s: the sample key of workspace %s is not accepted", name, w.Name)
			}
		}
	}
}

// smallManifest is valid. Tests match the line numbers of faults in variants of
// it, so its lines must keep their order.
const smallManifest = `classes:
  - name: quick
    tier: 1
    first_token: 400ms
    total_deadline: 30s
    minimum_share: 0
    queue_bound: 10
    largest_prompt: 100
  - name: slow
    tier: 4
    first_token: 30s
    total_deadline: 10m
    minimum_share: 0.1
    queue_bound: 10
workspaces:
  - name: w
    key_sha256: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    classes: [quick, slow]
models:
  - name: org/m:1
upstreams:
  - name: e
    address: 10.0.0.1:80
    failure_domain: d
    kind: engine
    models: ["org/m:1"]
    capacity: {slots: 2, prefill_tokens_per_second: 1, decode_tokens_per_second: 1, kv_tokens: 9}
  - name: s
    address: 10.0.0.2:80
    failure_domain: d
    kind: service
    service: desk
    capacity: {slots: 2}
services:
  - name: desk
    routes:
      - {method: POST, path: /run, semantics: at_most_once, class: quick}
      - {method: GET, path: /status/*, semantics: idempotent, class: slow}
`

func TestParseFaults(t *testing.T) {
	tests := map[string]struct{ replace, with, want string }{
		"unknown key":          {"tier: 4", "tier: 4\n    teir: 3", "line 11: classes[1].teir: unknown key"},
		"tier zero":            {"tier: 1", "tier: 0", "line 3: classes[0].tier: want a tier from 1 to 16"},
		"tier text":            {"tier: 4", "tier: low", "line 10: classes[1].tier: want a whole number"},
		"tier overflow":        {"tier: 4", "tier: 99999999999999999999", "line 10: classes[1].tier: want a whole number"},
		"duration number":      {"400ms", "400", "line 4: classes[0].first_token: want a duration"},
		"duration zero":        {"400ms", "0s", "line 4: classes[0].first_token: want more than 0s"},
		"deadline":             {"total_deadline: 30s", "total_deadline: 1ms", "line 5: classes[0].total_deadline: want no less"},
		"shares":               {"minimum_share: 0\n", "minimum_share: 0.9\n", "line 1: classes: the minimum shares add up to 1"},
		"starved class":        {"minimum_share: 0.1", "minimum_share: 0", "line 13: classes[1].minimum_share: want more than 0"},
		"not a number":         {"minimum_share: 0.1", "minimum_share: .nan", "line 13: classes[1].minimum_share: want a finite"},
		"queue bound":          {"queue_bound: 10\n    largest", "queue_bound: 0\n    largest", "line 7: classes[0].queue_bound"},
		"upstream twice":       {"name: s\n", "name: e\n", `line 28: upstreams[1].name: "e" is used twice`},
		"digest length":        {"[aaaa", "[aa", "line 17: workspaces[0].key_sha256[0]: want the SHA-256"},
		"digest capitals":      {"[aaaa", "[AAAA", "line 17: workspaces[0].key_sha256[0]: want the SHA-256"},
		"class reference":      {"[quick, slow]", "[quick, fast]", `line 18: workspaces[0].classes[1]: there is no class "fast"`},
		"class listed twice":   {"[quick, slow]", "[quick, quick]", "line 18: workspaces[0].classes[1]"},
		"model reference":      {`["org/m:1"]`, `["m"]`, `line 26: upstreams[0].models[0]: there is no model "m"`},
		"host name":            {"10.0.0.1:80", "engine:80", "line 23: upstreams[0].address: want an IP address"},
		"address twice":        {"10.0.0.2:80", "10.0.0.1:80", `line 29: upstreams[1].address: "e" has this address too`},
		"kind":                 {"kind: engine", "kind: gpu", "line 25: upstreams[0].kind: want engine or service"},
		"no slots":             {"{slots: 2}", "{slots: 0}", "line 33: upstreams[1].capacity.slots"},
		"engine without KV":    {", kv_tokens: 9", "", "line 27: upstreams[0].capacity.kv_tokens"},
		"service with KV":      {"{slots: 2}", "{slots: 2, kv_tokens: 1}", "line 33: upstreams[1].capacity.kv_tokens: only an engine"},
		"removed key":          {"service: desk", "service: desk\n    checks_fencing: true", "line 33: upstreams[1].checks_fencing: unknown key"},
		"service that resumes": {"service: desk", "service: desk\n    resumes: true", "line 33: upstreams[1].resumes: only an engine"},
		"service reference":    {"service: desk", "service: dusk", `line 32: upstreams[1].service: there is no service "dusk"`},
		"method":               {"method: POST", "method: post", "line 37: services[0].routes[0].method"},
		"dot segment":          {"/run", "/a/../run", "line 37: services[0].routes[0].path"},
		"path wildcard":        {"/status/*", "/*/status", "line 38: services[0].routes[1].path"},
		"route twice":          {"GET, path: /status/*", "POST, path: /run", `line 38: services[0].routes[1].path: "POST /run" is listed twice`},
		"semantics":            {"at_most_once", "once", "line 37: services[0].routes[0].semantics"},
		"route class":          {"class: slow}", "class: fast}", `line 38: services[0].routes[1].class: there is no class "fast"`},
	}
	if _, err := manifest.Parse("m.yaml", []byte(smallManifest)); err != nil {
		t.Fatalf("the unmodified manifest is invalid: %v", err)
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(smallManifest, test.replace, test.with, 1)
			_, err := manifest.Parse("m.yaml", []byte(text))
			var faults *manifest.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("error %v", err)
			}
			if len(faults.List) != 1 || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want one fault with %q", err, test.want)
			}
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	text := strings.NewReplacer("tier: 4", "tier: x", "kind: engine", "kind: y", "/run", "run").Replace(smallManifest)
	_, err := manifest.Parse("m.yaml", []byte(text))
	var faults *manifest.Faults
	if !errors.As(err, &faults) || len(faults.List) != 3 {
		t.Fatalf("error %v", err)
	}
	for i, line := range []int{10, 25, 37} {
		if faults.List[i].Line != line {
			t.Errorf("fault %d: %v, want line %d", i, faults.List[i], line)
		}
	}
}

func TestParseRejectsKeyOfTwoWorkspaces(t *testing.T) {
	second := `  - name: v
    key_sha256: [aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa]
    classes: [quick]
models:`
	_, err := manifest.Parse("m.yaml", []byte(strings.Replace(smallManifest, "models:", second, 1)))
	if err == nil || !strings.Contains(err.Error(), `line 20: workspaces[1].key_sha256[0]: workspace "w" has this key already`) {
		t.Errorf("error %v", err)
	}
}

func TestParseRejectsEmptyManifest(t *testing.T) {
	for _, text := range []string{"", "{}", "# nothing\n", "null"} {
		if _, err := manifest.Parse("m.yaml", []byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(smallManifest))
	f.Add([]byte("classes: &a [*a]"))
	f.Add([]byte("{classes: [{}], upstreams: [{}]}"))
	f.Add([]byte("? [a]\n: b"))
	for _, name := range samples {
		f.Add(readSample(f, name))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := manifest.Parse("m", data)
		if err != nil {
			return
		}
		encoded, err := first.Marshal()
		if err != nil {
			t.Fatal(err)
		}
		second, err := manifest.Parse("m", encoded)
		if err != nil {
			t.Fatalf("%v in\n%s", err, encoded)
		}
		if !reflect.DeepEqual(first, second) {
			t.Errorf("got %+v, want %+v", second, first)
		}
	})
}
