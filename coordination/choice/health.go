package choice

import (
	"math"
	"time"
)

const (
	// failureLimit is the number of failures in a row that eject an upstream.
	failureLimit    = 3
	firstEjection   = 500 * time.Millisecond
	longestEjection = 4 * time.Second

	// countMemory is the time constant of the counts of ended runs, leastCount
	// what they fade to before they are not told any more.
	countMemory = 3 * time.Second
	leastCount  = 0.1
	// An upstream fails more than others if, of enoughRuns or more over all
	// entries, failingShare or more failed, and failingRatio times as many as
	// at the others.
	enoughRuns   = 4
	failingShare = 0.25
	failingRatio = 2.5

	// usualDelay is what a first byte takes beside the reading of a prompt.
	usualDelay = 15 * time.Millisecond
	// An upstream is slow if, of enoughBegun runs or more over all entries,
	// the mean began later than slowRatio times that of the others; mostSlow
	// bounds what is made of it.
	enoughBegun = 5
	slowRatio   = 3
	mostSlow    = 20

	// The stretch is learned from runs that were expected to wait for
	// stretchFrom or more.
	stretchFrom  = 150 * time.Millisecond
	stretchStep  = 0.05
	firstStretch = 1.3
	mostStretch  = 3
)

// fading is what is left of a sum after a time, with a time constant.
func fading(passed, memory time.Duration) float64 {
	return math.Exp(-passed.Seconds() / memory.Seconds())
}

// fade lets the counts of ended runs fade.
func (u *upstream) fade(now time.Time) {
	if passed := now.Sub(u.countedAt); passed > 0 {
		factor := fading(passed, countMemory)
		u.own.Ended *= factor
		u.own.Failed *= factor
		u.own.Begun *= factor
		u.own.Pace *= factor
		u.countedAt = now
	}
}

// failsMore reports whether an upstream that answers some requests fails
// clearly more of them than the others of its service.
func (c *Chooser) failsMore(now time.Time, u *upstream) bool {
	load := c.load(now, u)
	if load.Ended < enoughRuns || load.Failed < failingShare*load.Ended {
		return false
	}
	total := c.total(now)
	ended, failed := total.Ended-load.Ended, total.Failed-load.Failed
	return failed*load.Ended*failingRatio <= load.Failed*ended
}

// slowness returns how many times as long as at the others of a service an
// upstream takes to begin; 1 for all that are not clearly slow.
func (l Load) slowness(total Load) float64 {
	begun, pace := total.Begun-l.Begun, total.Pace-l.Pace
	if l.Begun < enoughBegun || begun < enoughBegun || pace <= 0 {
		return 1
	}
	ratio := l.Pace / l.Begun / (pace / begun)
	if ratio < slowRatio {
		return 1
	}
	return min(ratio, mostSlow)
}

// eject keeps an upstream away for a time that grows with each ejection in a
// row. One more failure after it ejects the upstream again.
func (c *Chooser) eject(now time.Time, u *upstream, cause Cause) {
	if now.Before(u.ejectedUntil) {
		return
	}
	u.ejectedUntil = now.Add(min(firstEjection<<min(u.ejections, 8), longestEjection))
	u.ejections++
	u.failures = failureLimit - 1
	u.cache = cache{}
	c.believe(now, u, Ejected, cause, u.ejectedUntil)
}

// succeed counts a whole answer. An upstream that has been good for a while is
// given its full credit back.
func (u *upstream) succeed(now time.Time) {
	u.failures = 0
	if now.Sub(u.ejectedUntil) > longestEjection {
		u.ejections = 0
	}
}

// away reports whether the upstream is kept from being chosen.
func (u *upstream) away(now time.Time) bool {
	return now.Before(u.ejectedUntil) || now.Before(u.warnedUntil)
}
