package metrics_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"samphirehead/state/id"
	"samphirehead/state/metrics"
)

func TestWorkspacesAreBoundedAndLargestStay(t *testing.T) {
	var r metrics.Registry
	for i := range 37_000 {
		r.Observe(metrics.Observation{Class: "urgent", Workspace: "large", Outcome: metrics.Completed, FirstToken: time.Millisecond, QueueWait: -1})
		r.Observe(metrics.Observation{Class: "urgent", Workspace: id.Workspace(fmt.Sprint("w", i)), Outcome: metrics.NotRun, FirstToken: -1, QueueWait: -1})
	}
	if n := r.Workspaces(); n > 64 {
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
