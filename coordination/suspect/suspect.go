// Package suspect finds the requests that crash the upstreams which run them.
//
// All requests in flight at a crash become suspects. A fingerprint with two
// crashes is quarantined; one whose request completes is cleared. The Tracker
// is a deterministic state machine.
package suspect

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

const (
	// CrashLimit is how many crashes quarantine a fingerprint where the tracker
	// names no other number.
	DefaultCrashLimit = 2

	defaultLifetime        = 30 * time.Minute
	defaultMaxFingerprints = 8192
	// sameCrashWindow is shorter than the shortest ejection of an upstream.
	sameCrashWindow = 400 * time.Millisecond
	// Unlimited is the copies that a proven fingerprint may have.
	UnlimitedCopies = 1 << 30
)

// Verdict says how a fingerprint is to be treated.
type Verdict string

// The verdicts.
const (
	// Clear requests run like any other.
	Clear Verdict = "clear"
	// Suspected requests run one at a time, apart from other suspects.
	Suspected Verdict = "suspect"
	// Quarantined requests are refused.
	Quarantined Verdict = "quarantined"
)

// InFlight is one request in progress at a crash.
type InFlight struct {
	Request     id.Request
	Fingerprint id.Fingerprint
}

// Record is one crash under one request, as instances tell it to each other.
type Record struct {
	Fingerprint id.Fingerprint
	Upstream    id.Upstream
	Request     id.Request
	At          time.Time
}

// Event is one input of the tracker.
type Event interface{ event() }

// Crashed reports that an upstream crashed with requests in flight. It is sent
// once for each crash.
type Crashed struct {
	Upstream id.Upstream
	InFlight []InFlight
}

// Heard takes over what another instance tells; repeats change nothing.
type RecordsReceived struct{ Records []Record }

// Completed reports a whole answer.
type Completed struct{ Fingerprint id.Fingerprint }

// Asked asks for the verdict on a fingerprint.
type VerdictRequested struct{ Fingerprint id.Fingerprint }

func (Crashed) event()          {}
func (RecordsReceived) event()  {}
func (Completed) event()        {}
func (VerdictRequested) event() {}

// Effect is one output of the tracker.
type Effect interface{ effect() }

// Spread asks to tell records to all instances.
type BroadcastRecords struct{ Records []Record }

// QuarantineBegan reports a fingerprint that is refused from now on.
type QuarantineStarted struct{ Fingerprint id.Fingerprint }

// Judged answers Asked.
type VerdictResult struct {
	Fingerprint id.Fingerprint
	Verdict     Verdict
}

func (BroadcastRecords) effect()  {}
func (QuarantineStarted) effect() {}
func (VerdictResult) effect()     {}

// Tracker holds the suspects. Its zero value is ready for use; its exported
// fields are set before first use. It is not safe for concurrent use.
type Tracker struct {
	// Lifetime is how long a crash counts; 0 means 30 minutes.
	Lifetime time.Duration
	// Limit bounds the suspects, the quarantined and the proven
	// fingerprints, each; the least recently used is forgotten first. 0
	// means 8,192.
	MaxFingerprints int
	// Crashes is how many crashes quarantine a fingerprint; 0 means
	// CrashLimit.
	CrashLimit int

	suspects    *simplelru.LRU[id.Fingerprint, []Record]
	quarantined *simplelru.LRU[id.Fingerprint, []Record]
	// proven has when a request of the fingerprint last completed.
	completions *simplelru.LRU[id.Fingerprint, time.Time]
	// begun counts quarantines.
	quarantinesStarted int
}

// Step applies ev at now and returns the effects to carry out, in order. A
// fingerprint of 0 is never suspected.
func (t *Tracker) Step(now time.Time, ev Event) []Effect {
	t.init()
	switch ev := ev.(type) {
	case Crashed:
		return t.crashed(now, ev)
	case RecordsReceived:
		return t.recordsReceived(now, ev)
	case Completed:
		t.completed(now, ev.Fingerprint)
	case VerdictRequested:
		return []Effect{VerdictResult{ev.Fingerprint, t.Verdict(now, ev.Fingerprint)}}
	}
	return nil
}

// Verdict returns the verdict on a fingerprint.
func (t *Tracker) Verdict(now time.Time, f id.Fingerprint) Verdict {
	t.init()
	switch n := t.crashCount(now, f); {
	case n >= t.crashLimit():
		return Quarantined
	case n > 0:
		return Suspected
	default:
		return Clear
	}
}

// Copies returns how many requests of a fingerprint may be queued or running
// together: any number once one has completed, else as many as can crash
// before the quarantine.
func (t *Tracker) MaxCopies(now time.Time, f id.Fingerprint) int {
	t.init()
	n := t.crashCount(now, f)
	if n == 0 && (f == 0 || t.completions.Contains(f)) {
		return UnlimitedCopies
	}
	return max(0, t.crashLimit()-n)
}

// Begun returns how many quarantines have begun so far.
func (t *Tracker) QuarantinesStarted() int { return t.quarantinesStarted }

// Records returns all crashes that count at now, for an instance that is new.
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
		r := Record{in.Fingerprint, ev.Upstream, in.Request, now}
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
		if completedAt, ok := t.completions.Peek(r.Fingerprint); ok && !r.At.After(completedAt) {
			continue
		}
		effects = append(effects, t.addRecord(now, r)...)
	}
	return effects
}

func (t *Tracker) addRecord(now time.Time, r Record) []Effect {
	f := r.Fingerprint
	if _, ok := t.quarantined.Get(f); ok && t.crashCount(now, f) >= t.crashLimit() {
		return nil
	}
	t.completions.Remove(f)
	old, _ := t.suspects.Get(f)
	records := t.unexpired(now, old)
	for _, known := range records {
		if sameCrash(known, r) {
			return nil
		}
	}
	records = append(records, r)
	if len(records) < t.crashLimit() {
		t.suspects.Add(f, records)
		return nil
	}
	t.suspects.Remove(f)
	t.quarantined.Add(f, records)
	t.quarantinesStarted++
	return []Effect{QuarantineStarted{f}}
}

// sameCrash reports whether two records tell of one crash: of the same request,
// or of equal requests that the upstream lost together. An upstream gets no work
// for longer than sameCrashWindow after a crash.
func sameCrash(a, b Record) bool {
	if a.Upstream != b.Upstream {
		return false
	}
	return a.Request == b.Request || a.At.Sub(b.At).Abs() < sameCrashWindow
}

func (t *Tracker) completed(now time.Time, f id.Fingerprint) {
	if f == 0 || t.crashCount(now, f) >= t.crashLimit() {
		return
	}
	t.suspects.Remove(f)
	t.completions.Add(f, now)
}

// crashes counts the crashes of a fingerprint that have not lapsed.
func (t *Tracker) crashCount(now time.Time, f id.Fingerprint) int {
	if f == 0 {
		return 0
	}
	if records, ok := t.quarantined.Peek(f); ok {
		if n := len(t.unexpired(now, records)); n > 0 {
			return n
		}
	}
	records, ok := t.suspects.Peek(f)
	if !ok {
		return 0
	}
	return len(t.unexpired(now, records))
}

// fresh returns the records that have not lapsed, in a slice of its own. A
// quarantine ends as a whole, when its last crash lapses.
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
}
