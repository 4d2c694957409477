package duty

import (
	"slices"
	"time"

	"samphirehead/coordination/rendezvous"
	"samphirehead/state/id"
)

const (
	// startDelay is how long an instance that has heard of no holder waits after its start
	// for news of one.
	startDelay = time.Second
	// A holding counts as given up if it was not confirmed for staleShare of a lease, and each
	// further candidate stands by for standbyShare of a lease longer.
	staleShare   = 0.75
	standbyShare = 0.25
)

// Event is an input of a Competition.
type Event interface{ event() }

// HoldingHeard reports a holding of the subject. Without a holder, that of the fencing
// number gave the subject up.
type HoldingHeard struct {
	Holding
	// ConfirmedAt is when the lease was last confirmed, or given up.
	ConfirmedAt time.Time
}

// CandidatesListed reports the instances that may hold the subject, in the order in which
// they are to compete for it.
type CandidatesListed struct{ Candidates []id.Instance }

func (HoldingHeard) event()     {}
func (CandidatesListed) event() {}

// Competition decides when one instance competes for the lease of a subject. It saves calls
// to the platform: the lease itself decides who holds the subject. Set the exported fields
// before the first Step. It is not safe for concurrent use.
type Competition struct {
	Self id.Instance
	// Lease is the duration of the lease.
	Lease time.Duration

	startedAt time.Time
	// heard is the holding with the highest fencing number; that is 0 if there is none.
	heard       Holding
	confirmedAt time.Time
	candidates  []id.Instance
}

// Step applies ev at now.
func (c *Competition) Step(now time.Time, ev Event) {
	if c.startedAt.IsZero() {
		c.startedAt = now
	}
	switch ev := ev.(type) {
	case HoldingHeard:
		c.hear(ev)
	case CandidatesListed:
		c.candidates = ev.Candidates
	}
}

func (c *Competition) hear(ev HoldingHeard) {
	switch {
	case ev.FencingNumber < c.heard.FencingNumber:
		return
	case ev.FencingNumber == c.heard.FencingNumber && c.heard.Holder == "":
		return
	case ev.FencingNumber == c.heard.FencingNumber && ev.Holder != "" && ev.ConfirmedAt.Before(c.confirmedAt):
		return
	}
	c.heard, c.confirmedAt = ev.Holding, ev.ConfirmedAt
}

// Heard returns the holding with the highest fencing number, and when it was confirmed. Its
// fencing number is 0 if there is none.
func (c *Competition) Heard() (Holding, time.Time) { return c.heard, c.confirmedAt }

// Competes reports whether the instance is to compete for the lease at now.
func (c *Competition) Competes(now time.Time) bool {
	rank := slices.Index(c.candidates, c.Self)
	if rank < 0 {
		return false
	}
	return !now.Before(c.vacantAt().Add(time.Duration(rank) * c.share(standbyShare)))
}

// vacantAt returns when the first candidate starts to compete.
func (c *Competition) vacantAt() time.Time {
	switch {
	case c.heard.FencingNumber == 0:
		return c.startedAt.Add(startDelay)
	case c.heard.Holder == "":
		return c.confirmedAt
	}
	return c.confirmedAt.Add(c.share(staleShare))
}

func (c *Competition) share(of float64) time.Duration { return time.Duration(of * float64(c.Lease)) }

// Candidate is an instance that may hold a subject.
type Candidate struct {
	Instance      id.Instance
	FailureDomain id.FailureDomain
}

// Order returns the order in which candidates compete for a subject: those of its failure
// domain first, if it has one. It does not depend on the order of the candidates.
func Order(subject Subject, domain id.FailureDomain, candidates []Candidate) []id.Instance {
	var inDomain, others []id.Instance
	for _, c := range candidates {
		if c.FailureDomain == domain {
			inDomain = append(inDomain, c.Instance)
		} else {
			others = append(others, c.Instance)
		}
	}
	return append(ranked(subject, inDomain), ranked(subject, others)...)
}

func ranked(subject Subject, instances []id.Instance) []id.Instance {
	return rendezvous.Homes(string(subject), instances, len(instances))
}
