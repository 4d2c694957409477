package bench_test

import (
	"os"
	"testing"
	"time"

	"go.yaml.in/yaml/v3"

	"samphirehead/bench"
	"samphirehead/bench/cluster"
	"samphirehead/bench/load"
	"samphirehead/standin/engine"
	"samphirehead/standin/platform"
	"samphirehead/standin/service"
)

func TestScenariosAreWellFormed(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range bench.Scenarios() {
		if seen[s.Name] || s.Summary == "" {
			t.Errorf("scenario %q", s.Name)
		}
		seen[s.Name] = true
		last := 0.0
		for _, step := range s.Steps {
			if step.At < last || step.At >= 1 {
				t.Errorf("%s: step at %v", s.Name, step.At)
			}
			last = step.At
		}
		profile := load.Profile{Duration: time.Second, Streams: s.Streams(time.Second), Keys: cluster.Keys()}
		if err := profile.Check(); err != nil {
			t.Errorf("%s: %v", s.Name, err)
		}
	}
}

func TestSamplesLoad(t *testing.T) {
	profile := &load.Profile{}
	samples := map[string]any{
		"standin-platform.yaml": &platform.Platform{},
		"standin-engine.yaml":   &engine.Engine{},
		"standin-service.yaml":  &service.Service{},
		"load.yaml":             profile,
	}
	for name, into := range samples {
		f, err := os.Open("../config/" + name)
		if err != nil {
			t.Fatal(err)
		}
		decoder := yaml.NewDecoder(f)
		decoder.KnownFields(true)
		if err := decoder.Decode(into); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		_ = f.Close()
	}
	if err := profile.Check(); err != nil {
		t.Errorf("load.yaml: %v", err)
	}
}

func TestScenariosCombine(t *testing.T) {
	s, ok := bench.Find("overload+crash_engine+kill_one")
	if !ok || len(s.Changes) != 3 || len(s.Steps) != 5 {
		t.Errorf("found %v: %+v", ok, s)
	}
	if _, ok := bench.Find("overload+nothing"); ok {
		t.Error("found an unknown part")
	}
}
