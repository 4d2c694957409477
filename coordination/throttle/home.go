package throttle

import (
	"time"

	"samphirehead/coordination/rendezvous"
	"samphirehead/state/id"
)

const (
	// quietRate is the rate of requests at all instances, in requests a second, below
	// which an instance can't tell from reports whether others get requests at this
	// moment. The home of a limit then decides on each request.
	quietRate = 40
	// permitBurst is how many permits a home grants at once after a time without any.
	permitBurst = 2
)

// permitRate is how many permits a second the home of a limit grants. It counts all requests
// itself, and can use the whole limit.
func (l *limit) permitRate() float64 { return max(l.rate, minRate) }

// permits is the token bucket of a limit at its home.
type permits struct {
	// spent is how many permits are missing in the bucket as of at.
	spent float64
	at    time.Time
}

// take takes a permit, if there is one. rate is in permits a second.
func (p *permits) take(now time.Time, rate float64) bool {
	if elapsed := now.Sub(p.at); elapsed > 0 {
		p.spent = max(p.spent-rate*elapsed.Seconds(), 0)
		p.at = now
	}
	if p.spent+1 > permitBurst {
		return false
	}
	p.spent++
	return true
}

// Home returns the instance that grants permits for an upstream: the same at all instances
// with the same view of which are live. It is empty if none is known.
func (t *Throttle) Home(upstream id.Upstream) id.Instance {
	return rendezvous.Home(string(upstream), t.instances)
}

// Permit reports whether this instance, as the home of the limit of an upstream, lets one
// request be sent there. Without a limit, any may be.
func (t *Throttle) Permit(now time.Time, upstream id.Upstream) bool {
	l, ok := t.limits[upstream]
	if !ok || l.rate < 0 {
		return true
	}
	return !l.exceeded(now, len(t.instances)) && l.permits.take(now, l.permitRate())
}
