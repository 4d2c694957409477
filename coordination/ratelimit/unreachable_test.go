package ratelimit_test

import (
	"testing"
	"time"

	"samphirehead/coordination/ratelimit"
	"samphirehead/state/id"
)

// TestOverdrawnCreditWithHomeUnreachable checks that a borrower whose credit is
// overdrawn still admits from its own share while the home is unreachable.
func TestOverdrawnCreditWithHomeUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	rate := ratelimit.Amount{Requests: 1000, Tokens: 100_000}
	var b ratelimit.Borrower
	b.Step(now, ratelimit.Configured{Rates: map[id.Workspace]ratelimit.Amount{"w": rate}, Instances: 4})
	b.Step(now, ratelimit.AdmissionRequested{Workspace: "w", Tokens: 10})
	b.Step(now, ratelimit.CreditReceived{Workspace: "w", Amount: ratelimit.Amount{Requests: 4, Tokens: 20}})
	// This request uses most of the credit's tokens, but leaves it enough
	// requests, and causes another Borrow.
	b.Step(now, ratelimit.AdmissionRequested{Workspace: "w", Tokens: 15})
	b.Step(now, ratelimit.BorrowFailed{Workspace: "w"})
	b.Step(now, ratelimit.AdmissionRequested{Workspace: "w", Tokens: 60})
	for _, effect := range b.Step(now, ratelimit.AdmissionRequested{Workspace: "w", Tokens: 10}) {
		if _, ok := effect.(ratelimit.Admitted); ok {
			return
		}
	}
	t.Error("a request far below the share was not admitted")
}
