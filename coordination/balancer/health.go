package balancer

import (
	"math"
	"time"
)

const (
	// failureLimit is the number of consecutive failures that ejects an upstream.
	failureLimit    = 3
	initialEjection = 500 * time.Millisecond
	maxEjection     = 4 * time.Second

	// countTimeConstant is the time constant of the decaying counts of a Load.
	// Without running requests, a load whose Ended is minReportedCount or less
	// is not reported.
	countTimeConstant = 3 * time.Second
	minReportedCount  = 0.1
	// An upstream is ejected for its failure rate if, over all instances, it ended
	// minEnded or more runs, its failure rate is minFailureRate or more, and that
	// is minRelativeFailureRate or more times that of the other upstreams.
	minEnded               = 4
	minFailureRate         = 0.25
	minRelativeFailureRate = 2.5

	// baseDelay is the time to the first byte apart from the prefill.
	baseDelay = 15 * time.Millisecond
	// An upstream is slow if it and the others each started minStarted or more
	// runs over all instances, and its mean delay ratio is minSlowness or more
	// times theirs. The slowness is at most maxSlowness.
	minStarted  = 5
	minSlowness = 3
	maxSlowness = 20

	// The bulk delay factor is updated by runs with an expected delay of
	// bulkFactorMinDelay or more. Delay ratios above maxDelayRatio are clipped.
	bulkFactorMinDelay = 150 * time.Millisecond
	bulkFactorStep     = 0.05
	initialBulkFactor  = 1.3
	maxDelayRatio      = 3
)

// decayFactor returns the factor of an exponential decay after some time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}

// decayCounts decays the counts of started and ended runs up to now.
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

// failureRateHigh reports whether an upstream that answers some requests fails
// clearly more of them than the others of its service do.
func (c *Chooser) failureRateHigh(now time.Time, u *upstream) bool {
	load := c.load(now, u)
	if load.Ended < minEnded || load.Failed < minFailureRate*load.Ended {
		return false
	}
	total := c.total(now)
	othersEnded, othersFailed := total.Ended-load.Ended, total.Failed-load.Failed
	return othersFailed*load.Ended*minRelativeFailureRate <= load.Failed*othersEnded
}

// slowness returns the mean delay ratio of an upstream relative to that of the
// others of its service, or 1 if the upstream is not clearly slow.
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

// eject ejects an upstream. The duration doubles with each ejection in a row, up
// to maxEjection. A single failure afterwards ejects the upstream again. The
// estimate of its cache is discarded.
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

// recordSuccess records a complete answer. If the last ejection ended more than
// maxEjection ago, the next one lasts initialEjection again.
func (u *upstream) recordSuccess(now time.Time) {
	u.consecutiveFailures = 0
	if now.Sub(u.ejectedUntil) > maxEjection {
		u.ejections = 0
	}
}

// endEjections voids the ejections by this instance.
func (c *Chooser) endEjections(now time.Time) {
	for _, u := range c.upstreams {
		u.consecutiveFailures, u.ejections = 0, 0
		if now.Before(u.ejectedUntil) {
			u.ejectedUntil = now
		}
	}
}

// ejected reports whether this instance or a peer has ejected the upstream.
func (u *upstream) ejected(now time.Time) bool {
	return now.Before(u.ejectedUntil) || now.Before(u.peerEjectedUntil)
}
