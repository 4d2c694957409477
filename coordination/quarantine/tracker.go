// Package quarantine identifies requests that crash the upstreams that run them.
//
// All requests in flight at a crash become suspects. After two crashes, unless
// Tracker.CrashLimit is set, the fingerprint of a request is quarantined. If a
// request with the fingerprint completes before that, the fingerprint is cleared.
// A Diagnosis does the same for the parts that requests have in common.
// Both are deterministic state machines: time is passed in with each call.
package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

const (
	// DefaultCrashLimit is the number of crashes that quarantines a fingerprint
	// if Tracker.CrashLimit is 0.
	DefaultCrashLimit = 2

	defaultLifetime        = 30 * time.Minute
	defaultMaxFingerprints = 8192
	// maxReported bounds the suspects and the clearances that may be reported.
	maxReported = 256
	// sameCrashWindow is the time between two records of an upstream below which
	// they count as one crash. It is shorter than the shortest ejection of an
	// upstream, so that an upstream gets no work within it after a crash.
	sameCrashWindow = 400 * time.Millisecond
	// UnlimitedCopies is what Tracker.MaxCopies returns if there is no limit.
	UnlimitedCopies = 1 << 30
)

// Verdict is how requests with a fingerprint are treated.
type Verdict string

// The verdicts.
const (
	// Clear requests run normally, up to Tracker.MaxCopies at once.
	Clear Verdict = "clear"
	// Suspected requests run one at a time, not beside other suspects.
	Suspected Verdict = "suspect"
	// Quarantined requests are refused.
	Quarantined Verdict = "quarantined"
)

// PartFingerprint returns the fingerprint of a part of prompts.
func PartFingerprint(name string) id.Fingerprint { return id.Fingerprint(xxhash.Sum64String(name)) }

// InFlight is a request that an upstream was running when it crashed.
type InFlight struct {
	Request     id.Request
	Fingerprint id.Fingerprint
}

// Record is a crash of an upstream while it ran a request. Instances send records
// to each other.
type Record struct {
	Fingerprint id.Fingerprint
	Upstream    id.Upstream
	Request     id.Request
	At          time.Time
	// Local is set if this instance observed the crash.
	Local bool
}

// Event is an input of a Tracker.
type Event interface{ event() }

// Crashed reports that an upstream crashed with requests in flight. There is one
// event for each crash.
type Crashed struct {
	Upstream id.Upstream
	InFlight []InFlight
}

// RecordsReceived carries the records of another instance. Repeated records have
// no effect.
type RecordsReceived struct{ Records []Record }

// Completed reports that a request was answered completely.
type Completed struct{ Fingerprint id.Fingerprint }

// ClearancesReceived carries the clearances of another instance. Repeated ones have
// no effect.
type ClearancesReceived struct{ Clearances []Clearance }

// QuarantinesReceived carries the quarantines of another instance. Repeated ones have
// no effect.
type QuarantinesReceived struct{ Quarantines []Quarantine }

// VerdictRequested requests the verdict on a fingerprint.
type VerdictRequested struct{ Fingerprint id.Fingerprint }

func (Crashed) event()             {}
func (RecordsReceived) event()     {}
func (Completed) event()           {}
func (ClearancesReceived) event()  {}
func (QuarantinesReceived) event() {}
func (VerdictRequested) event()    {}

// Effect is an output of a Tracker.
type Effect interface{ effect() }

// BroadcastRecords requests that records be sent to all instances.
type BroadcastRecords struct{ Records []Record }

// Started reports a fingerprint whose requests are refused from now on.
type Started struct {
	Fingerprint id.Fingerprint
	// Local is set if this instance observed one of the crashes. There are
	// few of these, and at least one.
	Local bool
}

// Ended reports a fingerprint whose quarantine ended by a completion.
type Ended struct {
	Fingerprint id.Fingerprint
	// Local is set as in Started.
	Local bool
}

// VerdictResult is the reply to VerdictRequested.
type VerdictResult struct {
	Fingerprint id.Fingerprint
	Verdict     Verdict
}

func (BroadcastRecords) effect() {}
func (Started) effect()          {}
func (Ended) effect()            {}
func (VerdictResult) effect()    {}

// Tracker tracks suspected and quarantined fingerprints. Its zero value is ready
// for use. Set its exported fields before the first use. It is not safe for
// concurrent use.
type Tracker struct {
	// Lifetime is how long a crash counts; 0 means 30 minutes.
	Lifetime time.Duration
	// MaxFingerprints limits the number of suspected, of quarantined and of
	// completed fingerprints, each. The least recently used is dropped first.
	// 0 means 8,192.
	MaxFingerprints int
	// CrashLimit is the number of crashes that quarantines a fingerprint; 0
	// means DefaultCrashLimit.
	CrashLimit int

	suspects    *simplelru.LRU[id.Fingerprint, []Record]
	quarantined *simplelru.LRU[id.Fingerprint, []Record]
	// recent holds the suspects with the newest records, so that reports need not
	// look at all.
	recent *simplelru.LRU[id.Fingerprint, struct{}]
	// completions holds the time at which a request last completed.
	completions *simplelru.LRU[id.Fingerprint, time.Time]
	// clearances holds the fingerprints whose completions other instances may
	// need, and since when.
	clearances         *simplelru.LRU[id.Fingerprint, time.Time]
	quarantinesStarted int
}

// Step applies ev at now and returns the effects to carry out, in order. The
// fingerprint 0 stands for none and is never suspected.
func (t *Tracker) Step(now time.Time, ev Event) []Effect {
	t.init()
	switch ev := ev.(type) {
	case Crashed:
		return t.crashed(now, ev)
	case RecordsReceived:
		return t.recordsReceived(now, ev)
	case Completed:
		return t.completed(now, ev.Fingerprint)
	case ClearancesReceived:
		return t.clearancesReceived(now, ev)
	case QuarantinesReceived:
		return t.quarantinesReceived(now, ev)
	case VerdictRequested:
		return []Effect{VerdictResult{ev.Fingerprint, t.Verdict(now, ev.Fingerprint)}}
	}
	return nil
}

// Verdict returns the verdict on a fingerprint.
func (t *Tracker) Verdict(now time.Time, f id.Fingerprint) Verdict {
	t.init()
	switch {
	case t.isQuarantined(now, f):
		return Quarantined
	case len(t.suspicions(now, f)) > 0:
		return Suspected
	default:
		return Clear
	}
}

// MaxCopies returns how many requests with a fingerprint may be queued or running
// at once. There is no limit for the fingerprint 0, nor once a request has completed
// without a later crash. Otherwise the limit is the number of crashes left until the
// quarantine, so that requests running at once can't cause more.
func (t *Tracker) MaxCopies(now time.Time, f id.Fingerprint) int {
	t.init()
	if t.isQuarantined(now, f) {
		return 0
	}
	n := len(t.suspicions(now, f))
	if n == 0 && (f == 0 || t.completions.Contains(f)) {
		return UnlimitedCopies
	}
	return max(0, t.crashLimit()-n)
}

// QuarantinesStarted returns the number of quarantines started so far.
func (t *Tracker) QuarantinesStarted() int { return t.quarantinesStarted }

// Records returns all crashes that still count at now, to send to an instance that
// has just started.
func (t *Tracker) Records(now time.Time) []Record {
	t.init()
	var all []Record
	for _, table := range []*simplelru.LRU[id.Fingerprint, []Record]{t.quarantined, t.suspects} {
		for _, f := range table.Keys() {
			records, _ := table.Peek(f)
			all = append(all, t.unexpired(now, records)...)
		}
	}
	return all
}

func (t *Tracker) crashed(now time.Time, ev Crashed) []Effect {
	var records []Record
	var effects []Effect
	seen := map[id.Fingerprint]bool{0: true}
	for _, in := range ev.InFlight {
		if seen[in.Fingerprint] {
			continue
		}
		seen[in.Fingerprint] = true
		r := Record{Fingerprint: in.Fingerprint, Upstream: ev.Upstream, Request: in.Request, At: now, Local: true}
		records = append(records, r)
		effects = append(effects, t.addRecord(now, r)...)
	}
	if len(records) == 0 {
		return nil
	}
	return append([]Effect{BroadcastRecords{records}}, effects...)
}

func (t *Tracker) recordsReceived(now time.Time, ev RecordsReceived) []Effect {
	var effects []Effect
	for _, r := range ev.Records {
		if r.Fingerprint == 0 || now.Sub(r.At) >= t.lifetime() {
			continue
		}
		effects = append(effects, t.addRecord(now, r)...)
	}
	return effects
}

// addRecord adds a record unless a request with the fingerprint has completed since.
func (t *Tracker) addRecord(now time.Time, r Record) []Effect {
	f := r.Fingerprint
	if t.isQuarantined(now, f) {
		t.quarantined.Get(f)
		return nil
	}
	if completedAt, ok := t.completions.Peek(f); ok {
		t.clearances.Add(f, now)
		if !r.At.After(completedAt) {
			return nil
		}
	}
	records := t.suspicions(now, f)
	if containsCrash(records, r) {
		return nil
	}
	records = append(records, r)
	if len(records) < t.crashLimit() {
		t.suspect(f, records)
		return nil
	}
	return t.quarantine(f, records)
}

func (t *Tracker) suspect(f id.Fingerprint, records []Record) {
	t.suspects.Add(f, records)
	t.recent.Add(f, struct{}{})
}

func (t *Tracker) quarantine(f id.Fingerprint, records []Record) []Effect {
	t.suspects.Remove(f)
	t.quarantined.Add(f, records)
	t.quarantinesStarted++
	return []Effect{Started{f, observedHere(records)}}
}

func (t *Tracker) completed(now time.Time, f id.Fingerprint) []Effect {
	if f == 0 {
		return nil
	}
	if t.isQuarantined(now, f) || t.suspects.Contains(f) {
		t.clear(now, Clearance{f, now})
		return nil
	}
	t.completions.Add(f, now)
	return nil
}

// isQuarantined reports whether requests with a fingerprint are refused.
func (t *Tracker) isQuarantined(now time.Time, f id.Fingerprint) bool {
	records, ok := t.quarantined.Peek(f)
	return ok && len(t.unexpired(now, records)) > 0
}

// suspicions returns the records of a suspect that still count.
func (t *Tracker) suspicions(now time.Time, f id.Fingerprint) []Record {
	records, _ := t.suspects.Peek(f)
	return t.unexpired(now, records)
}

// unexpired returns a copy of the records, or nil if the last one has expired. The
// records of a fingerprint expire together, so that a quarantine ends as a whole.
func (t *Tracker) unexpired(now time.Time, records []Record) []Record {
	if len(records) == 0 || now.Sub(records[len(records)-1].At) >= t.lifetime() {
		return nil
	}
	return append([]Record(nil), records...)
}

func (t *Tracker) crashLimit() int {
	if t.CrashLimit > 0 {
		return t.CrashLimit
	}
	return DefaultCrashLimit
}

func (t *Tracker) lifetime() time.Duration {
	if t.Lifetime > 0 {
		return t.Lifetime
	}
	return defaultLifetime
}

func (t *Tracker) init() {
	if t.completions != nil {
		return
	}
	limit := t.MaxFingerprints
	if limit < 1 {
		limit = defaultMaxFingerprints
	}
	// NewLRU fails only for a size below 1.
	t.suspects, _ = simplelru.NewLRU[id.Fingerprint, []Record](limit, nil)
	t.quarantined, _ = simplelru.NewLRU[id.Fingerprint, []Record](limit, nil)
	t.completions, _ = simplelru.NewLRU[id.Fingerprint, time.Time](limit, nil)
	t.recent, _ = simplelru.NewLRU[id.Fingerprint, struct{}](min(limit, maxReported), nil)
	t.clearances, _ = simplelru.NewLRU[id.Fingerprint, time.Time](min(limit, maxReported), nil)
}
