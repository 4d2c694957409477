package limit_test

import (
	"testing"
	"time"

	"samphirehead/coordination/limit"
	"samphirehead/state/id"
)

// TestDebtWhileTheHomeIsGone checks that a request which takes the last credit
// below zero does not keep the entry from its own share.
func TestOverdrawnCreditWithHomeUnreachable(t *testing.T) {
	now := time.Unix(1000, 0)
	rate := limit.Amount{Requests: 1000, Tokens: 100_000}
	var b limit.Borrower
	b.Step(now, limit.Configured{Rates: map[id.Workspace]limit.Amount{"w": rate}, Instances: 4})
	b.Step(now, limit.AdmissionRequested{Workspace: "w", Tokens: 10})
	b.Step(now, limit.CreditReceived{Workspace: "w", Amount: limit.Amount{Requests: 4, Tokens: 20}})
	// Uses up the credit's tokens but not its requests, and asks for a loan.
	b.Step(now, limit.AdmissionRequested{Workspace: "w", Tokens: 15})
	b.Step(now, limit.BorrowFailed{Workspace: "w"})
	b.Step(now, limit.AdmissionRequested{Workspace: "w", Tokens: 60})
	for _, effect := range b.Step(now, limit.AdmissionRequested{Workspace: "w", Tokens: 10}) {
		if _, ok := effect.(limit.Admitted); ok {
			return
		}
	}
	t.Error("a request far below the share was not admitted")
}
