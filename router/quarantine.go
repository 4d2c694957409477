package router

import (
	"slices"
	"strconv"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/quarantine"
	"samphirehead/coordination/rendezvous"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

const (
	// crashLimit is how many upstreams a request, or a part of prompts, may crash
	// before it is quarantined. It is more than 2 because a harmless request that
	// is retried may be at two upstreams that crash at the same time for another
	// reason.
	crashLimit = 3
	// suspicionLimit is how many crashes count against a part, without an answer
	// since, until a request under which an upstream crashed is not sent to another.
	suspicionLimit = 2
	// partCrashSeparation is the time between crashes that count against a part. A
	// part that many requests have may be at several upstreams that crash at once.
	// Between crashes further apart, requests with a harmless part are answered.
	partCrashSeparation = 300 * time.Millisecond
	// partProvenSpan is how long a part whose requests were answered before must
	// crash upstreams, without an answer, until it is quarantined. Under a crashing
	// part, the others of the same prompts are suspects, too.
	partProvenSpan = 2 * time.Second
	// maxUnstored bounds the quarantines that wait to be stored.
	maxUnstored = 256
)

// reportLimits bound the crash reports in a message to a peer.
var reportLimits = exchange.ReportLimits{MaxAge: 30 * time.Second, MaxEach: 32}

// quarantines tracks the requests, and the parts of prompts, that crash upstreams. It
// is guarded by Router.mu.
type quarantines struct {
	requests, parts quarantine.Tracker
	// unstored holds the changes that this instance is to make in the store.
	unstored chan storeChange
}

func (q *quarantines) init() {
	q.requests.CrashLimit = crashLimit
	q.parts.CrashLimit = crashLimit
	q.parts.Separation = partCrashSeparation
	q.parts.ProvenSpan = partProvenSpan
	q.unstored = make(chan storeChange, maxUnstored)
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
	return q.requests.Verdict(now, digest) == quarantine.Quarantined || q.firstQuarantined(now, parts) != 0
}

// firstQuarantined returns the first part that is quarantined, or 0 if none is.
func (q *quarantines) firstQuarantined(now time.Time, parts []id.Fingerprint) id.Fingerprint {
	for _, part := range parts {
		if q.parts.Verdict(now, part) == quarantine.Quarantined {
			return part
		}
	}
	return 0
}

// trial reports whether a request with quarantined parts is sent all the same, to learn
// which of them crash upstreams. A few of the live instances make the trials of a part.
func (q *quarantines) trial(now time.Time, digest id.Fingerprint, parts []id.Fingerprint, self id.Instance, live []id.Instance) bool {
	first := q.firstQuarantined(now, parts)
	if first == 0 || q.requests.Verdict(now, digest) == quarantine.Quarantined {
		return false
	}
	homes := rendezvous.Homes(strconv.FormatUint(uint64(first), 16), live, quarantine.TrialInstances)
	return q.parts.Trial(now, parts, slices.Contains(homes, self))
}

// suspects reports whether one of the shared parts of a prompt has crashed upstreams
// repeatedly.
func (q *quarantines) suspects(now time.Time, parts []id.Fingerprint) bool {
	for _, part := range parts {
		if q.parts.Crashes(now, part) >= suspicionLimit {
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
