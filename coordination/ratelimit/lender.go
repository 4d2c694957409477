package ratelimit

import (
	"time"

	"samphirehead/state/id"
)

// Lender lends the rates of the workspaces whose limit home is this instance.
// It is not safe for concurrent use.
type Lender struct {
	rates   map[id.Workspace]Amount
	buckets map[id.Workspace]*bucket
}

// LenderEvent is one input of a Lender.
type LenderEvent interface{ lenderEvent() }

// RatesSet replaces all rates.
type RatesSet struct{ Rates map[id.Workspace]Amount }

// BorrowReceived carries the Borrow of a borrower, local or remote.
type BorrowReceived struct {
	Workspace id.Workspace
	Want      Amount
	// Spent is what the borrower used beyond earlier credit. It is charged
	// first.
	Spent Amount
}

// LenderTicked removes idle buckets. An interval of a second between ticks is
// short enough.
type LenderTicked struct{}

func (RatesSet) lenderEvent()       {}
func (BorrowReceived) lenderEvent() {}
func (LenderTicked) lenderEvent()   {}

// LenderEffect is one output of a Lender.
type LenderEffect interface{ lenderEffect() }

// Granted answers BorrowReceived.
type Granted struct {
	Workspace id.Workspace
	// Amount may be used for CreditValidity.
	Amount Amount
	// RetryAfter is set when nothing is lent.
	RetryAfter time.Duration
}

func (Granted) lenderEffect() {}

// idleTimeout is how long an unused bucket or account is kept. It is longer
// than BurstWindow, so that a removed bucket has refilled and equals a new one.
const idleTimeout = time.Minute

// Step applies ev at now and returns the effects to carry out, in order.
func (l *Lender) Step(now time.Time, ev LenderEvent) []LenderEffect {
	switch ev := ev.(type) {
	case RatesSet:
		l.rates = ev.Rates
	case BorrowReceived:
		return []LenderEffect{l.lend(now, ev)}
	case LenderTicked:
		l.removeIdle(now)
	}
	return nil
}

// Buckets returns the number of workspaces that have a bucket.
func (l *Lender) Buckets() int { return len(l.buckets) }

// lend grants at most half of what the bucket holds, so that one borrower
// leaves credit for the others.
func (l *Lender) lend(now time.Time, ev BorrowReceived) Granted {
	rate := l.rates[ev.Workspace]
	b := l.bucket(ev.Workspace)
	b.refill(now, rate, bucketCapacity(rate))
	b.level = b.level.sub(ev.Spent)
	if !b.level.covers(rate) {
		return Granted{Workspace: ev.Workspace, RetryAfter: max(refillDelay(b.level, rate), minLoanInterval)}
	}
	maxLoan := b.level.scale(0.5).atLeast(Amount{Requests: 1, Tokens: 1}).atMost(b.level)
	lent := ev.Want.atMost(maxLoan).atLeast(Amount{})
	b.level = b.level.sub(lent)
	return Granted{Workspace: ev.Workspace, Amount: lent}
}

func (l *Lender) bucket(workspace id.Workspace) *bucket {
	if b, ok := l.buckets[workspace]; ok {
		return b
	}
	if l.buckets == nil {
		l.buckets = map[id.Workspace]*bucket{}
	}
	b := &bucket{}
	l.buckets[workspace] = b
	return b
}

func (l *Lender) removeIdle(now time.Time) {
	for workspace, b := range l.buckets {
		if now.Sub(b.refilledAt) >= idleTimeout {
			delete(l.buckets, workspace)
		}
	}
}
