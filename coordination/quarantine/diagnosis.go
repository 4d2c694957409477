package quarantine

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"samphirehead/state/id"
)

// Diagnosis tells the parts of prompts that crash upstreams from the others in the same
// prompts, and from those of requests that were at the same upstreams. Each crash is a set of
// suspects one of which may be the cause; an answer that begins clears the parts of its prompt
// of all earlier crashes. The quarantined parts are a small set that explains the crashes
// (cover.go). The zero value is ready for use. It is not safe for concurrent use.
type Diagnosis struct {
	// crashes are ordered by time. There are at most maxCrashes.
	crashes []crash
	// records counts those in crashes by part.
	records map[id.Fingerprint]int
	// nextDue is when time alone makes a part the cause of crashes; zero if it never does.
	nextDue time.Time
	// changed is set if a suspect was cleared, or a part quarantined, since the last diagnosis.
	changed bool
	// begun holds the time at which an answer last began.
	begun *simplelru.LRU[id.Fingerprint, time.Time]
	// clearances holds the parts whose beginnings other instances may need, and since when.
	clearances  *simplelru.LRU[id.Fingerprint, time.Time]
	quarantined *simplelru.LRU[id.Fingerprint, heldPart]
	// trials holds those of quarantined parts.
	trials *simplelru.LRU[id.Fingerprint, trial]
	// trialStarted is when the trial that runs was started, and trialRequest its request.
	trialStarted time.Time
	trialRequest id.Request
	// refused holds the sets of the quarantined parts of refused requests.
	refused            *simplelru.LRU[string, []id.Fingerprint]
	quarantinesStarted int
}

// heldPart is a quarantined part.
type heldPart struct {
	Quarantine
	// since is when this instance began to refuse requests with it.
	since time.Time
	// local is set if this instance observed one of the crashes.
	local bool
}

// TimePassed lets a Diagnosis decide what follows from the time without answers.
type TimePassed struct{}

func (TimePassed) event() {}

// Step applies ev at now and returns the effects to carry out, in order. InFlight are the
// parts of one request or several. The fingerprint 0 stands for none and is never suspected.
func (d *Diagnosis) Step(now time.Time, ev Event) []Effect {
	d.init()
	switch ev := ev.(type) {
	case Crashed:
		return d.crashed(now, ev)
	case RecordsReceived:
		return d.recordsReceived(now, ev)
	case Completed:
		return d.clear(now, Clearance{ev.Fingerprint, now})
	case ClearancesReceived:
		return d.clearancesReceived(now, ev)
	case QuarantinesReceived:
		return d.quarantinesReceived(now, ev)
	case TimePassed:
		return d.passTime(now)
	case VerdictRequested:
		return []Effect{VerdictResult{ev.Fingerprint, d.Verdict(now, ev.Fingerprint)}}
	}
	return nil
}

// Verdict returns the verdict on a part.
func (d *Diagnosis) Verdict(now time.Time, f id.Fingerprint) Verdict {
	d.init()
	switch {
	case d.isQuarantined(now, f):
		return Quarantined
	case d.isSuspected(f):
		return Suspected
	default:
		return Clear
	}
}

// QuarantinesStarted returns the number of quarantines started so far.
func (d *Diagnosis) QuarantinesStarted() int { return d.quarantinesStarted }

// Expired reports whether a quarantine has ended at now.
func (d *Diagnosis) Expired(now time.Time, q Quarantine) bool {
	return now.Sub(q.Last) >= defaultLifetime
}

// Quarantines returns all quarantines at now.
func (d *Diagnosis) Quarantines(now time.Time) []Quarantine {
	d.init()
	var all []Quarantine
	for _, f := range d.quarantined.Keys() {
		if q, ok := d.Quarantine(now, f); ok {
			all = append(all, q)
		}
	}
	return all
}

// Quarantine returns the quarantine of a part at now, if there is one.
func (d *Diagnosis) Quarantine(now time.Time, f id.Fingerprint) (Quarantine, bool) {
	d.init()
	held, ok := d.quarantined.Peek(f)
	return held.Quarantine, ok && !d.Expired(now, held.Quarantine)
}

// Reports returns the records of crashes that are at most maxAge old and not cleared, and
// clearances that became of use to other instances since then: at most n of each, the newest
// first. They include those received from others.
func (d *Diagnosis) Reports(now time.Time, maxAge time.Duration, n int) ([]Record, []Clearance) {
	d.init()
	var records []Record
	for i := len(d.crashes) - 1; i >= 0 && len(records) < n && now.Sub(d.crashes[i].at) < maxAge+sameCrashWindow; i-- {
		for _, r := range d.crashes[i].records {
			if now.Sub(r.At) < maxAge && d.suspects(r) {
				records = append(records, r)
			}
		}
	}
	return records[:min(n, len(records))], d.recentClearances(now, maxAge, n)
}

func (d *Diagnosis) recentClearances(now time.Time, maxAge time.Duration, n int) []Clearance {
	var recent []Clearance
	fingerprints := d.clearances.Keys()
	for i := len(fingerprints) - 1; i >= 0 && len(recent) < n; i-- {
		since, _ := d.clearances.Peek(fingerprints[i])
		begunAt, ok := d.begun.Peek(fingerprints[i])
		if ok && now.Sub(since) < maxAge {
			recent = append(recent, Clearance{fingerprints[i], begunAt})
		}
	}
	return recent
}

func (d *Diagnosis) crashed(now time.Time, ev Crashed) []Effect {
	var records []Record
	for _, in := range ev.InFlight {
		records = append(records, Record{Fingerprint: in.Fingerprint, Upstream: ev.Upstream, Request: in.Request, At: now, Local: true})
	}
	for _, r := range records {
		d.add(r)
	}
	effects := append([]Effect{BroadcastRecords{records}}, d.diagnose(now)...)
	return append(effects, d.trialsCrashed(now, records)...)
}

func (d *Diagnosis) recordsReceived(now time.Time, ev RecordsReceived) []Effect {
	added := false
	for _, r := range ev.Records {
		if now.Sub(r.At) < defaultLifetime && d.add(r) {
			added = true
		}
	}
	if !added {
		return nil
	}
	return d.diagnose(now)
}

func (d *Diagnosis) clearancesReceived(now time.Time, ev ClearancesReceived) []Effect {
	var effects []Effect
	for _, c := range ev.Clearances {
		effects = append(effects, d.clear(now, c)...)
	}
	return effects
}

// clear applies a clearance that is newer than those known. It is reported if other instances
// may suspect the part. It ends a quarantine unless enough crashes came later.
func (d *Diagnosis) clear(now time.Time, c Clearance) []Effect {
	f := c.Fingerprint
	if known, ok := d.begun.Peek(f); f == 0 || ok && !c.At.After(known) {
		return nil
	}
	suspected := d.isSuspected(f)
	held, quarantined := d.quarantined.Peek(f)
	d.begun.Add(f, c.At)
	if !suspected && !quarantined {
		return nil
	}
	d.clearances.Add(f, now)
	d.changed = true
	if !quarantined || held.First.After(c.At) && held.Last.Sub(held.First) >= provenSpan {
		return nil
	}
	d.quarantined.Remove(f)
	if last, ok := d.trials.Peek(f); ok && last.request == d.trialRequest {
		d.trialStarted = time.Time{}
	}
	// What the part explained may have another cause.
	return append([]Effect{Ended{f, held.local}}, d.diagnose(now)...)
}

// quarantinesReceived starts the quarantines that this instance does not know better.
func (d *Diagnosis) quarantinesReceived(now time.Time, ev QuarantinesReceived) []Effect {
	var effects []Effect
	for _, q := range ev.Quarantines {
		f := q.Fingerprint
		if f == 0 || d.isQuarantined(now, f) || d.Expired(now, q) {
			continue
		}
		if begunAt, ok := d.begun.Peek(f); ok && (!q.First.After(begunAt) || q.Last.Sub(q.First) < provenSpan) {
			d.clearances.Add(f, now)
			continue
		}
		effects = append(effects, d.quarantine(heldPart{Quarantine: q, since: now}))
	}
	return effects
}

func (d *Diagnosis) quarantine(h heldPart) Effect {
	d.changed = true
	d.trials.Remove(h.Fingerprint)
	d.quarantined.Add(h.Fingerprint, h)
	d.quarantinesStarted++
	return Started{h.Fingerprint, h.local}
}

func (d *Diagnosis) isQuarantined(now time.Time, f id.Fingerprint) bool {
	_, ok := d.Quarantine(now, f)
	return ok
}

func (d *Diagnosis) init() {
	if d.begun != nil {
		return
	}
	// NewLRU fails only for a size below 1.
	d.records = make(map[id.Fingerprint]int)
	d.begun, _ = simplelru.NewLRU[id.Fingerprint, time.Time](defaultMaxFingerprints, nil)
	d.clearances, _ = simplelru.NewLRU[id.Fingerprint, time.Time](maxReported, nil)
	d.quarantined, _ = simplelru.NewLRU[id.Fingerprint, heldPart](defaultMaxFingerprints, nil)
	d.trials, _ = simplelru.NewLRU[id.Fingerprint, trial](defaultMaxFingerprints, nil)
	d.refused, _ = simplelru.NewLRU[string, []id.Fingerprint](maxHeld, nil)
}
