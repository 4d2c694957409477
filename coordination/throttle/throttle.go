// Package throttle keeps the requests to upstreams within what the upstreams ask for in
// their answers: a limit, which is a rate of requests for all instances together, or a
// pause for the instance that got the answer.
//
// Instances don't ask each other before they send. Each one admits the same fraction
// of its requests: the limit divided by the rate of the requests at all instances,
// which they tell each other. This holds for any number of instances, and whether the
// upstream is one of many or the only one left. They also tell each other how many they
// sent, and admit none while that is clearly more than the limit allows.
//
// While there are few requests, an instance can't tell from what it has heard whether many
// begin at this moment. Then one instance, the home of the limit, decides on each request;
// the others ask it where no other upstream is left.
package throttle

import (
	"maps"
	"slices"
	"time"

	"samphirehead/state/id"
)

const (
	// usableFraction is the part of a limit that is used. The rest covers rates that
	// rise faster than instances hear of it.
	usableFraction = 0.85
	// minRate is used of a lower limit, in requests a second, so that an answer
	// shows when the limit ends.
	minRate = 0.1
	// rateTimeConstant is the time constant of the decaying count of requests.
	rateTimeConstant = 500 * time.Millisecond
	// maxReports is how many reports of other instances' rates count, the last ones,
	// and reportTTL is how long.
	maxReports = 12
	reportTTL  = 2 * time.Second
	// sentTimeConstant is the time constant of the decaying count of the requests sent
	// to an upstream. In the long run, it may be sentSlack above what the limit yields.
	sentTimeConstant = 4 * time.Second
	sentSlack        = 2
	// statementTTL is how long a statement is told to other instances.
	statementTTL = 10 * time.Second
	// limitTTL is how long a limit holds that no answer renews. The upstream may be
	// gone: peers may tell of it later than the platform.
	limitTTL = 10 * time.Minute
	// MaxStatements bounds the statements, and the counts of requests sent, in one
	// message to another instance.
	MaxStatements = 64
	// drawStep is the distance of two draws in a row, the inverse of the golden
	// ratio: the draws of an instance are spread evenly, over any number of them.
	drawStep = 0.6180339887498949
)

// Unlimited is the RateLimit of an upstream that states no limit.
const Unlimited = -1

// Event is an input of a Throttle.
type Event interface{ event() }

// Answered reports an answer of an upstream.
type Answered struct {
	Upstream id.Upstream
	// SentAt is when the request was sent.
	SentAt time.Time
	// RateLimit is the limit in requests a second that the answer states; it is
	// negative if the answer states none.
	RateLimit float64
	// Pause is for how long the upstream asks for no requests of this instance.
	Pause time.Duration
	// MaxRejections is how many rejections for want of room the upstream bears in a second
	// without falling over; 0 if it says nothing of that.
	MaxRejections float64
	// Rejected is set if the answer is such a rejection.
	Rejected bool
}

// Sent reports that a request is sent to an upstream.
type Sent struct{ Upstream id.Upstream }

// ReportReceived carries the Report of another instance.
type ReportReceived struct {
	Instance id.Instance
	Report
}

// InstancesListed reports which instances are live, this one among them.
type InstancesListed struct{ Instances []id.Instance }

// Gone reports that an upstream ended. What it asked for is forgotten.
type Gone struct{ Upstream id.Upstream }

func (Answered) event()        {}
func (Sent) event()            {}
func (ReportReceived) event()  {}
func (InstancesListed) event() {}
func (Gone) event()            {}

// Report is what an instance tells the others.
type Report struct {
	// Rate is how many requests a second ask for admission at the instance.
	Rate float64
	// Statements are what upstreams stated to the instance itself.
	Statements []Statement
	// Sent is a decaying count of the requests that the instance sent to each limited
	// upstream, if there are any.
	Sent map[id.Upstream]float64
}

// Statement is what an upstream stated in an answer.
type Statement struct {
	Upstream id.Upstream
	// RateLimit is in requests a second. It is negative if the limit has ended.
	RateLimit float64
	// Age is the time since the answer.
	Age time.Duration
}

// Throttle admits requests to the upstreams of one service. Set its exported fields
// before the first use. It is not safe for concurrent use.
type Throttle struct {
	// Self is this instance.
	Self id.Instance
	// FirstDraw is a random number from 0 to below 1, which differs between the
	// instances.
	FirstDraw float64

	// pausedUntil holds the ends of the pauses that upstreams asked for.
	pausedUntil map[id.Upstream]time.Time
	brittle     brittle
	limits      map[id.Upstream]*limit
	// limited holds the upstreams in limits that have a limit now, ordered by name.
	limited []*limit
	// requests counts those that asked for admission.
	requests  decaying
	draws     float64
	instances []id.Instance
	// reports is a ring of the last reports, and received counts all.
	reports  [maxReports]rateReport
	received int
}

type rateReport struct {
	rate       float64
	receivedAt time.Time
}

// Step applies ev at now. It reports whether the limit of an upstream has changed.
func (t *Throttle) Step(now time.Time, ev Event) (changed bool) {
	switch ev := ev.(type) {
	case Answered:
		return t.answered(now, ev)
	case Sent:
		if l, ok := t.limits[ev.Upstream]; ok {
			l.sent.decay(now, sentTimeConstant)
			l.sent.count++
		}
	case ReportReceived:
		return t.receive(now, ev)
	case InstancesListed:
		t.instances = ev.Instances
		t.expire(now)
	case Gone:
		delete(t.pausedUntil, ev.Upstream)
		delete(t.limits, ev.Upstream)
		t.order()
	}
	return false
}

// expire forgets limits that were not renewed.
func (t *Throttle) expire(now time.Time) {
	before := len(t.limits)
	maps.DeleteFunc(t.limits, func(_ id.Upstream, l *limit) bool { return now.Sub(l.statedAt) > limitTTL })
	if len(t.limits) < before {
		t.order()
	}
}

// answered applies an answer. One without a limit ends a limit only if its request was
// sent after the limit was stated: answers may overtake each other.
func (t *Throttle) answered(now time.Time, ev Answered) (changed bool) {
	t.pause(ev.Upstream, now, ev.Pause)
	t.hearBrittle(now, ev)
	known := t.limits[ev.Upstream]
	if ev.RateLimit < 0 && (known == nil || !ev.SentAt.After(known.statedAt)) {
		return false
	}
	return t.set(limit{upstream: ev.Upstream, rate: ev.RateLimit, statedAt: now, answeredAt: now})
}

// pause starts a pause, or prolongs it.
func (t *Throttle) pause(upstream id.Upstream, now time.Time, length time.Duration) {
	until := now.Add(length)
	if length <= 0 || !until.After(t.pausedUntil[upstream]) {
		return
	}
	if t.pausedUntil == nil {
		t.pausedUntil = make(map[id.Upstream]time.Time)
	}
	t.pausedUntil[upstream] = until
}

func (t *Throttle) receive(now time.Time, ev ReportReceived) (changed bool) {
	t.reports[t.received%maxReports] = rateReport{ev.Rate, now}
	t.received++
	for _, s := range ev.Statements {
		statedAt := now.Add(-s.Age)
		if known := t.limits[s.Upstream]; known != nil && !statedAt.After(known.statedAt) {
			continue
		}
		if t.set(limit{upstream: s.Upstream, rate: s.RateLimit, statedAt: statedAt}) {
			changed = true
		}
	}
	for upstream, count := range ev.Sent {
		if l, ok := t.limits[upstream]; ok {
			l.others[ev.Instance] = sentReport{count, now}
		}
	}
	return changed
}

// set replaces the statement of an upstream.
func (t *Throttle) set(l limit) (changed bool) {
	if t.limits == nil {
		t.limits = make(map[id.Upstream]*limit)
	}
	known := t.limits[l.upstream]
	if known == nil {
		l.others = make(map[id.Instance]sentReport)
		t.limits[l.upstream] = &l
		t.order()
		return l.rate >= 0
	}
	changed = known.rate != l.rate
	if changed || !l.answeredAt.IsZero() {
		known.answeredAt = l.answeredAt
	}
	known.rate, known.statedAt = l.rate, l.statedAt
	if changed {
		t.order()
	}
	return changed
}

// order collects the upstreams that have a limit.
func (t *Throttle) order() {
	t.limited = t.limited[:0]
	sum := 0.0
	for _, upstream := range slices.Sorted(maps.Keys(t.limits)) {
		l := t.limits[upstream]
		if l.rate < 0 {
			continue
		}
		l.below = sum
		sum += l.usable()
		t.limited = append(t.limited, l)
	}
}

// RequestsPerAdmission returns how many requests arrive for each one that limited
// upstreams admit, at least 1.
func (t *Throttle) RequestsPerAdmission(now time.Time) float64 {
	if len(t.limited) == 0 {
		return 1
	}
	last := t.limited[len(t.limited)-1]
	return max(t.totalRate(now)/(last.below+last.usable()), 1)
}

// totalRate returns the rate of requests at all instances. The others count with the
// mean of their last reports, or like this one if there is none.
func (t *Throttle) totalRate(now time.Time) float64 {
	own := t.rate(now)
	sum, n := 0.0, 0
	for _, report := range t.reports[:min(t.received, maxReports)] {
		if now.Sub(report.receivedAt) <= reportTTL {
			sum += report.rate
			n++
		}
	}
	others := float64(max(len(t.instances)-1, 0))
	if n == 0 {
		return own * (1 + others)
	}
	return own + others*sum/float64(n)
}

// rate returns this instance's rate of requests.
func (t *Throttle) rate(now time.Time) float64 {
	return t.requests.decay(now, rateTimeConstant) / rateTimeConstant.Seconds()
}

// Report returns what this instance tells the others: the newest MaxStatements.
func (t *Throttle) Report(now time.Time) Report {
	report := Report{Rate: t.rate(now)}
	for _, l := range t.limited[:min(MaxStatements, len(t.limited))] {
		if report.Sent == nil {
			report.Sent = make(map[id.Upstream]float64)
		}
		report.Sent[l.upstream] = l.sent.decay(now, sentTimeConstant)
	}
	for _, l := range t.limits {
		if age := now.Sub(l.answeredAt); age <= statementTTL {
			report.Statements = append(report.Statements, Statement{l.upstream, l.rate, age})
		}
	}
	slices.SortFunc(report.Statements, func(a, b Statement) int { return int(a.Age - b.Age) })
	report.Statements = report.Statements[:min(MaxStatements, len(report.Statements))]
	return report
}

// Limited reports whether any upstream has a limit now.
func (t *Throttle) Limited() bool { return len(t.limited) > 0 }

// Limits returns the limits in requests a second that upstreams have now.
func (t *Throttle) Limits() map[id.Upstream]float64 {
	limits := make(map[id.Upstream]float64, len(t.limited))
	for _, l := range t.limited {
		limits[l.upstream] = l.rate
	}
	return limits
}
