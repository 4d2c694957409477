// Package limit holds the rate limits of workspaces across all instances. A
// lender, at the limit home of a workspace, lends its rate in small blocks;
// borrowers, at the entries, admit requests against them.
package limit

import (
	"time"

	"samphirehead/state/id"
)

const (
	// Burst is the time whose rate may be used at once.
	BurstWindow = time.Second
	// Valid is how long lent credits may be used.
	CreditValidity = 2 * time.Second
	// loanGap is the least time between two loans to a borrower that wants
	// more than there is.
	minLoanInterval = 50 * time.Millisecond
)

// Amount counts requests and tokens; as a rate, for a second. A rate of 0
// means no limit.
type Amount struct {
	Requests float64
	Tokens   float64
}

// HomeOf returns the limit home of a workspace, or "" when no member can own.
func HomeOf(workspace id.Workspace, members Rendezvous) id.Instance {
	return members.Owner("workspace:" + string(workspace))
}

// Limited reports whether the rate limits anything.
func (a Amount) Limited() bool { return a.Requests > 0 || a.Tokens > 0 }

func (a Amount) add(b Amount) Amount {
	return Amount{Requests: a.Requests + b.Requests, Tokens: a.Tokens + b.Tokens}
}

func (a Amount) sub(b Amount) Amount {
	return Amount{Requests: a.Requests - b.Requests, Tokens: a.Tokens - b.Tokens}
}

func (a Amount) scale(f float64) Amount {
	return Amount{Requests: a.Requests * f, Tokens: a.Tokens * f}
}

func (a Amount) atMost(b Amount) Amount {
	return Amount{Requests: min(a.Requests, b.Requests), Tokens: min(a.Tokens, b.Tokens)}
}

func (a Amount) atLeast(b Amount) Amount {
	return Amount{Requests: max(a.Requests, b.Requests), Tokens: max(a.Tokens, b.Tokens)}
}

// of leaves out the kinds that rate does not limit.
func (a Amount) onlyLimited(rate Amount) Amount {
	if rate.Requests <= 0 {
		a.Requests = 0
	}
	if rate.Tokens <= 0 {
		a.Tokens = 0
	}
	return a
}

// covers reports whether credit a admits one more request under rate. A
// request may take the tokens below zero by itself, as its size is a guess;
// what is missing is repaid from later credits.
func (a Amount) covers(rate Amount) bool {
	if rate.Requests > 0 && a.Requests < 1 {
		return false
	}
	return rate.Tokens <= 0 || a.Tokens > 0
}

// bucket is a token bucket in both kinds.
type bucket struct {
	level      Amount
	refilledAt time.Time
}

// refill adds what rate gives since the last refill, up to bound. A new bucket
// is full.
func (b *bucket) refill(now time.Time, rate, capacity Amount) {
	switch {
	case b.refilledAt.IsZero():
		b.level = capacity
	case now.After(b.refilledAt):
		b.level = b.level.add(rate.scale(now.Sub(b.refilledAt).Seconds())).atMost(capacity)
	default:
		return
	}
	b.refilledAt = now
}

// burst is the bound of a bucket of rate: a Burst of it, or one request.
func bucketCapacity(rate Amount) Amount {
	return rate.scale(BurstWindow.Seconds()).atLeast(Amount{Requests: 1, Tokens: 1})
}

// untilPositive returns the time after which a bucket at level covers one
// request again.
func refillDelay(level, rate Amount) time.Duration {
	var seconds float64
	if rate.Requests > 0 {
		seconds = max(seconds, (1-level.Requests)/rate.Requests)
	}
	if rate.Tokens > 0 {
		seconds = max(seconds, -level.Tokens/rate.Tokens)
	}
	return time.Duration(seconds * float64(time.Second))
}
