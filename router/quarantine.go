package router

import (
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/quarantine"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

const (
	// crashLimit is how many upstreams a request may crash before it is quarantined. It is
	// more than 2 because a harmless request that is retried may be at two
	// upstreams that crash at the same time for another reason.
	crashLimit = 3
	// maxUnstored bounds the quarantines that wait to be stored.
	maxUnstored = 256
)

// These bound the crash reports in a message to a peer. Each request that a crash lost has
// several parts.
var (
	reportLimits     = exchange.ReportLimits{MaxAge: 30 * time.Second, MaxEach: 32}
	partReportLimits = exchange.ReportLimits{MaxAge: 30 * time.Second, MaxEach: 96}
)

// quarantines tracks the requests, and the parts of prompts, that crash upstreams. It
// is guarded by Router.mu.
type quarantines struct {
	requests quarantine.Tracker
	parts    quarantine.Diagnosis
	// unstored holds the changes that this instance is to make in the store.
	unstored chan storeChange
}

func (q *quarantines) init() {
	q.requests.CrashLimit = crashLimit
	q.unstored = make(chan storeChange, maxUnstored)
}

// tracker holds what is known of one kind of fingerprints.
type tracker interface {
	exchange.Tracker
	Quarantine(now time.Time, f id.Fingerprint) (quarantine.Quarantine, bool)
	Expired(now time.Time, q quarantine.Quarantine) bool
}

// tracker returns the tracker of a kind of fingerprints, or nil if there is none.
func (q *quarantines) tracker(kind quarantine.Kind) tracker {
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
	return q.requests.Verdict(now, digest) == quarantine.Quarantined || q.firstQuarantined(now, parts) != 0
}

// firstQuarantined returns the first part that is quarantined, or 0 if none is.
func (q *quarantines) firstQuarantined(now time.Time, parts []id.Fingerprint) id.Fingerprint {
	for _, part := range parts {
		if _, held := q.parts.Quarantine(now, part); held {
			return part
		}
	}
	return 0
}

// trial reports whether a request with quarantined parts is sent all the same, to learn
// which of them crash upstreams.
func (q *quarantines) trial(now time.Time, request id.Request, digest id.Fingerprint, parts []id.Fingerprint, self id.Instance, live []id.Instance) bool {
	if q.firstQuarantined(now, parts) == 0 || q.requests.Verdict(now, digest) == quarantine.Quarantined {
		return false
	}
	return q.parts.Trial(now, request, parts, self, live)
}

// addReports adds the crash reports to a message to a peer, in reply to the peer's
// own if received is not nil.
func (q *quarantines) addReports(now time.Time, s, received *exchange.State) {
	q.handleReceived(now, quarantine.Part, "time", q.parts.Step(now, quarantine.TimePassed{}))
	s.RequestCrashes = exchange.CrashReportsOf(&q.requests, now, received.GetRequestCrashes(), reportLimits)
	s.PartCrashes = exchange.CrashReportsOf(&q.parts, now, received.GetPartCrashes(), partReportLimits)
}

// receiveReports applies the crashes that a peer reports.
func (q *quarantines) receiveReports(now time.Time, s *exchange.State) {
	source := "peer " + s.Self.GetInstance()
	q.handleReceived(now, quarantine.Request, source, exchange.ApplyCrashReports(&q.requests, now, s.RequestCrashes))
	q.handleReceived(now, quarantine.Part, source, exchange.ApplyCrashReports(&q.parts, now, s.PartCrashes))
}

// handleReceived handles the effects of something received from a source.
func (q *quarantines) handleReceived(now time.Time, kind quarantine.Kind, source string, effects []quarantine.Effect) {
	for _, effect := range effects {
		if started, ok := effect.(quarantine.Started); ok {
			klog.InfoS("quarantine received", "kind", kind, "fingerprint", started.Fingerprint, "source", source)
		}
	}
	q.handle(now, kind, effects)
}

// handle logs the quarantines that ended, and has the changes stored that concern
// crashes observed here.
func (q *quarantines) handle(now time.Time, kind quarantine.Kind, effects []quarantine.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case quarantine.Started:
			if stored, ok := q.tracker(kind).Quarantine(now, effect.Fingerprint); ok && effect.Local {
				q.store(storeChange{Stored: quarantine.Stored{Kind: kind, Quarantine: stored}})
			}
		case quarantine.Ended:
			klog.InfoS("quarantine ended", "kind", kind, "fingerprint", effect.Fingerprint)
			if effect.Local {
				q.store(storeChange{
					Stored: quarantine.Stored{Kind: kind, Quarantine: quarantine.Quarantine{Fingerprint: effect.Fingerprint}},
					drop:   true,
				})
			}
		}
	}
}

// store queues a change of the stored quarantines.
func (q *quarantines) store(change storeChange) {
	select {
	case q.unstored <- change:
	default:
		klog.InfoS("quarantine not stored", "kind", change.Kind, "fingerprint", change.Fingerprint, "err", "too many wait")
	}
}
