package quarantine

import (
	"slices"
	"time"
)

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
