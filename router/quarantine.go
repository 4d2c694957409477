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
	// maxUnstored bounds the quarantines that wait to be stored.
	maxUnstored = 256
)

// reportLimits bound the crash reports in a message to a peer.
var reportLimits = exchange.ReportLimits{MaxAge: 30 * time.Second, MaxEach: 32}

// quarantines tracks the requests, and the parts of prompts, that crash upstreams. It
// is guarded by Router.mu.
type quarantines struct {
	requests, parts quarantine.Tracker
	// unstored holds quarantines that this instance is to store.
	unstored chan quarantine.Stored
}

func (q *quarantines) init() {
	q.requests.CrashLimit = crashLimit
	q.parts.CrashLimit = crashLimit
	q.parts.Separation = partCrashSeparation
	q.unstored = make(chan quarantine.Stored, maxUnstored)
}

// tracker returns the tracker of a kind of fingerprints, or nil if there is none.
func (q *quarantines) tracker(kind quarantine.Kind) *quarantine.Tracker {
	switch kind {
	case quarantine.Request:
		return &q.requests
	case quarantine.Part:
		return &q.parts
	}
	return nil
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
	source := "peer " + s.Self.GetInstance()
	q.handleReceived(now, quarantine.Request, source, exchange.ApplyCrashReports(&q.requests, now, s.RequestCrashes))
	q.handleReceived(now, quarantine.Part, source, exchange.ApplyCrashReports(&q.parts, now, s.PartCrashes))
}

// handleReceived logs the quarantines that start because of something received, and
// has them stored.
func (q *quarantines) handleReceived(now time.Time, kind quarantine.Kind, source string, effects []quarantine.Effect) {
	for _, started := range startedIn(effects) {
		klog.InfoS("quarantine received", "kind", kind, "fingerprint", started.Fingerprint, "source", source)
	}
	q.store(now, kind, effects)
}

// store has the quarantines stored that started with a crash observed here.
func (q *quarantines) store(now time.Time, kind quarantine.Kind, effects []quarantine.Effect) {
	for _, started := range startedIn(effects) {
		if !started.Local {
			continue
		}
		select {
		case q.unstored <- quarantine.Stored{Kind: kind, Quarantine: quarantine.Quarantine{Fingerprint: started.Fingerprint, At: now}}:
		default:
			klog.InfoS("quarantine not stored", "kind", kind, "fingerprint", started.Fingerprint, "err", "too many wait")
		}
	}
}

func startedIn(effects []quarantine.Effect) []quarantine.Started {
	var all []quarantine.Started
	for _, effect := range effects {
		if started, ok := effect.(quarantine.Started); ok {
			all = append(all, started)
		}
	}
	return all
}
