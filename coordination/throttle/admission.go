package throttle

import (
	"math"
	"slices"
	"time"

	"samphirehead/state/id"
)

// Admission says to which upstreams one request may be sent.
type Admission struct {
	pausedUntil map[id.Upstream]time.Time
	limits      map[id.Upstream]*limit
	now         time.Time
	instances   int
	// throttle is nil if no upstream has a limit.
	throttle *Throttle
	// permitted holds the upstreams whose home has granted a permit, and undecided those
	// whose home has to be asked for one.
	permitted, undecided []id.Upstream
	// total is the rate of requests at all instances, and position the draw, from 0
	// to below total.
	total, position float64
	// denied is set once an upstream was not admitted.
	denied bool
}

// Admit draws the admission of one request, or of its next attempt. The draws of the
// upstreams are not independent: as far as their limits allow, a request that one does
// not admit is admitted by another.
func (t *Throttle) Admit(now time.Time) *Admission {
	a := &Admission{now: now, pausedUntil: t.pausedUntil}
	t.draws++
	if len(t.limited) > 0 {
		_, draw := math.Modf(t.FirstDraw + t.draws*drawStep)
		a.throttle, a.limits, a.instances, a.total = t, t.limits, len(t.instances), t.totalRate(now)
		a.position = draw * a.total
	}
	t.requests.decay(now, rateTimeConstant)
	t.requests.count++
	return a
}

// Admits reports whether the request may be sent to an upstream.
func (a *Admission) Admits(upstream id.Upstream) bool {
	admitted := !a.now.Before(a.pausedUntil[upstream])
	if l := a.limits[upstream]; admitted && l != nil && l.rate >= 0 {
		admitted = !l.exceeded(a.now, a.instances) && a.withinRate(l)
	}
	a.denied = a.denied || !admitted
	return admitted
}

// withinRate reports whether a request may be sent to an upstream whose limit is not
// exceeded.
func (a *Admission) withinRate(l *limit) bool {
	switch {
	case slices.Contains(a.permitted, l.upstream):
		return true
	case a.instances < 2 || a.total >= quietRate:
		return l.drawn(a)
	case a.throttle.Home(l.upstream) == a.throttle.Self:
		permitted := l.permits.take(a.now, l.permitRate())
		if permitted {
			a.permitted = append(a.permitted, l.upstream)
		}
		return permitted
	}
	if !slices.Contains(a.undecided, l.upstream) {
		a.undecided = append(a.undecided, l.upstream)
	}
	return false
}

// Undecided returns the upstreams that were not admitted because their homes have to be
// asked for a permit, in the order in which they were considered.
func (a *Admission) Undecided() []id.Upstream { return a.undecided }

// Permitted admits the request to an upstream whose home has granted a permit.
func (a *Admission) Permitted(upstream id.Upstream) { a.permitted = append(a.permitted, upstream) }

// drawn reports whether the draw of a request falls to the upstream.
func (l *limit) drawn(a *Admission) bool {
	if l.usable() >= a.total {
		return true
	}
	// Each limited upstream has an interval as long as its usable rate, which begins
	// where that of the one before ends, on a circle as long as the total rate.
	distance := math.Mod(a.position-l.below, a.total)
	if distance < 0 {
		distance += a.total
	}
	return distance < l.usable()
}

// Denied reports whether an upstream was not admitted.
func (a *Admission) Denied() bool { return a.denied }
