package exchange

import (
	"time"

	"samphirehead/coordination/quarantine"
	"samphirehead/state/id"
)

// CrashesToProto converts crash records to messages, with ages relative to now.
func CrashesToProto(records []quarantine.Record, now time.Time) []*Crash {
	out := make([]*Crash, len(records))
	for i, r := range records {
		out[i] = &Crash{
			Fingerprint: uint64(r.Fingerprint),
			Upstream:    string(r.Upstream),
			Request:     string(r.Request),
			AgeUs:       max(now.Sub(r.At), 0).Microseconds(),
		}
	}
	return out
}

// CrashesFromProto converts messages that were received at now to crash records.
func CrashesFromProto(crashes []*Crash, now time.Time) []quarantine.Record {
	records := make([]quarantine.Record, len(crashes))
	for i, c := range crashes {
		records[i] = quarantine.Record{
			Fingerprint: id.Fingerprint(c.Fingerprint),
			Upstream:    id.Upstream(c.Upstream),
			Request:     id.Request(c.Request),
			At:          timeOf(c.AgeUs, now),
		}
	}
	return records
}

// CrashReportsOf returns the reports of a tracker that are at most maxAge old, at most
// n of each kind.
func CrashReportsOf(t *quarantine.Tracker, now time.Time, maxAge time.Duration, n int) *CrashReports {
	records, clearances := t.Reports(now, maxAge, n)
	out := &CrashReports{Crashes: CrashesToProto(records, now)}
	for _, c := range clearances {
		out.Clearances = append(out.Clearances, &Clearance{Fingerprint: uint64(c.Fingerprint), AgeUs: max(now.Sub(c.At), 0).Microseconds()})
	}
	return out
}

// ApplyCrashReports passes reports that were received at now to a tracker, and returns
// its effects.
func ApplyCrashReports(t *quarantine.Tracker, now time.Time, reports *CrashReports) []quarantine.Effect {
	clearances := make([]quarantine.Clearance, len(reports.GetClearances()))
	for i, c := range reports.GetClearances() {
		clearances[i] = quarantine.Clearance{Fingerprint: id.Fingerprint(c.Fingerprint), At: timeOf(c.AgeUs, now)}
	}
	effects := t.Step(now, quarantine.RecordsReceived{Records: CrashesFromProto(reports.GetCrashes(), now)})
	return append(effects, t.Step(now, quarantine.ClearancesReceived{Clearances: clearances})...)
}

// timeOf returns the time of an event that was ageUs microseconds old at now.
func timeOf(ageUs int64, now time.Time) time.Time {
	return now.Add(-max(time.Duration(ageUs)*time.Microsecond, 0))
}
