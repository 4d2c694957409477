// Package limits applies the rate limits of workspaces at one instance. It
// borrows credit for the requests that enter there, and lends credit for the
// workspaces whose limit home the instance is.
package limits

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/ratelimit"
	"samphirehead/protocol/peer"
	"samphirehead/state/fault"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

const (
	tickInterval  = time.Second
	borrowTimeout = 250 * time.Millisecond
	// maxLoanWaits bounds the loans that one request waits for.
	maxLoanWaits = 3
	// maxLoansInFlight bounds the loans in flight, and likewise those that
	// wait for one to end. A loan beyond both fails at once.
	maxLoansInFlight = 256
)

// Limits applies the limits at one instance. Its exported fields are set before
// Run.
type Limits struct {
	Self id.Instance
	// Members returns all known instances.
	Members func() []membership.Record
	// Remote returns the client of the limit home at a peer address.
	Client func(address string) peer.Limit
	// Stamp returns the stamp to put on each message that is sent.
	Stamp func() *peer.Stamp
	// StampReceived is called with the stamp of each message received.
	StampReceived func(s *peer.Stamp)

	once  sync.Once
	loans chan ratelimit.Borrow

	mu       sync.Mutex
	lender   ratelimit.Lender
	borrower ratelimit.Borrower
	rates    map[id.Workspace]ratelimit.Amount
	// rendezvous and addresses are of the members as last read.
	rendezvous ratelimit.Rendezvous
	addresses  map[id.Instance]string
	// loanEnded has an entry for each workspace with a loan in flight, which
	// is closed when the loan ends.
	loanEnded map[id.Workspace]chan struct{}
}

func (l *Limits) init() {
	l.loans = make(chan ratelimit.Borrow, maxLoansInFlight)
	l.loanEnded = map[id.Workspace]chan struct{}{}
}

// Run carries out loans until ctx ends.
func (l *Limits) Run(ctx context.Context) error {
	l.once.Do(l.init)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ended := make(chan struct{})
	inFlight := 0
	for {
		incoming := l.loans
		if inFlight == maxLoansInFlight {
			incoming = nil
		}
		select {
		case <-ctx.Done():
			for range inFlight {
				<-ended
			}
			return nil
		case <-ticker.C:
			l.tick()
		case <-ended:
			inFlight--
		case b := <-incoming:
			inFlight++
			go func() {
				l.finishLoan(b.Workspace, l.borrow(ctx, b))
				ended <- struct{}{}
			}()
		}
	}
}

// Configure replaces the limits and reads the members again.
func (l *Limits) Configure(workspaces []manifest.Workspace) {
	rates := make(map[id.Workspace]ratelimit.Amount)
	for _, w := range workspaces {
		rate := ratelimit.Amount{Requests: w.RequestsPerSecond, Tokens: w.TokensPerSecond}
		if rate.Limited() {
			rates[w.Name] = rate
		}
	}
	l.mu.Lock()
	l.rates = rates
	l.lender.Step(time.Now(), ratelimit.RatesSet{Rates: rates})
	l.mu.Unlock()
	l.updateMembers()
}

// tick updates the members and removes idle workspaces.
func (l *Limits) tick() {
	l.updateMembers()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.lender.Step(now, ratelimit.LenderTicked{})
	l.borrower.Step(now, ratelimit.BorrowerTicked{})
}

// updateMembers reads the members, which determine the limit homes and how many
// instances share each rate.
func (l *Limits) updateMembers() {
	members := l.Members()
	rendezvous := ratelimit.NewRendezvous(members)
	addresses := make(map[id.Instance]string, len(members))
	owners := 0
	for _, r := range members {
		addresses[r.Instance] = r.PeerAddress
		if r.CanOwn() {
			owners++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rendezvous, l.addresses = rendezvous, addresses
	l.borrower.Step(time.Now(), ratelimit.Configured{Rates: l.rates, Instances: owners})
}

// homeOf returns the limit home of a workspace and its address.
func (l *Limits) homeOf(workspace id.Workspace) (id.Instance, string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	instance := ratelimit.HomeOf(workspace, l.rendezvous)
	return instance, l.addresses[instance]
}

// Admit reports whether a request, with an estimate of its tokens, is within
// the limits of its workspace, and if not, when it may be retried. It may wait
// for loans, at most for maxLoanWaits times borrowTimeout.
func (l *Limits) Admit(ctx context.Context, workspace id.Workspace, tokens id.Tokens) (retryAfter time.Duration, admitted bool) {
	l.once.Do(l.init)
	for try := range maxLoanWaits {
		answer, loanEnded := l.requestAdmission(ratelimit.AdmissionRequested{Workspace: workspace, Tokens: float64(tokens), Retry: try > 0})
		switch answer := answer.(type) {
		case ratelimit.Admitted:
			return 0, true
		case ratelimit.Denied:
			return answer.RetryAfter, false
		}
		select {
		case <-loanEnded:
		case <-ctx.Done():
			return borrowTimeout, false
		}
	}
	return borrowTimeout, false
}

// CorrectEstimate replaces the estimate of an admitted request by its usage.
func (l *Limits) CorrectEstimate(workspace id.Workspace, estimated, used id.Tokens) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.borrower.Step(time.Now(), ratelimit.EstimateCorrected{Workspace: workspace, Tokens: float64(used - estimated)})
}

// request returns the borrower's answer and, if that is Wait, what is closed
// when the loan ends.
func (l *Limits) requestAdmission(ev ratelimit.AdmissionRequested) (ratelimit.BorrowerEffect, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var answer ratelimit.BorrowerEffect
	for _, effect := range l.borrower.Step(time.Now(), ev) {
		if b, ok := effect.(ratelimit.Borrow); ok {
			l.enqueueLocked(b)
			continue
		}
		answer = effect
	}
	return answer, l.loanEnded[ev.Workspace]
}

// enqueueLocked hands a loan to Run. l.mu must be held.
func (l *Limits) enqueueLocked(b ratelimit.Borrow) {
	l.loanEnded[b.Workspace] = make(chan struct{})
	select {
	case l.loans <- b:
	default:
		l.finishLoanLocked(b.Workspace, ratelimit.BorrowFailed{Workspace: b.Workspace})
	}
}

func (l *Limits) finishLoan(workspace id.Workspace, ev ratelimit.BorrowerEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finishLoanLocked(workspace, ev)
}

// finishLoanLocked gives the borrower the result of a loan and wakes the
// requests that wait for it. l.mu must be held.
func (l *Limits) finishLoanLocked(workspace id.Workspace, ev ratelimit.BorrowerEvent) {
	l.borrower.Step(time.Now(), ev)
	if ended, ok := l.loanEnded[workspace]; ok {
		close(ended)
		delete(l.loanEnded, workspace)
	}
}

// borrow asks the limit home for credit and returns the result.
func (l *Limits) borrow(ctx context.Context, b ratelimit.Borrow) ratelimit.BorrowerEvent {
	home, address := l.homeOf(b.Workspace)
	if home == l.Self {
		return ratelimit.CreditReceived(l.lend(ratelimit.BorrowReceived(b)))
	}
	granted, err := l.borrowRemote(ctx, home, address, b)
	if err != nil {
		klog.V(2).InfoS("borrowing credit failed", "workspace", b.Workspace, "home", home, "err", err)
		return ratelimit.BorrowFailed{Workspace: b.Workspace}
	}
	return ratelimit.CreditReceived(granted)
}

func (l *Limits) borrowRemote(ctx context.Context, home id.Instance, address string, b ratelimit.Borrow) (ratelimit.Granted, error) {
	if address == "" {
		return ratelimit.Granted{}, fault.New("borrow", string(home), "no limit home")
	}
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	response, err := l.Client(address).Borrow(ctx, &peer.BorrowRequest{Stamp: l.Stamp(), Loans: []*peer.Loan{peer.LoanToProto(b)}})
	if err != nil {
		return ratelimit.Granted{}, fault.Wrap("borrow", string(home), err)
	}
	l.StampReceived(response.Stamp)
	if len(response.Credits) != 1 || response.Credits[0].Workspace != string(b.Workspace) {
		return ratelimit.Granted{}, fault.New("borrow", string(home), "response is for another workspace")
	}
	return response.Credits[0].AsGrant(), nil
}

// Borrow lends credit to another instance.
func (l *Limits) Borrow(_ context.Context, r *peer.BorrowRequest) (*peer.BorrowResponse, error) {
	l.StampReceived(r.Stamp)
	response := &peer.BorrowResponse{Stamp: l.Stamp()}
	for _, loan := range r.Loans {
		response.Credits = append(response.Credits, peer.CreditToProto(l.lend(loan.AsRequest())))
	}
	return response, nil
}

func (l *Limits) lend(ev ratelimit.BorrowReceived) ratelimit.Granted {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, effect := range l.lender.Step(time.Now(), ev) {
		if g, ok := effect.(ratelimit.Granted); ok {
			return g
		}
	}
	return ratelimit.Granted{Workspace: ev.Workspace}
}

var _ peer.Limit = (*Limits)(nil)
