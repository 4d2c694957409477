package quarantine

import (
	"time"

	"samphirehead/state/id"
)

// Clearance reports that a request with a fingerprint completed: crashes before that
// were not caused by it. Instances send clearances to each other.
type Clearance struct {
	Fingerprint id.Fingerprint
	At          time.Time
}

func (t *Tracker) clearancesReceived(now time.Time, ev ClearancesReceived) {
	for _, c := range ev.Clearances {
		if c.Fingerprint == 0 || t.crashCount(now, c.Fingerprint) >= t.crashLimit() {
			continue
		}
		if known, ok := t.completions.Peek(c.Fingerprint); ok && !c.At.After(known) {
			continue
		}
		t.completions.Add(c.Fingerprint, c.At)
		t.clearances.Add(c.Fingerprint, c.At)
		t.dropRecordsUntil(c)
	}
}

// dropRecordsUntil drops the records of a suspect that are not later than its
// clearance.
func (t *Tracker) dropRecordsUntil(c Clearance) {
	records, ok := t.suspects.Peek(c.Fingerprint)
	if !ok {
		return
	}
	var later []Record
	for _, r := range records {
		if r.At.After(c.At) {
			later = append(later, r)
		}
	}
	if len(later) == 0 {
		t.suspects.Remove(c.Fingerprint)
		return
	}
	t.suspects.Add(c.Fingerprint, later)
}

// Quarantine is a fingerprint whose requests are refused. Instances send quarantines
// to each other.
type Quarantine struct {
	Fingerprint id.Fingerprint
	// At is the time of the last crash that counted.
	At time.Time
}

// Kind is what a fingerprint stands for.
type Kind string

// The kinds of fingerprints.
const (
	Request Kind = "request"
	Part    Kind = "part"
)

// Stored is a quarantine that is stored for instances that start later.
type Stored struct {
	Kind Kind
	Quarantine
}

func (t *Tracker) quarantinesReceived(now time.Time, ev QuarantinesReceived) []Effect {
	var effects []Effect
	for _, q := range ev.Quarantines {
		known := t.crashCount(now, q.Fingerprint) >= t.crashLimit()
		if q.Fingerprint == 0 || known || t.Expired(now, q) {
			continue
		}
		effects = append(effects, t.quarantine(q.Fingerprint, []Record{{Fingerprint: q.Fingerprint, At: q.At}})...)
	}
	return effects
}

// Expired reports whether a quarantine has ended at now.
func (t *Tracker) Expired(now time.Time, q Quarantine) bool { return now.Sub(q.At) >= t.lifetime() }

// Quarantines returns all quarantines at now.
func (t *Tracker) Quarantines(now time.Time) []Quarantine {
	t.init()
	var all []Quarantine
	for _, f := range t.quarantined.Keys() {
		records, _ := t.quarantined.Peek(f)
		if records = t.unexpired(now, records); len(records) > 0 {
			all = append(all, Quarantine{f, records[len(records)-1].At})
		}
	}
	return all
}

// Reports returns crash records of suspects and clearances that are at most maxAge
// old, for other instances: at most n of each, the newest first. They include those
// received from others.
func (t *Tracker) Reports(now time.Time, maxAge time.Duration, n int) ([]Record, []Clearance) {
	t.init()
	var records []Record
	fingerprints := t.suspects.Keys()
	for i := len(fingerprints) - 1; i >= 0 && len(records) < n; i-- {
		found, _ := t.suspects.Peek(fingerprints[i])
		records = append(records, youngerThan(maxAge, now, found)...)
	}
	return records[:min(n, len(records))], t.recentClearances(now, maxAge, n)
}

func youngerThan(maxAge time.Duration, now time.Time, records []Record) []Record {
	var young []Record
	for _, r := range records {
		if now.Sub(r.At) < maxAge {
			young = append(young, r)
		}
	}
	return young
}

func (t *Tracker) recentClearances(now time.Time, maxAge time.Duration, n int) []Clearance {
	var recent []Clearance
	fingerprints := t.clearances.Keys()
	for i := len(fingerprints) - 1; i >= 0 && len(recent) < n; i-- {
		at, _ := t.clearances.Peek(fingerprints[i])
		if now.Sub(at) < maxAge {
			recent = append(recent, Clearance{fingerprints[i], at})
		}
	}
	return recent
}
