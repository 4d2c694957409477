package retrybudget_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"samphirehead/coordination/retrybudget"
)

const (
	ratio  = 0.2
	slack  = 56
	window = 10 * time.Second
)

func newBudget() *retrybudget.Budget {
	return &retrybudget.Budget{Ratio: ratio, Slack: slack, Window: window}
}

// The retries of all instances together must stay below the budget in any
// window, even if callers spread their requests unevenly over the instances.
func TestInstancesTogetherStayWithinBudget(t *testing.T) {
	const instances = 4
	random := rand.New(rand.NewPCG(1, 2))
	var budgets []*retrybudget.Budget
	for range instances {
		budgets = append(budgets, newBudget())
	}
	var requests, retries []time.Time
	now := time.Unix(5000, 0)
	for range 40_000 {
		now = now.Add(time.Millisecond)
		b := budgets[int(random.Float64()*random.Float64()*instances)]
		if random.IntN(8) == 0 {
			b.RecordRequest(now, "s")
			requests = append(requests, now)
		}
		if b.Allow(now, "s", instances) {
			retries = append(retries, now)
		}
	}
	if len(retries) == 0 {
		t.Fatal("no retry was allowed")
	}
	for i, first := range retries {
		retryCount := 0
		for _, r := range retries[i:] {
			if r.Sub(first) < window {
				retryCount++
			}
		}
		requestCount := 0
		for _, r := range requests {
			if since := r.Sub(first); since >= 0 && since < window {
				requestCount++
			}
		}
		if bound := ratio*float64(requestCount) + slack; float64(retryCount) > bound {
			t.Fatalf("%d retries within %s of %s, budget %.0f", retryCount, window, first, bound)
		}
	}
}

func TestBudgetRecoversAfterWindow(t *testing.T) {
	b := newBudget()
	now := time.Unix(5000, 0)
	for b.Allow(now, "s", 1) {
		continue
	}
	if b.Allow(now.Add(window/2), "s", 1) {
		t.Error("a retry was allowed before the spent ones left the window")
	}
	if !b.Allow(now.Add(2*window), "s", 1) {
		t.Error("no retry was allowed after the spent ones left the window")
	}
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := newBudget()
	now := time.Unix(5000, 0)
	for b.Allow(now, "a", 1) {
		continue
	}
	if !b.Allow(now, "b", 1) {
		t.Error("the retries of one service spent the budget of another")
	}
}
