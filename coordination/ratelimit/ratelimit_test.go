package ratelimit_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"samphirehead/coordination/ratelimit"
	"samphirehead/state/id"
)

// TestMain fixes the seed of rapid unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261")
	}
	os.Exit(m.Run())
}

const latency = 2 * time.Millisecond

// system connects borrowers to one lender in virtual time. Loans take a fixed
// time and fail while down is set.
type system struct {
	now          time.Time
	rate         ratelimit.Amount
	lender       ratelimit.Lender
	borrowers    []*ratelimit.Borrower
	loans        []pendingLoan
	down         bool
	admitted     int
	loanRequests int
}

type pendingLoan struct {
	answerAt time.Time
	borrower int
	borrow   ratelimit.Borrow
}

func newSystem(n int, rate ratelimit.Amount) *system {
	s := &system{now: time.Unix(1000, 0), rate: rate}
	rates := map[id.Workspace]ratelimit.Amount{"w": rate}
	s.lender.Step(s.now, ratelimit.RatesSet{Rates: rates})
	for range n {
		b := &ratelimit.Borrower{}
		b.Step(s.now, ratelimit.Configured{Rates: rates, Instances: n})
		s.borrowers = append(s.borrowers, b)
	}
	return s
}

// request asks one borrower to admit a request, advances the time while the
// answer is Wait, and reports whether the request was admitted.
func (s *system) request(borrower int, tokens float64) bool {
	for try := range 3 {
		admitted, wait := false, false
		for _, effect := range s.borrowers[borrower].Step(s.now, ratelimit.AdmissionRequested{Workspace: "w", Tokens: tokens, Retry: try > 0}) {
			switch effect := effect.(type) {
			case ratelimit.Admitted:
				s.admitted++
				admitted = true
			case ratelimit.Borrow:
				s.loanRequests++
				s.loans = append(s.loans, pendingLoan{answerAt: s.now.Add(latency), borrower: borrower, borrow: effect})
			case ratelimit.Wait:
				wait = true
			case ratelimit.Denied:
			}
		}
		if !wait {
			return admitted
		}
		s.advance(latency)
	}
	return false
}

func (s *system) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.loans) > 0 && !s.loans[0].answerAt.After(end) {
		l := s.loans[0]
		s.loans = s.loans[1:]
		s.now = l.answerAt
		s.answer(l)
	}
	s.now = end
}

func (s *system) answer(l pendingLoan) {
	if s.down {
		s.borrowers[l.borrower].Step(s.now, ratelimit.BorrowFailed{Workspace: "w"})
		return
	}
	for _, effect := range s.lender.Step(s.now, ratelimit.BorrowReceived{Workspace: "w", Want: l.borrow.Want, Spent: l.borrow.Spent}) {
		if g, ok := effect.(ratelimit.Granted); ok {
			s.borrowers[l.borrower].Step(s.now, ratelimit.CreditReceived{Workspace: "w", Amount: g.Amount, RetryAfter: g.RetryAfter})
		}
	}
}

// bound returns the documented maximum of requests admitted since the start.
// While loans fail, and for a second after that, the borrowers admit their
// shares in addition to what the lender lends.
func (s *system) bound(elapsed, failing time.Duration) float64 {
	burst := max(s.rate.Requests, 1)
	shares := float64(len(s.borrowers)) * max(s.rate.Requests/float64(len(s.borrowers)), 1)
	return s.rate.Requests*(elapsed+failing).Seconds() + 2*burst + shares
}

// TestAdmissionsStayWithinBound checks after every request, under random load
// and with loans that fail, that no more requests were admitted than bound
// allows.
func TestAdmissionsStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "borrowers")
		s := newSystem(n, ratelimit.Amount{Requests: float64(rapid.IntRange(1, 200).Draw(t, "rate")) / 2})
		start := s.now
		var failing time.Duration
		for range rapid.IntRange(10, 60).Draw(t, "bursts") {
			s.down = rapid.IntRange(0, 4).Draw(t, "down") == 0
			burstStart, failingBefore := s.now, failing
			borrower := rapid.IntRange(0, n-1).Draw(t, "borrower")
			for range rapid.IntRange(1, 100).Draw(t, "requests") {
				s.request(borrower, 10)
				if s.down {
					failing = failingBefore + s.now.Sub(burstStart) + time.Second
				}
				if bound := s.bound(s.now.Sub(start), failing); float64(s.admitted) > bound {
					t.Fatalf("%d admitted in %s, bound %.1f", s.admitted, s.now.Sub(start), bound)
				}
			}
			pause := time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond
			s.advance(pause)
			if s.down {
				failing += pause
			}
		}
	})
}

// TestAdmittedShareOfLimit measures which share of a limit of 200 requests a
// second is admitted when three times as many are sent for 20 s.
func TestAdmittedShareOfLimit(t *testing.T) {
	const rate, seconds = 200, 20
	for _, c := range []struct {
		name string
		// borrowerOf returns the borrower of the i-th request.
		borrowerOf  func(i int) int
		down        bool
		least, most float64
	}{
		{"spread evenly", func(i int) int { return i % 4 }, false, 0.95, 1.1},
		{"all at one borrower", func(int) int { return 0 }, false, 0.95, 1.1},
		{"nine in ten at one borrower", func(i int) int { return max(0, i%40-36) }, false, 0.95, 1.1},
		{"home down, spread evenly", func(i int) int { return i % 4 }, true, 0.95, 1.1},
		{"home down, all at one borrower", func(int) int { return 0 }, true, 0.24, 0.28},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSystem(4, ratelimit.Amount{Requests: rate})
			s.down = c.down
			start := s.now
			for i := 0; s.now.Sub(start) < seconds*time.Second; i++ {
				s.request(c.borrowerOf(i), 0)
				s.advance(time.Second / (3 * rate))
			}
			got := float64(s.admitted) / (rate * seconds)
			t.Logf("%.3f of the limit, %.1f loans a second", got, float64(s.loanRequests)/seconds)
			if loans := float64(s.loanRequests) / seconds; loans > 100 {
				t.Errorf("%.1f loans a second for 4 borrowers", loans)
			}
			if got < c.least || got > c.most {
				t.Errorf("%.3f of the limit admitted, want %.2f to %.2f", got, c.least, c.most)
			}
		})
	}
}

// TestTokenLimitWithLowEstimates checks that a token limit holds when answers
// are longer than estimated.
func TestTokenLimitWithLowEstimates(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("home down=%v", down), func(t *testing.T) { checkTokens(t, down) })
	}
}

func checkTokens(t *testing.T, down bool) {
	t.Helper()
	const rate, seconds = 1000, 30
	s := newSystem(4, ratelimit.Amount{Tokens: rate})
	s.down = down
	start := s.now
	used := 0.0
	for i := 0; s.now.Sub(start) < seconds*time.Second; i++ {
		borrower := i % 4
		if s.request(borrower, 50) {
			// Each answer uses three times its estimate.
			s.borrowers[borrower].Step(s.now, ratelimit.EstimateCorrected{Workspace: "w", Tokens: 100})
			used += 150
		}
		s.advance(10 * time.Millisecond)
	}
	got := used / (rate * seconds)
	t.Logf("%.3f of the limit used", got)
	if got < 0.9 || got > 1.15 {
		t.Errorf("%.3f of the token limit used", got)
	}
}

// TestDeniedRetryAfter checks that a denied request is admitted after
// RetryAfter has passed, and not before.
func TestDeniedRetryAfter(t *testing.T) {
	s := newSystem(1, ratelimit.Amount{Requests: 2})
	for s.request(0, 0) {
		s.advance(time.Millisecond)
	}
	var retryAfter time.Duration
	for _, effect := range s.borrowers[0].Step(s.now, ratelimit.AdmissionRequested{Workspace: "w"}) {
		if d, ok := effect.(ratelimit.Denied); ok {
			retryAfter = d.RetryAfter
		}
	}
	if retryAfter <= 0 || retryAfter > time.Second {
		t.Fatalf("retry after %s at 2 requests a second", retryAfter)
	}
	s.advance(retryAfter * 9 / 10)
	if s.request(0, 0) {
		t.Error("admitted before RetryAfter has passed")
	}
	s.advance(retryAfter / 10)
	if !s.request(0, 0) {
		t.Error("not admitted after RetryAfter has passed")
	}
}

func TestUnlimitedWorkspaceHasNoAccount(t *testing.T) {
	b := &ratelimit.Borrower{}
	for _, effect := range b.Step(time.Unix(1000, 0), ratelimit.AdmissionRequested{Workspace: "w", Tokens: 1e9}) {
		if _, ok := effect.(ratelimit.Admitted); !ok {
			t.Errorf("got effect %T, want ratelimit.Admitted", effect)
		}
	}
	if b.Accounts() != 0 {
		t.Error("an account for a workspace without limits")
	}
}

func TestIdleWorkspacesAreRemoved(t *testing.T) {
	s := newSystem(1, ratelimit.Amount{Requests: 5})
	s.request(0, 0)
	s.advance(time.Second)
	s.advance(2 * time.Minute)
	s.lender.Step(s.now, ratelimit.LenderTicked{})
	s.borrowers[0].Step(s.now, ratelimit.BorrowerTicked{})
	if s.lender.Buckets() != 0 || s.borrowers[0].Accounts() != 0 {
		t.Errorf("%d buckets and %d accounts are left", s.lender.Buckets(), s.borrowers[0].Accounts())
	}
}

func BenchmarkAdmissionRequested(b *testing.B) {
	for _, n := range []int{10, 1000, 37000} {
		rates := map[id.Workspace]ratelimit.Amount{}
		names := make([]id.Workspace, n)
		for i := range n {
			names[i] = id.Workspace(fmt.Sprint("workspace-", i))
			rates[names[i]] = ratelimit.Amount{Requests: 100, Tokens: 10000}
		}
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			borrower := &ratelimit.Borrower{}
			now := time.Unix(1000, 0)
			borrower.Step(now, ratelimit.Configured{Rates: rates, Instances: 4})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Microsecond)
				for _, effect := range borrower.Step(now, ratelimit.AdmissionRequested{Workspace: names[i%n], Tokens: 100}) {
					if borrow, ok := effect.(ratelimit.Borrow); ok {
						borrower.Step(now, ratelimit.CreditReceived{Workspace: borrow.Workspace, Amount: borrow.Want})
					}
				}
			}
		})
	}
}
