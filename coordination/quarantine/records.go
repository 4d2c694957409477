package quarantine

import (
	"slices"
	"time"

	"samphirehead/state/id"
)

// withRecord returns records with r added, and reports whether r is the record of a
// further crash, or of an earlier one than the record that it replaces.
func (t *Tracker) withRecord(records []Record, r Record) ([]Record, bool) {
	if t.Separation > 0 {
		separate := t.separate(append(records, r))
		return separate, slices.Contains(separate, r)
	}
	if containsCrash(records, r) {
		return records, false
	}
	return append(records, r), true
}

// separate returns the first record, and of the later ones each that is at least
// Separation after the one before it. As the earlier ones are kept, the records that
// another tracker has kept never give fewer than these, added in their order.
func (t *Tracker) separate(records []Record) []Record {
	slices.SortFunc(records, func(a, b Record) int { return a.At.Compare(b.At) })
	kept := records[:1]
	for _, r := range records[1:] {
		if r.At.Sub(kept[len(kept)-1].At) >= t.Separation && !containsCrash(kept, r) {
			kept = append(kept, r)
		}
	}
	return kept
}

// isProven reports whether the records are enough for a quarantine, given when a
// request with the fingerprint last completed.
func (t *Tracker) isProven(f id.Fingerprint, records []Record) bool {
	completedAt, known := t.completions.Peek(f)
	if t.ProvenSpan <= 0 || !known {
		return true
	}
	first, last := span(records)
	return first.After(completedAt) && last.Sub(first) >= t.ProvenSpan
}

// span returns the times of the first and the last crash.
func span(records []Record) (first, last time.Time) {
	byTime := func(a, b Record) int { return a.At.Compare(b.At) }
	return slices.MinFunc(records, byTime).At, slices.MaxFunc(records, byTime).At
}

// observedHere reports whether this instance observed one of the crashes.
func observedHere(records []Record) bool {
	return slices.ContainsFunc(records, func(r Record) bool { return r.Local })
}

// containsCrash reports whether a record describes the same crash as r.
func containsCrash(records []Record, r Record) bool {
	return slices.ContainsFunc(records, func(known Record) bool { return sameCrash(known, r) })
}

// sameCrash reports whether two records of a fingerprint describe the same crash.
// They do if the upstream is the same and either the request is, too, or the
// upstream lost both requests within sameCrashWindow.
func sameCrash(a, b Record) bool {
	if a.Upstream != b.Upstream {
		return false
	}
	return a.Request == b.Request || a.At.Sub(b.At).Abs() < sameCrashWindow
}
