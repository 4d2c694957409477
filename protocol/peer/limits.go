// Package peer holds the messages between instances and their mapping to the
// events of the decisions.
package peer

import (
	"time"

	"samphirehead/coordination/limit"
	"samphirehead/state/id"
)

// LoanFrom makes the message that asks for credits.
func LoanToProto(b limit.Borrow) *Loan {
	return &Loan{
		Workspace:     string(b.Workspace),
		Requests:      b.Want.Requests,
		Tokens:        b.Want.Tokens,
		SpentRequests: b.Spent.Requests,
		SpentTokens:   b.Spent.Tokens,
	}
}

// Asked reads the message that asks for credits.
func (l *Loan) AsRequest() limit.BorrowReceived {
	return limit.BorrowReceived{
		Workspace: id.Workspace(l.Workspace),
		Want:      limit.Amount{Requests: l.Requests, Tokens: l.Tokens},
		Spent:     limit.Amount{Requests: l.SpentRequests, Tokens: l.SpentTokens},
	}
}

// CreditFrom makes the message that lends.
func CreditToProto(g limit.Granted) *Credit {
	return &Credit{
		Workspace:    string(g.Workspace),
		Requests:     g.Amount.Requests,
		Tokens:       g.Amount.Tokens,
		ValidUs:      limit.CreditValidity.Microseconds(),
		RetryAfterUs: g.RetryAfter.Microseconds(),
	}
}

// Granted reads the message that lends.
func (c *Credit) AsGrant() limit.Granted {
	return limit.Granted{
		Workspace:  id.Workspace(c.Workspace),
		Amount:     limit.Amount{Requests: c.Requests, Tokens: c.Tokens},
		RetryAfter: time.Duration(c.RetryAfterUs) * time.Microsecond,
	}
}
