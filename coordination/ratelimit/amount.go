// Package ratelimit enforces the rate limits of workspaces across all
// instances. Each workspace has a limit home, an instance chosen by rendezvous
// hashing. The Lender there lends the rate in small blocks of credit, and the
// Borrower of each instance admits requests against the credit that it was lent.
package ratelimit

import (
	"time"

	"samphirehead/state/id"
)

const (
	// BurstWindow is the period whose rate may be used at once: a full
	// bucket holds what the rate yields in it.
	BurstWindow = time.Second
	// CreditValidity is how long lent credit may be used.
	CreditValidity = 2 * time.Second
	// minLoanInterval is the minimum time between two loans to a borrower
	// that requests more than the home can lend.
	minLoanInterval = 50 * time.Millisecond
)

// Amount counts requests and tokens. As a rate, it counts them per second, and
// 0 means no limit.
type Amount struct {
	Requests float64
	Tokens   float64
}

// HomeOf returns the limit home of a workspace, or "" if no member is eligible.
func HomeOf(workspace id.Workspace, members Rendezvous) id.Instance {
	return members.Owner("workspace:" + string(workspace))
}

// Limited reports whether the rate limits requests or tokens.
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

// onlyLimited sets the parts of a to zero that rate does not limit.
func (a Amount) onlyLimited(rate Amount) Amount {
	if rate.Requests <= 0 {
		a.Requests = 0
	}
	if rate.Tokens <= 0 {
		a.Tokens = 0
	}
	return a
}

// covers reports whether credit a admits one more request under rate. One
// request may take the tokens below zero, because its token count is an
// estimate; later credit repays the difference.
func (a Amount) covers(rate Amount) bool {
	if rate.Requests > 0 && a.Requests < 1 {
		return false
	}
	return rate.Tokens <= 0 || a.Tokens > 0
}

// bucket is a pair of token buckets, one for requests and one for tokens.
type bucket struct {
	level      Amount
	refilledAt time.Time
}

// refill adds what rate yielded since the last refill, up to capacity. A new
// bucket starts full.
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

// bucketCapacity returns what rate yields in BurstWindow, but at least one
// request and one token.
func bucketCapacity(rate Amount) Amount {
	return rate.scale(BurstWindow.Seconds()).atLeast(Amount{Requests: 1, Tokens: 1})
}

// refillDelay returns how long it takes until a bucket at level covers one
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
