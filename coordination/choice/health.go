package choice

import (
	"math"
	"time"
)

const (
	// failureLimit is the number of failures in a row that eject an upstream.
	failureLimit    = 3
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second

	// countMemory is the time constant of the counts of ended runs, leastCount
	// what they fade to before they are not told any more.
	countTimeConstant = 3 * time.Second
	minReportedCount  = 0.1
	// An upstream fails more than others if, of enoughRuns or more over all
	// entries, failingShare or more failed, and failingRatio times as many as
	// at the others.
	minEnded               = 4
	minFailureRate         = 0.25
	minRelativeFailureRate = 2.5

	// usualDelay is what a first byte takes beside the reading of a prompt.
	baseDelay = 15 * time.Millisecond
	// An upstream is slow if, of enoughBegun runs or more over all entries,
	// the mean began later than slowRatio times that of the others; mostSlow
	// bounds what is made of it.
	minStarted  = 5
	minSlowness = 3
	maxSlowness = 20

	// The stretch is learned from runs that were expected to wait for
	// stretchFrom or more.
	bulkFactorMinDelay = 150 * time.Millisecond
	bulkFactorStep     = 0.05
	initialBulkFactor  = 1.3
	maxDelayRatio      = 3
)

// fading is what is left of a sum after a time, with a time constant.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// fade lets the counts of ended runs fade.
func (u *upstream) decayCounts(now time.Time) {
	if elapsed := now.Sub(u.decayedAt); elapsed > 0 {
		factor := decayFactor(elapsed, countTimeConstant)
		u.local.Ended *= factor
		u.local.Failed *= factor
		u.local.Started *= factor
		u.local.DelayRatioSum *= factor
		u.decayedAt = now
	}
}

// failsMore reports whether an upstream that answers some requests fails
// clearly more of them than the others of its service.
func (c *Chooser) failureRateHigh(now time.Time, u *upstream) bool {
	load := c.load(now, u)
	if load.Ended < minEnded || load.Failed < minFailureRate*load.Ended {
		return false
	}
	total := c.total(now)
	othersEnded, othersFailed := total.Ended-load.Ended, total.Failed-load.Failed
	return othersFailed*load.Ended*minRelativeFailureRate <= load.Failed*othersEnded
}

// slowness returns how many times as long as at the others of a service an
// upstream takes to begin; 1 for all that are not clearly slow.
func (l Load) slowness(total Load) float64 {
	othersStarted, othersRatioSum := total.Started-l.Started, total.DelayRatioSum-l.DelayRatioSum
	if l.Started < minStarted || othersStarted < minStarted || othersRatioSum <= 0 {
		return 1
	}
	ratio := l.DelayRatioSum / l.Started / (othersRatioSum / othersStarted)
	if ratio < minSlowness {
		return 1
	}
	return min(ratio, maxSlowness)
}

// eject keeps an upstream away for a time that grows with each ejection in a
// row. One more failure after it ejects the upstream again.
func (c *Chooser) eject(now time.Time, u *upstream, cause Cause) {
	if now.Before(u.ejectedUntil) {
		return
	}
	u.ejectedUntil = now.Add(min(initialEjection<<min(u.ejections, 8), maxEjection))
	u.ejections++
	u.consecutiveFailures = failureLimit - 1
	u.cache = cache{}
	c.setHealth(now, u, Ejected, cause, u.ejectedUntil)
}

// succeed counts a whole answer. An upstream that has been good for a while is
// given its full credit back.
func (u *upstream) recordSuccess(now time.Time) {
	u.consecutiveFailures = 0
	if now.Sub(u.ejectedUntil) > maxEjection {
		u.ejections = 0
	}
}

// away reports whether the upstream is kept from being chosen.
func (u *upstream) ejected(now time.Time) bool {
	return now.Before(u.ejectedUntil) || now.Before(u.peerEjectedUntil)
}
