package throttle

import (
	"math"
	"time"
)

const (
	// brittleTTL is for how long the upstreams of a service count as brittle after the last
	// answer that said so.
	brittleTTL = 3 * time.Second
	// usableRejections is the fraction of the rejections which a brittle upstream bears that
	// all instances together cause, once each knows that it is full.
	usableRejections = 0.5
	// minRejectionPause and maxRejectionPause bound the pause after a rejection.
	minRejectionPause = time.Second
	maxRejectionPause = 10 * time.Second
)

// brittle is what the upstreams of a service say while they fall over if they have to reject
// too many requests.
type brittle struct {
	until time.Time
	// rejections is how many an upstream bears in a second.
	rejections float64
}

// hearBrittle applies what an answer says of that. An upstream that rejected a request for want
// of room gets none from this instance until the others had their turn to learn the same.
func (t *Throttle) hearBrittle(now time.Time, ev Answered) {
	if ev.MaxRejections <= 0 {
		return
	}
	t.brittle = brittle{now.Add(brittleTTL), ev.MaxRejections}
	if ev.Rejected {
		t.pause(ev.Upstream, now, t.rejectionPause())
	}
}

// rejectionPause returns how long an upstream that has just rejected a request gets none. Its
// length differs between instances.
func (t *Throttle) rejectionPause() time.Duration {
	instances := float64(max(len(t.instances), 1))
	seconds := instances / (usableRejections * t.brittle.rejections)
	_, draw := math.Modf(t.FirstDraw + t.draws*drawStep)
	pause := time.Duration(seconds * (1 + draw/2) * float64(time.Second))
	return min(max(pause, minRejectionPause), maxRejectionPause)
}

// Brittle reports whether the upstreams fall over if they have to reject too many requests.
func (t *Throttle) Brittle(now time.Time) bool { return now.Before(t.brittle.until) }
