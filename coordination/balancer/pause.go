package balancer

import (
	"time"

	"samphirehead/state/id"
)

const (
	// A pause objective is at risk if more than maxPauseRisk of the streams
	// beside bulk requests paused for longer, and no longer at risk if less than
	// minPauseRisk did.
	maxPauseRisk = 0.1
	minPauseRisk = 0.05
	// riskStreams is the number of streams that the estimate of a risk remembers.
	// It starts as if initialStreams streams had shown the risk initialRisk, or
	// initialTightestRisk for the tightest objective of the service.
	riskStreams         = 150
	initialStreams      = 20
	initialRisk         = 0.03
	initialTightestRisk = 0.15
	// maxPauseRisks bounds the objectives whose risk is known. Beyond it all are
	// learned anew.
	maxPauseRisks = 64
	// pauseMargin allows for engines whose prefill is slower than their rate.
	pauseMargin = 1.25
)

// pauseRisks holds the risks of pause objectives that requests have had, at most
// maxPauseRisks.
type pauseRisks map[time.Duration]*pauseRisk

// pauseRisk estimates which share of the streams beside bulk requests pauses for
// longer than an objective.
type pauseRisk struct {
	// observed and exceeded are counts of streams that decay with each stream.
	observed, exceeded float64
	// atRisk is set while the objective is at risk.
	atRisk bool
}

func (p *pauseRisk) observe(exceeded bool) {
	p.observed *= 1 - 1.0/riskStreams
	p.exceeded *= 1 - 1.0/riskStreams
	p.observed++
	if exceeded {
		p.exceeded++
	}
	risk := p.exceeded / p.observed
	switch {
	case risk > maxPauseRisk:
		p.atRisk = true
	case risk < minPauseRisk:
		p.atRisk = false
	}
}

// observe updates all risks with the longest pause of one stream.
func (p pauseRisks) observe(longest time.Duration) {
	for objective, risk := range p {
		risk.observe(longest > objective)
	}
}

// atRisk reports whether an objective is at risk. The tightest objective of the
// service is, until streams have shown otherwise.
func (p pauseRisks) atRisk(objective time.Duration, tightest bool) bool {
	risk, known := p[objective]
	if !known {
		if len(p) >= maxPauseRisks {
			clear(p)
		}
		risk = newPauseRisk(tightest)
		p[objective] = risk
	}
	return risk.atRisk
}

func newPauseRisk(tightest bool) *pauseRisk {
	if tightest {
		return &pauseRisk{observed: initialStreams, exceeded: initialStreams * initialTightestRisk, atRisk: true}
	}
	return &pauseRisk{observed: initialStreams, exceeded: initialStreams * initialRisk}
}

// lengthensPauses reports whether a prefill, after those that wait on the engine,
// would make the sensitive streams there pause for longer than their objective.
func (c *Chooser) lengthensPauses(now time.Time, u *upstream, l Load, prefill id.Tokens) bool {
	for _, tokens := range l.Prefill {
		prefill += tokens
	}
	return c.tightestPause > 0 && pauseOf(u.prefillTimeAt(now, prefill)) > c.tightestPause
}

// pauseOf is the longest pause that a prefill is expected to cause.
func pauseOf(prefill time.Duration) time.Duration {
	return time.Duration(pauseMargin * float64(prefill))
}
