// Package peer defines the messages between instances, and converts them to and
// from the types of the coordination packages.
package peer

import (
	"time"

	"samphirehead/coordination/limit"
	"samphirehead/state/id"
)

// LoanToProto converts a request for credits to a message.
func LoanToProto(b limit.Borrow) *Loan {
	return &Loan{
		Workspace:     string(b.Workspace),
		Requests:      b.Want.Requests,
		Tokens:        b.Want.Tokens,
		SpentRequests: b.Spent.Requests,
		SpentTokens:   b.Spent.Tokens,
	}
}

// AsRequest converts l to a request for credits.
func (l *Loan) AsRequest() limit.BorrowReceived {
	return limit.BorrowReceived{
		Workspace: id.Workspace(l.Workspace),
		Want:      limit.Amount{Requests: l.Requests, Tokens: l.Tokens},
		Spent:     limit.Amount{Requests: l.SpentRequests, Tokens: l.SpentTokens},
	}
}

// CreditToProto converts granted credits to a message.
func CreditToProto(g limit.Granted) *Credit {
	return &Credit{
		Workspace:    string(g.Workspace),
		Requests:     g.Amount.Requests,
		Tokens:       g.Amount.Tokens,
		ValidUs:      limit.CreditValidity.Microseconds(),
		RetryAfterUs: g.RetryAfter.Microseconds(),
	}
}

// AsGrant converts c to granted credits.
func (c *Credit) AsGrant() limit.Granted {
	return limit.Granted{
		Workspace:  id.Workspace(c.Workspace),
		Amount:     limit.Amount{Requests: c.Requests, Tokens: c.Tokens},
		RetryAfter: time.Duration(c.RetryAfterUs) * time.Microsecond,
	}
}
