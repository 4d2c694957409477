package limit

import (
	"math"
	"time"

	"samphirehead/state/id"
)

const (
	// blockTime is the expected demand that one loan covers.
	loanWindow = 500 * time.Millisecond
	// demandTime is the time constant of the estimate of demand.
	demandTimeConstant = time.Second
	// unreachableFor is how long after a failed loan the own share is used
	// without asking again.
	homeRetryDelay = time.Second
)

// Borrower admits the requests of one entry against credits lent by the limit
// homes. While a home cannot be reached it admits the entry's equal share of
// the rate. It is not safe for concurrent use.
type Borrower struct {
	rates     map[id.Workspace]Amount
	instances int
	// accounts holds limited workspaces used in the last forgetIdle.
	accounts map[id.Workspace]*account
}

type account struct {
	credit        Amount
	creditExpires time.Time
	// share is the entry's equal part of the rate. What is used of it while
	// the home can be reached is owed, and reported with the next loan.
	share      bucket
	unreported Amount
	// demand is a decaying count, over demandTime, of what was asked for.
	demand          Amount
	demandUpdatedAt time.Time
	// inFlight is set while a loan is asked for.
	loanInFlight bool
	// wanted and reported are what the loan under way asks for, and what it
	// reports as spent.
	wanted   Amount
	reported Amount
	// exhausted is until when the home has nothing to lend.
	exhaustedUntil time.Time
	// unreachable is until when the home counts as unreachable.
	unreachableUntil time.Time
	usedAt           time.Time
}

// BorrowerEvent is one input of a Borrower.
type BorrowerEvent interface{ borrowerEvent() }

// Configured replaces all rates and the number of live instances.
type Configured struct {
	Rates     map[id.Workspace]Amount
	Instances int
}

// Requested asks to admit a request with an estimate of its tokens.
type AdmissionRequested struct {
	Workspace id.Workspace
	Tokens    float64
	// Again is set after a Wait.
	Retry bool
}

// Settled corrects the estimate of an admitted request.
type EstimateCorrected struct {
	Workspace id.Workspace
	// Tokens is what was used beyond the estimate; negative below it.
	Tokens float64
}

// Lent reports the answer to a Borrow.
type CreditReceived struct {
	Workspace  id.Workspace
	Amount     Amount
	RetryAfter time.Duration
}

// Failed reports that a Borrow got no answer.
type BorrowFailed struct{ Workspace id.Workspace }

// Passed passes time; a second apart will do.
type BorrowerTicked struct{}

func (Configured) borrowerEvent()         {}
func (AdmissionRequested) borrowerEvent() {}
func (EstimateCorrected) borrowerEvent()  {}
func (CreditReceived) borrowerEvent()     {}
func (BorrowFailed) borrowerEvent()       {}
func (BorrowerTicked) borrowerEvent()     {}

// BorrowerEffect is one output of a Borrower.
type BorrowerEffect interface{ borrowerEffect() }

// Borrow asks the limit home of a workspace for credits. Lent or Failed is
// due; there is one Borrow of a workspace at a time.
type Borrow struct {
	Workspace id.Workspace
	Want      Amount
	Spent     Amount
}

// Admitted answers Requested.
type Admitted struct{}

// Denied answers Requested: the limit is reached.
type Denied struct{ RetryAfter time.Duration }

// Wait answers Requested: ask again after the Borrow under way has ended.
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

// Accounts returns the number of workspaces in memory.
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

// decide admits against credit, then against the share. The share bridges the
// time of a loan, so that a first request need not wait for one.
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

// indebted reports whether answers took more tokens than was lent for them.
func (a *account) overdrawn() bool { return a.credit.Tokens < 0 }

// borrow asks for a loan when less than half a block is left.
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

// failed keeps what was reported as spent: the answer may have been lost after
// the charge, which errs towards the limit.
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

// moveDebt pays what was taken beyond the credit from the share, which counts
// while the home can't be reached.
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

// refresh lets time pass for credit, share and demand.
func (a *account) refresh(now time.Time, rate Amount, instances int) {
	if now.After(a.creditExpires) {
		// Debts stay.
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
