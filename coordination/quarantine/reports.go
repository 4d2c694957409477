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

func (t *Tracker) clearancesReceived(now time.Time, ev ClearancesReceived) []Effect {
	for _, c := range ev.Clearances {
		if c.Fingerprint != 0 {
			t.clear(now, c)
		}
	}
	return nil
}

// clear applies a clearance that is newer than those known, and has it reported. It
// drops the records up to its time.
func (t *Tracker) clear(now time.Time, c Clearance) {
	f := c.Fingerprint
	if known, ok := t.completions.Peek(f); ok && !c.At.After(known) || t.isQuarantined(now, f) {
		return
	}
	t.completions.Add(f, c.At)
	t.clearances.Add(f, now)
	t.keepSuspicions(f, t.suspicions(now, f), c.At)
}

// keepSuspicions makes the records after a time those of a suspect.
func (t *Tracker) keepSuspicions(f id.Fingerprint, records []Record, after time.Time) {
	var later []Record
	for _, r := range records {
		if r.At.After(after) {
			later = append(later, r)
		}
	}
	if len(later) == 0 {
		t.suspects.Remove(f)
		return
	}
	t.suspect(f, later)
}

// Quarantine is a fingerprint whose requests are refused. Instances send quarantines
// to each other.
type Quarantine struct {
	Fingerprint id.Fingerprint
	// First and Last are the times of the first and the last crash that counted.
	First, Last time.Time
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

// quarantinesReceived starts the quarantines that this instance does not know better.
func (t *Tracker) quarantinesReceived(now time.Time, ev QuarantinesReceived) []Effect {
	var effects []Effect
	for _, q := range ev.Quarantines {
		f := q.Fingerprint
		if f == 0 || t.isQuarantined(now, f) || t.Expired(now, q) {
			continue
		}
		records := []Record{{Fingerprint: f, At: q.First}, {Fingerprint: f, At: q.Last}}
		effects = append(effects, t.quarantine(f, records)...)
	}
	return effects
}

// Expired reports whether a quarantine has ended at now.
func (t *Tracker) Expired(now time.Time, q Quarantine) bool { return now.Sub(q.Last) >= t.lifetime() }

// Quarantines returns all quarantines at now.
func (t *Tracker) Quarantines(now time.Time) []Quarantine {
	t.init()
	var all []Quarantine
	for _, f := range t.quarantined.Keys() {
		if q, ok := t.Quarantine(now, f); ok {
			all = append(all, q)
		}
	}
	return all
}

// Quarantine returns the quarantine of a fingerprint at now, if there is one.
func (t *Tracker) Quarantine(now time.Time, f id.Fingerprint) (Quarantine, bool) {
	t.init()
	records, _ := t.quarantined.Peek(f)
	if records = t.unexpired(now, records); len(records) == 0 {
		return Quarantine{}, false
	}
	first, last := span(records)
	return Quarantine{f, first, last}, true
}

// Reports returns crash records of suspects that are at most maxAge old, and clearances
// that became of use to other instances since then: at most n of each, the newest
// first. They include those received from others.
func (t *Tracker) Reports(now time.Time, maxAge time.Duration, n int) ([]Record, []Clearance) {
	t.init()
	var records []Record
	fingerprints := t.recent.Keys()
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

// recentClearances returns the clearances that other instances may need since at most
// maxAge.
func (t *Tracker) recentClearances(now time.Time, maxAge time.Duration, n int) []Clearance {
	var recent []Clearance
	fingerprints := t.clearances.Keys()
	for i := len(fingerprints) - 1; i >= 0 && len(recent) < n; i-- {
		since, _ := t.clearances.Peek(fingerprints[i])
		completedAt, ok := t.completions.Peek(fingerprints[i])
		if ok && now.Sub(since) < maxAge {
			recent = append(recent, Clearance{fingerprints[i], completedAt})
		}
	}
	return recent
}
