package share_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"samphirehead/coordination/share"
)

const (
	ratio  = 0.2
	slack  = 56
	window = 10 * time.Second
)

func newShare() *share.Share { return &share.Share{Ratio: ratio, Slack: slack, Window: window} }

// The sum over all instances stays below the budget, however the requests are
// split between them, in any window.
func TestSumStaysBelowBudget(t *testing.T) {
	const instances = 4
	random := rand.New(rand.NewPCG(1, 2))
	var shares []*share.Share
	for range instances {
		shares = append(shares, newShare())
	}
	var requests, repeats []time.Time
	now := time.Unix(5000, 0)
	for range 40_000 {
		now = now.Add(time.Millisecond)
		s := shares[int(random.Float64()*random.Float64()*instances)]
		if random.IntN(8) == 0 {
			s.Arrived(now, "s")
			requests = append(requests, now)
		}
		if s.Take(now, "s", instances) {
			repeats = append(repeats, now)
		}
	}
	if len(repeats) == 0 {
		t.Fatal("no repeat was allowed")
	}
	for i, first := range repeats {
		n := 0
		for _, r := range repeats[i:] {
			if r.Sub(first) < window {
				n++
			}
		}
		asked := 0
		for _, r := range requests {
			if since := r.Sub(first); since >= 0 && since < window {
				asked++
			}
		}
		if bound := ratio*float64(asked) + slack; float64(n) > bound {
			t.Fatalf("%d repeats within %s of %s, budget %.0f", n, window, first, bound)
		}
	}
}

func TestBudgetReturnsAfterWindow(t *testing.T) {
	s := newShare()
	now := time.Unix(5000, 0)
	for s.Take(now, "s", 1) {
		continue
	}
	if s.Take(now.Add(window/2), "s", 1) {
		t.Error("a spent budget is back within the window")
	}
	if !s.Take(now.Add(2*window), "s", 1) {
		t.Error("a spent budget is not back after the window")
	}
}

func TestServicesHaveBudgetsOfTheirOwn(t *testing.T) {
	s := newShare()
	now := time.Unix(5000, 0)
	for s.Take(now, "a", 1) {
		continue
	}
	if !s.Take(now, "b", 1) {
		t.Error("the repeats of one service spent the budget of another")
	}
}
