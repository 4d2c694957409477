package quarantine

import "slices"

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
