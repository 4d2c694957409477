package metrics_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"samphirehead/state/id"
	"samphirehead/state/metrics"
)

func TestWorkspacesAreBoundedAndBusiestStay(t *testing.T) {
	var r metrics.Registry
	for i := range 37_000 {
		r.Observe(metrics.Observation{Class: "urgent", Workspace: "large", Outcome: metrics.Completed, FirstToken: time.Millisecond, QueueWait: -1})
		r.Observe(metrics.Observation{Class: "urgent", Workspace: id.Workspace(fmt.Sprint("w", i)), Outcome: metrics.NotRun, FirstToken: -1, QueueWait: -1})
	}
	if n := r.NumWorkspaces(); n > 64 {
		t.Fatalf("histograms for %d workspaces, want at most 64", n)
	}
	var view struct {
		Workspaces map[string]struct {
			Outcomes   map[string]int64 `json:"outcomes"`
			FirstToken struct {
				Count int64 `json:"count"`
			} `json:"first_token"`
		} `json:"workspaces"`
	}
	if err := json.Unmarshal([]byte(r.Var().String()), &view); err != nil {
		t.Fatal(err)
	}
	if got := view.Workspaces["large"].Outcomes["completed"]; got != 37_000 {
		t.Errorf("large workspace has %d completed, want 37000", got)
	}
	if got := view.Workspaces["large"].FirstToken.Count; got != 37_000 {
		t.Errorf("large workspace has %d first tokens, want 37000", got)
	}
}

func TestUpstreamsAreBounded(t *testing.T) {
	var r metrics.Registry
	for i := range 10_000 {
		r.Observe(metrics.Observation{
			Class: "urgent", Upstream: id.Upstream(fmt.Sprint("u", i%200)), Outcome: metrics.Completed, FirstToken: time.Millisecond, QueueWait: -1,
		})
		r.Observe(metrics.Observation{Class: "urgent", Upstream: "busy", Outcome: metrics.Unknown, FirstToken: -1, QueueWait: -1})
	}
	var view struct {
		Upstreams map[string]struct {
			Outcomes map[string]int64 `json:"outcomes"`
		} `json:"upstreams"`
	}
	if err := json.Unmarshal([]byte(r.Var().String()), &view); err != nil {
		t.Fatal(err)
	}
	if n := len(view.Upstreams); n > 64 {
		t.Errorf("histograms for %d upstreams, want at most 64", n)
	}
	if got := view.Upstreams["busy"].Outcomes["unknown"]; got != 10_000 {
		t.Errorf("busy upstream has %d unknown outcomes, want 10000", got)
	}
}

func TestPredictionErrors(t *testing.T) {
	var r metrics.Registry
	r.ObservePrediction("s", 100*time.Millisecond, 130*time.Millisecond)
	r.ObservePrediction("s", 100*time.Millisecond, 20*time.Millisecond)
	var view struct {
		Predictions map[string]map[string]struct {
			Count int64 `json:"count"`
			MaxUs int64 `json:"max_us"`
		} `json:"predictions"`
	}
	if err := json.Unmarshal([]byte(r.Var().String()), &view); err != nil {
		t.Fatal(err)
	}
	late, early := view.Predictions["s"]["late"], view.Predictions["s"]["early"]
	if late.Count != 1 || late.MaxUs < 29_000 || late.MaxUs > 31_000 {
		t.Errorf("late %+v, want one of 30 ms", late)
	}
	if early.Count != 1 || early.MaxUs < 79_000 || early.MaxUs > 81_000 {
		t.Errorf("early %+v, want one of 80 ms", early)
	}
}
