package router

import (
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/quarantine"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

const (
	// crashLimit is how many upstreams a request, or a part of prompts, may crash
	// before it is quarantined. It is more than 2 because a harmless request that
	// is retried may be at two upstreams that crash at the same time for another
	// reason.
	crashLimit = 3
	// partCrashSeparation is the time between crashes that count against a part. A
	// part that many requests have may be at several upstreams that crash at once.
	// Between crashes further apart, requests with a harmless part are answered.
	partCrashSeparation = 300 * time.Millisecond
)

// reportLimits bound the crash reports in a message to a peer.
var reportLimits = exchange.ReportLimits{MaxAge: 30 * time.Second, MaxEach: 32}

// quarantines tracks the requests, and the parts of prompts, that crash upstreams. It
// is guarded by Router.mu.
type quarantines struct {
	requests, parts quarantine.Tracker
}

func (q *quarantines) init() {
	q.requests.CrashLimit = crashLimit
	q.parts.CrashLimit = crashLimit
	q.parts.Separation = partCrashSeparation
}

// started returns the number of quarantines started so far.
func (q *quarantines) started() int {
	return q.requests.QuarantinesStarted() + q.parts.QuarantinesStarted()
}

// contains reports whether a request may not be sent to an upstream, because it, or
// one of the shared parts of its prompt, has crashed too many.
func (q *quarantines) contains(now time.Time, digest id.Fingerprint, parts []id.Fingerprint) bool {
	if q.requests.Verdict(now, digest) == quarantine.Quarantined {
		return true
	}
	for _, part := range parts {
		if q.parts.Verdict(now, part) == quarantine.Quarantined {
			return true
		}
	}
	return false
}

// addReports adds the crash reports to a message to a peer, in reply to the peer's
// own if received is not nil.
func (q *quarantines) addReports(now time.Time, s, received *exchange.State) {
	s.RequestCrashes = exchange.CrashReportsOf(&q.requests, now, received.GetRequestCrashes(), reportLimits)
	s.PartCrashes = exchange.CrashReportsOf(&q.parts, now, received.GetPartCrashes(), reportLimits)
}

// receiveReports applies the crashes that a peer reports.
func (q *quarantines) receiveReports(now time.Time, s *exchange.State) {
	peer := s.Self.GetInstance()
	logReceived("request", peer, exchange.ApplyCrashReports(&q.requests, now, s.RequestCrashes))
	logReceived("part", peer, exchange.ApplyCrashReports(&q.parts, now, s.PartCrashes))
}

// logReceived logs the quarantines that start because of a peer's report.
func logReceived(kind, peer string, effects []quarantine.Effect) {
	for _, effect := range effects {
		if started, ok := effect.(quarantine.Started); ok {
			klog.InfoS("quarantine received", "kind", kind, "fingerprint", started.Fingerprint, "peer", peer)
		}
	}
}

// sharedPartNames returns the names of the parts of the prompt that other requests may
// have, too. The last part belongs to the request.
func (j *job) sharedPartNames() []string {
	var names []string
	for i := range len(j.Parts) - 1 {
		names = append(names, j.Parts[i].Name)
	}
	return names
}

// quarantined reports whether the request must not be sent to an upstream.
func (j *job) quarantined() bool {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	return j.router.quarantines.contains(time.Now(), j.digest, j.sharedParts)
}

// recordCrash records that the upstream gave no complete answer. It may have
// crashed, and the request may be the cause. If the answer had begun and not come to
// its first event, a part of the prompt may be.
func (j *job) recordCrash(a *attempt) {
	r := j.router
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	started := r.quarantines.requests.Step(now, quarantine.Crashed{
		Upstream: a.Upstream,
		InFlight: []quarantine.InFlight{{Request: j.ID, Fingerprint: j.digest}},
	})
	if a.response != nil && a.response.Sealed && !a.started {
		crashed := quarantine.Crashed{Upstream: a.Upstream}
		for _, part := range j.sharedParts {
			crashed.InFlight = append(crashed.InFlight, quarantine.InFlight{Request: j.ID, Fingerprint: part})
		}
		started = append(started, r.quarantines.parts.Step(now, crashed)...)
	}
	for _, effect := range started {
		if effect, ok := effect.(quarantine.Started); ok {
			klog.InfoS("quarantined", "request", j.ID, "route", j.route.Name, "upstream", a.Upstream,
				"fingerprint", effect.Fingerprint, "part", j.partName(effect.Fingerprint))
		}
	}
}

// partName returns the name of the part with a fingerprint, or "" if the prompt has
// none.
func (j *job) partName(f id.Fingerprint) string {
	for i, part := range j.sharedParts {
		if part == f {
			return j.Parts[i].Name
		}
	}
	return ""
}

// clearRequest records that the request was answered completely.
func (j *job) clearRequest() {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	j.router.quarantines.requests.Step(time.Now(), quarantine.Completed{Fingerprint: j.digest})
}

// clearParts records that an upstream wrote the first part of the answer, and was not
// crashed by a part of the prompt.
func (j *job) clearParts() {
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	now := time.Now()
	for _, part := range j.sharedParts {
		j.router.quarantines.parts.Step(now, quarantine.Completed{Fingerprint: part})
	}
}
