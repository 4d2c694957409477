package limit

import (
	"math"
	"time"

	"samphirehead/state/id"
)

const (
	// blockTime is the expected demand that one loan covers.
	blockTime = 500 * time.Millisecond
	// demandTime is the time constant of the estimate of demand.
	demandTime = time.Second
	// unreachableFor is how long after a failed loan the own share is used
	// without asking again.
	unreachableFor = time.Second
)

// Borrower admits the requests of one entry against credits lent by the limit
// homes. While a home cannot be reached it admits the entry's equal share of
// the rate. It is not safe for concurrent use.
type Borrower struct {
	rates   map[id.Workspace]Amount
	members int
	// accounts holds limited workspaces used in the last forgetIdle.
	accounts map[id.Workspace]*account
}

type account struct {
	credit  Amount
	expires time.Time
	// share is the entry's equal part of the rate. What is used of it while
	// the home can be reached is owed, and reported with the next loan.
	share bucket
	owed  Amount
	// demand is a decaying count, over demandTime, of what was asked for.
	demand   Amount
	demandAt time.Time
	// inFlight is set while a loan is asked for.
	inFlight bool
	// wanted and reported are what the loan under way asks for, and what it
	// reports as spent.
	wanted   Amount
	reported Amount
	// exhausted is until when the home has nothing to lend.
	exhausted time.Time
	// unreachable is until when the home counts as unreachable.
	unreachable time.Time
	usedAt      time.Time
}

// BorrowerEvent is one input of a Borrower.
type BorrowerEvent interface{ borrowerEvent() }

// Configured replaces all rates and the number of live instances.
type Configured struct {
	Rates   map[id.Workspace]Amount
	Members int
}

// Requested asks to admit a request with an estimate of its tokens.
type Requested struct {
	Workspace id.Workspace
	Tokens    float64
	// Again is set after a Wait.
	Again bool
}

// Settled corrects the estimate of an admitted request.
type Settled struct {
	Workspace id.Workspace
	// Tokens is what was used beyond the estimate; negative below it.
	Tokens float64
}

// Lent reports the answer to a Borrow.
type Lent struct {
	Workspace  id.Workspace
	Amount     Amount
	RetryAfter time.Duration
}

// Failed reports that a Borrow got no answer.
type Failed struct{ Workspace id.Workspace }

// Passed passes time; a second apart will do.
type Passed struct{}

func (Configured) borrowerEvent() {}
func (Requested) borrowerEvent()  {}
func (Settled) borrowerEvent()    {}
func (Lent) borrowerEvent()       {}
func (Failed) borrowerEvent()     {}
func (Passed) borrowerEvent()     {}

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
		b.rates, b.members = ev.Rates, max(ev.Members, 1)
	case Requested:
		return b.request(now, ev)
	case Settled:
		b.settle(now, ev)
	case Lent:
		b.lent(now, ev)
	case Failed:
		b.failed(now, ev.Workspace)
	case Passed:
		b.forget(now)
	}
	return nil
}

// Accounts returns the number of workspaces in memory.
func (b *Borrower) Accounts() int { return len(b.accounts) }

func (b *Borrower) request(now time.Time, ev Requested) []BorrowerEffect {
	rate := b.rates[ev.Workspace]
	if !rate.Limited() {
		return []BorrowerEffect{Admitted{}}
	}
	a := b.account(now, ev.Workspace)
	need := Amount{Requests: 1, Tokens: ev.Tokens}.of(rate)
	a.refresh(now, rate, b.members)
	if !ev.Again {
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
	exhausted := now.Before(a.exhausted)
	if now.Before(a.unreachable) {
		a.moveDebt()
	}
	switch {
	case a.credit.covers(rate):
		a.credit = a.credit.sub(need)
		return Admitted{}
	case !exhausted && !a.indebted() && a.share.level.covers(rate):
		a.share.level = a.share.level.sub(need)
		if !now.Before(a.unreachable) {
			a.owed = a.owed.add(need)
		}
		return Admitted{}
	case exhausted:
		return Denied{RetryAfter: a.exhausted.Sub(now)}
	case now.Before(a.unreachable):
		return Denied{RetryAfter: untilPositive(a.share.level, rate)}
	}
	return Wait{}
}

// indebted reports whether answers took more tokens than was lent for them.
func (a *account) indebted() bool { return a.credit.Tokens < 0 }

// borrow asks for a loan when less than half a block is left.
func (a *account) borrow(now time.Time, workspace id.Workspace, rate, need Amount) (Borrow, bool) {
	if a.inFlight || now.Before(a.exhausted) || now.Before(a.unreachable) {
		return Borrow{}, false
	}
	block := a.demand.times(blockTime.Seconds() / demandTime.Seconds()).atLeast(need)
	left := a.credit.sub(block.times(0.5))
	if !(rate.Requests > 0 && left.Requests <= 0) && !(rate.Tokens > 0 && left.Tokens <= 0) {
		return Borrow{}, false
	}
	a.inFlight = true
	a.reported = a.owed
	a.owed = Amount{}
	a.wanted = block.sub(a.credit).atLeast(Amount{}).of(rate)
	return Borrow{Workspace: workspace, Want: a.wanted, Spent: a.reported}, true
}

func (b *Borrower) settle(now time.Time, ev Settled) {
	a, ok := b.accounts[ev.Workspace]
	if !ok {
		return
	}
	extra := Amount{Tokens: ev.Tokens}.of(b.rates[ev.Workspace])
	if now.Before(a.unreachable) {
		a.share.level = a.share.level.sub(extra)
		return
	}
	a.credit = a.credit.sub(extra)
}

func (b *Borrower) lent(now time.Time, ev Lent) {
	a, ok := b.accounts[ev.Workspace]
	if !ok || !a.inFlight {
		return
	}
	a.inFlight = false
	a.reported = Amount{}
	a.unreachable = time.Time{}
	a.credit = a.credit.add(ev.Amount)
	a.expires = now.Add(Valid)
	switch {
	case ev.RetryAfter > 0:
		a.exhausted = now.Add(ev.RetryAfter)
	case ev.Amount.Requests < a.wanted.Requests || ev.Amount.Tokens < a.wanted.Tokens:
		a.exhausted = now.Add(loanGap)
	}
}

// failed keeps what was reported as spent: the answer may have been lost after
// the charge, which errs towards the limit.
func (b *Borrower) failed(now time.Time, workspace id.Workspace) {
	a, ok := b.accounts[workspace]
	if !ok || !a.inFlight {
		return
	}
	a.inFlight = false
	a.owed = a.owed.add(a.reported)
	a.unreachable = now.Add(unreachableFor)
	a.moveDebt()
}

// moveDebt pays what was taken beyond the credit from the share, which counts
// while the home can't be reached.
func (a *account) moveDebt() {
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
		a = &account{demandAt: now}
		b.accounts[workspace] = a
	}
	a.usedAt = now
	return a
}

func shareBound(rate Amount, members int) Amount {
	return burst(rate.times(1 / float64(max(members, 1))))
}

// refresh lets time pass for credit, share and demand.
func (a *account) refresh(now time.Time, rate Amount, members int) {
	if now.After(a.expires) {
		// Debts stay.
		a.credit = a.credit.atMost(Amount{})
	}
	a.share.refill(now, rate.times(1/float64(members)), shareBound(rate, members))
	if age := now.Sub(a.demandAt); age > 0 {
		a.demand = a.demand.times(math.Exp(-age.Seconds() / demandTime.Seconds()))
		a.demandAt = now
	}
}

func (b *Borrower) forget(now time.Time) {
	for workspace, a := range b.accounts {
		if !a.inFlight && now.Sub(a.usedAt) >= forgetIdle {
			delete(b.accounts, workspace)
		}
	}
}
