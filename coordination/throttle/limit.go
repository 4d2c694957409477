package throttle

import (
	"math"
	"time"

	"samphirehead/state/id"
)

// limit is the last statement of an upstream.
type limit struct {
	upstream id.Upstream
	rate     float64
	// statedAt is when it was last stated to any instance, and answeredAt when to this
	// one; answeredAt is zero if it never was.
	statedAt, answeredAt time.Time
	// sent counts the requests that this instance sent, and others what each other
	// instance reported last.
	sent   decaying
	others map[id.Instance]sentReport
	// permits are those that this instance grants as the limit's home.
	permits permits
	// below is the sum of the usable rates of the limited upstreams before this one.
	below float64
}

type sentReport struct {
	count      float64
	receivedAt time.Time
}

// usable returns the rate that is used of a limit.
func (l *limit) usable() float64 { return max(usableFraction*l.rate, minRate) }

// exceeded reports whether all instances sent clearly more than the limit allows.
// Instances that reported nothing lately count like the mean of the others.
func (l *limit) exceeded(now time.Time, instances int) bool {
	sum, n := 0.0, 0
	for instance, report := range l.others {
		if now.Sub(report.receivedAt) > reportTTL {
			delete(l.others, instance)
			continue
		}
		sum += report.count
		n++
	}
	if others := instances - 1; n > 0 && others > n {
		sum *= float64(others) / float64(n)
	}
	return l.sent.decay(now, sentTimeConstant)+sum > l.usable()*sentTimeConstant.Seconds()+sentSlack
}

// decaying is a count that decays exponentially.
type decaying struct {
	count float64
	at    time.Time
}

// decay decays the count up to now and returns it.
func (d *decaying) decay(now time.Time, timeConstant time.Duration) float64 {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.count *= math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
		d.at = now
	}
	return d.count
}
