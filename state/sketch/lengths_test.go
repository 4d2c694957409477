package sketch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"samphirehead/state/id"
	"samphirehead/state/sketch"
)

func within(got, want id.Tokens, tolerance float64) bool {
	return math.Abs(float64(got-want)) <= tolerance*float64(want)
}

func TestEstimateFollowsTheWorkspace(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var l sketch.Lengths
	for range 1000 {
		l.Observe("quick", "short", id.Tokens(50+random.IntN(100)))
		l.Observe("quick", "long", id.Tokens(1000+random.IntN(2000)))
	}
	for workspace, want := range map[id.Workspace]sketch.Estimate{
		"short": {Median: 100, High: 140}, "long": {Median: 2000, High: 2800},
	} {
		got := l.Estimate("quick", workspace)
		if !within(got.Median, want.Median, 0.1) || !within(got.High, want.High, 0.1) {
			t.Errorf("%s: got %+v, want about %+v", workspace, got, want)
		}
	}
	if got := l.Estimate("quick", "new"); got.Median < 100 || got.Median > 2000 {
		t.Errorf("the estimate for a new workspace is %+v, want that of its class", got)
	}
	if got := l.Estimate("dossier", "short"); got.Median != 256 {
		t.Errorf("the estimate for a new class is %+v, want the default", got)
	}
}

func TestOldLengthsLoseWeight(t *testing.T) {
	var l sketch.Lengths
	for range 2000 {
		l.Observe("quick", "w", 100)
	}
	for range 4000 {
		l.Observe("quick", "w", 1000)
	}
	if got := l.Estimate("quick", "w"); !within(got.Median, 1000, 0.05) {
		t.Errorf("the estimate is %+v after 4000 answers of length 1000", got)
	}
}

func TestWorkspacesAreBounded(t *testing.T) {
	l := sketch.Lengths{WorkspaceLimit: 10}
	for i := range 100 {
		l.Observe("quick", id.Workspace(fmt.Sprint(i)), 10)
	}
	if l.Len() != 10 {
		t.Errorf("%d workspaces are kept, want 10", l.Len())
	}
}

func BenchmarkEstimate(b *testing.B) {
	for _, n := range []int{10, 1000, 37000} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			l := sketch.Lengths{}
			names := make([]id.Workspace, n)
			for i := range names {
				names[i] = id.Workspace(fmt.Sprint(i))
			}
			for i := 0; b.Loop(); i++ {
				w := names[i%n]
				l.Observe("quick", w, id.Tokens(1+i%1000))
				l.Estimate("quick", w)
			}
		})
	}
}
