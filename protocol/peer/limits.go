// Package peer defines the messages between instances, and converts them to and
// from the types of the coordination packages.
package peer

import (
	"time"

	"samphirehead/coordination/ratelimit"
	"samphirehead/state/id"
)

// LoanToProto converts a request for credits to a message.
func LoanToProto(b ratelimit.Borrow) *Loan {
	return &Loan{
		Workspace:     string(b.Workspace),
		Requests:      b.Want.Requests,
		Tokens:        b.Want.Tokens,
		SpentRequests: b.Spent.Requests,
		SpentTokens:   b.Spent.Tokens,
	}
}

// AsRequest converts l to a request for credits.
func (l *Loan) AsRequest() ratelimit.BorrowReceived {
	return ratelimit.BorrowReceived{
		Workspace: id.Workspace(l.Workspace),
		Want:      ratelimit.Amount{Requests: l.Requests, Tokens: l.Tokens},
		Spent:     ratelimit.Amount{Requests: l.SpentRequests, Tokens: l.SpentTokens},
	}
}

// CreditToProto converts granted credits to a message.
func CreditToProto(g ratelimit.Granted) *Credit {
	return &Credit{
		Workspace:    string(g.Workspace),
		Requests:     g.Amount.Requests,
		Tokens:       g.Amount.Tokens,
		ValidUs:      ratelimit.CreditValidity.Microseconds(),
		RetryAfterUs: g.RetryAfter.Microseconds(),
	}
}

// AsGrant converts c to granted credits.
func (c *Credit) AsGrant() ratelimit.Granted {
	return ratelimit.Granted{
		Workspace:  id.Workspace(c.Workspace),
		Amount:     ratelimit.Amount{Requests: c.Requests, Tokens: c.Tokens},
		RetryAfter: time.Duration(c.RetryAfterUs) * time.Microsecond,
	}
}
