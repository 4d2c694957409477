package ratelimit

import (
	"math"
	"time"

	"samphirehead/state/id"
)

const (
	// loanWindow is the period of expected demand that one loan covers.
	loanWindow = 500 * time.Millisecond
	// demandTimeConstant is the time constant of the decaying demand count.
	demandTimeConstant = time.Second
	// homeRetryDelay is how long after a failed loan a borrower uses its own
	// share without asking the home again.
	homeRetryDelay = time.Second
)

// Borrower admits the requests that enter at one instance against credit lent
// by the limit homes. While a home is unreachable, it admits the instance's
// equal share of the rate. It is not safe for concurrent use.
type Borrower struct {
	rates     map[id.Workspace]Amount
	instances int
	// accounts holds the limited workspaces used within idleTimeout.
	accounts map[id.Workspace]*account
}

type account struct {
	credit        Amount
	creditExpires time.Time
	// share is refilled at the instance's equal part of the rate. The amount
	// used from it while the home is reachable is added to unreported, and
	// the next Borrow reports it to the home.
	share      bucket
	unreported Amount
	// demand is an exponentially decaying count of what requests needed,
	// with time constant demandTimeConstant.
	demand          Amount
	demandUpdatedAt time.Time
	// loanInFlight is set from a Borrow until it is answered or has failed.
	loanInFlight bool
	// wanted and reported are the Want and the Spent of the Borrow in
	// flight.
	wanted   Amount
	reported Amount
	// exhaustedUntil is when the home may have credit to lend again.
	exhaustedUntil time.Time
	// unreachableUntil is when an unreachable home is asked again.
	unreachableUntil time.Time
	usedAt           time.Time
}

// BorrowerEvent is one input of a Borrower.
type BorrowerEvent interface{ borrowerEvent() }

// Configured replaces all rates and the number of instances that share them.
type Configured struct {
	Rates     map[id.Workspace]Amount
	Instances int
}

// AdmissionRequested asks to admit a request.
type AdmissionRequested struct {
	Workspace id.Workspace
	// Tokens is the estimated number of tokens that the request uses.
	Tokens float64
	// Retry is set when the same request asks again after a Wait, so that
	// its demand is counted once.
	Retry bool
}

// EstimateCorrected corrects the estimate of an admitted request.
type EstimateCorrected struct {
	Workspace id.Workspace
	// Tokens is the number of tokens used beyond the estimate. It is
	// negative if fewer were used.
	Tokens float64
}

// CreditReceived reports the answer to a Borrow.
type CreditReceived struct {
	Workspace  id.Workspace
	Amount     Amount
	RetryAfter time.Duration
}

// BorrowFailed reports that a Borrow got no valid answer.
type BorrowFailed struct{ Workspace id.Workspace }

// BorrowerTicked removes idle accounts. An interval of a second between ticks
// is short enough.
type BorrowerTicked struct{}

func (Configured) borrowerEvent()         {}
func (AdmissionRequested) borrowerEvent() {}
func (EstimateCorrected) borrowerEvent()  {}
func (CreditReceived) borrowerEvent()     {}
func (BorrowFailed) borrowerEvent()       {}
func (BorrowerTicked) borrowerEvent()     {}

// BorrowerEffect is one output of a Borrower.
type BorrowerEffect interface{ borrowerEffect() }

// Borrow asks the limit home of a workspace for credit, to be answered by
// CreditReceived or BorrowFailed. A workspace has at most one Borrow in flight.
type Borrow struct {
	Workspace id.Workspace
	Want      Amount
	// Spent is what was used of the share and is not yet reported.
	Spent Amount
}

// Admitted answers AdmissionRequested: the request is within the limit.
type Admitted struct{}

// Denied answers AdmissionRequested: the limit is reached.
type Denied struct{ RetryAfter time.Duration }

// Wait answers AdmissionRequested: the request should ask again, with Retry
// set, after the Borrow in flight has ended.
type Wait struct{}

func (Borrow) borrowerEffect()   {}
func (Admitted) borrowerEffect() {}
func (Denied) borrowerEffect()   {}
func (Wait) borrowerEffect()     {}

// Step applies ev at now and returns the effects to carry out, in order.
func (b *Borrower) Step(now time.Time, ev BorrowerEvent) []BorrowerEffect {
	switch ev := ev.(type) {
	case Configured:
		b.rates, b.instances = ev.Rates, max(ev.Instances, 1)
	case AdmissionRequested:
		return b.request(now, ev)
	case EstimateCorrected:
		b.correctEstimate(now, ev)
	case CreditReceived:
		b.creditReceived(now, ev)
	case BorrowFailed:
		b.borrowFailed(now, ev.Workspace)
	case BorrowerTicked:
		b.removeIdle(now)
	}
	return nil
}

// Accounts returns the number of workspaces that have an account.
func (b *Borrower) Accounts() int { return len(b.accounts) }

func (b *Borrower) request(now time.Time, ev AdmissionRequested) []BorrowerEffect {
	rate := b.rates[ev.Workspace]
	if !rate.Limited() {
		return []BorrowerEffect{Admitted{}}
	}
	a := b.account(now, ev.Workspace)
	need := Amount{Requests: 1, Tokens: ev.Tokens}.onlyLimited(rate)
	a.refresh(now, rate, b.instances)
	if !ev.Retry {
		a.demand = a.demand.add(need)
	}
	answer := a.decide(now, rate, need)
	if borrow, ok := a.borrow(now, ev.Workspace, rate, need); ok {
		return []BorrowerEffect{answer, borrow}
	}
	return []BorrowerEffect{answer}
}

// decide admits a request against the credit or, if that is used up, against
// the share. The share serves requests while a loan is in flight, so that the
// first request of a workspace need not wait for one.
func (a *account) decide(now time.Time, rate, need Amount) BorrowerEffect {
	exhausted := now.Before(a.exhaustedUntil)
	if now.Before(a.unreachableUntil) {
		a.moveDebtToShare()
	}
	switch {
	case a.credit.covers(rate):
		a.credit = a.credit.sub(need)
		return Admitted{}
	case !exhausted && !a.overdrawn() && a.share.level.covers(rate):
		a.share.level = a.share.level.sub(need)
		if !now.Before(a.unreachableUntil) {
			a.unreported = a.unreported.add(need)
		}
		return Admitted{}
	case exhausted:
		return Denied{RetryAfter: a.exhaustedUntil.Sub(now)}
	case now.Before(a.unreachableUntil):
		return Denied{RetryAfter: refillDelay(a.share.level, rate)}
	}
	return Wait{}
}

// overdrawn reports whether answers used more tokens than were lent for them.
func (a *account) overdrawn() bool { return a.credit.Tokens < 0 }

// borrow returns a Borrow if less than half a block of credit is left. A block
// is the expected demand during loanWindow.
func (a *account) borrow(now time.Time, workspace id.Workspace, rate, need Amount) (Borrow, bool) {
	if a.loanInFlight || now.Before(a.exhaustedUntil) || now.Before(a.unreachableUntil) {
		return Borrow{}, false
	}
	block := a.demand.scale(loanWindow.Seconds() / demandTimeConstant.Seconds()).atLeast(need)
	surplus := a.credit.sub(block.scale(0.5))
	if !(rate.Requests > 0 && surplus.Requests <= 0) && !(rate.Tokens > 0 && surplus.Tokens <= 0) {
		return Borrow{}, false
	}
	a.loanInFlight = true
	a.reported = a.unreported
	a.unreported = Amount{}
	a.wanted = block.sub(a.credit).atLeast(Amount{}).onlyLimited(rate)
	return Borrow{Workspace: workspace, Want: a.wanted, Spent: a.reported}, true
}

func (b *Borrower) correctEstimate(now time.Time, ev EstimateCorrected) {
	a, ok := b.accounts[ev.Workspace]
	if !ok {
		return
	}
	extra := Amount{Tokens: ev.Tokens}.onlyLimited(b.rates[ev.Workspace])
	if now.Before(a.unreachableUntil) {
		a.share.level = a.share.level.sub(extra)
		return
	}
	a.credit = a.credit.sub(extra)
}

func (b *Borrower) creditReceived(now time.Time, ev CreditReceived) {
	a, ok := b.accounts[ev.Workspace]
	if !ok || !a.loanInFlight {
		return
	}
	a.loanInFlight = false
	a.reported = Amount{}
	a.unreachableUntil = time.Time{}
	a.credit = a.credit.add(ev.Amount)
	a.creditExpires = now.Add(CreditValidity)
	switch {
	case ev.RetryAfter > 0:
		a.exhaustedUntil = now.Add(ev.RetryAfter)
	case ev.Amount.Requests < a.wanted.Requests || ev.Amount.Tokens < a.wanted.Tokens:
		a.exhaustedUntil = now.Add(minLoanInterval)
	}
}

// borrowFailed adds the reported amount to unreported again, so that the next
// Borrow repeats it. If the home had charged it and only the answer was lost,
// it is charged twice: the error is towards admitting too little.
func (b *Borrower) borrowFailed(now time.Time, workspace id.Workspace) {
	a, ok := b.accounts[workspace]
	if !ok || !a.loanInFlight {
		return
	}
	a.loanInFlight = false
	a.unreported = a.unreported.add(a.reported)
	a.unreachableUntil = now.Add(homeRetryDelay)
	a.moveDebtToShare()
}

// moveDebtToShare charges the overdrawn credit to the share, which limits
// requests while the home is unreachable.
func (a *account) moveDebtToShare() {
	debt := a.credit.atMost(Amount{})
	a.credit = a.credit.sub(debt)
	a.share.level = a.share.level.add(debt)
}

func (b *Borrower) account(now time.Time, workspace id.Workspace) *account {
	a, ok := b.accounts[workspace]
	if !ok {
		if b.accounts == nil {
			b.accounts = map[id.Workspace]*account{}
		}
		a = &account{demandUpdatedAt: now}
		b.accounts[workspace] = a
	}
	a.usedAt = now
	return a
}

func shareCapacity(rate Amount, instances int) Amount {
	return bucketCapacity(rate.scale(1 / float64(max(instances, 1))))
}

// refresh brings the account up to now: unused credit expires, the share
// refills and the demand decays.
func (a *account) refresh(now time.Time, rate Amount, instances int) {
	if now.After(a.creditExpires) {
		// Overdrawn credit does not expire.
		a.credit = a.credit.atMost(Amount{})
	}
	a.share.refill(now, rate.scale(1/float64(instances)), shareCapacity(rate, instances))
	if age := now.Sub(a.demandUpdatedAt); age > 0 {
		a.demand = a.demand.scale(math.Exp(-age.Seconds() / demandTimeConstant.Seconds()))
		a.demandUpdatedAt = now
	}
}

func (b *Borrower) removeIdle(now time.Time) {
	for workspace, a := range b.accounts {
		if !a.loanInFlight && now.Sub(a.usedAt) >= idleTimeout {
			delete(b.accounts, workspace)
		}
	}
}
