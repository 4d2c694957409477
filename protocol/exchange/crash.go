package exchange

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

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
			AgeUs:       ageOf(r.At, now),
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

// ReportLimits bound the crash reports in one message.
type ReportLimits struct {
	// MaxAge is how long crashes and clearances are reported.
	MaxAge time.Duration
	// MaxEach bounds the crashes, the clearances and the quarantines, each.
	MaxEach int
}

// Tracker is a quarantine.Tracker or a quarantine.Diagnosis.
type Tracker interface {
	Step(now time.Time, ev quarantine.Event) []quarantine.Effect
	Reports(now time.Time, maxAge time.Duration, n int) ([]quarantine.Record, []quarantine.Clearance)
	Quarantines(now time.Time) []quarantine.Quarantine
}

// CrashReportsOf returns the reports of a tracker in reply to those received, which are
// nil for a message that is no reply.
func CrashReportsOf(t Tracker, now time.Time, received *CrashReports, limits ReportLimits) *CrashReports {
	records, clearances := t.Reports(now, limits.MaxAge, limits.MaxEach)
	quarantines := t.Quarantines(now)
	out := &CrashReports{Crashes: CrashesToProto(records, now), QuarantineHash: hashOf(quarantines)}
	for _, c := range clearances {
		out.Clearances = append(out.Clearances, &Clearance{Fingerprint: uint64(c.Fingerprint), AgeUs: ageOf(c.At, now)})
	}
	if received == nil || received.QuarantineHash == out.QuarantineHash {
		return out
	}
	// If there are too many, a random part in each message sends them all in time.
	rand.Shuffle(len(quarantines), func(i, j int) { quarantines[i], quarantines[j] = quarantines[j], quarantines[i] })
	for _, q := range quarantines[:min(len(quarantines), limits.MaxEach)] {
		out.Quarantines = append(out.Quarantines, &Quarantine{Fingerprint: uint64(q.Fingerprint), AgeUs: ageOf(q.Last, now), SpanUs: q.Last.Sub(q.First).Microseconds()})
	}
	return out
}

// hashOf returns a hash of quarantines that does not depend on their order.
func hashOf(quarantines []quarantine.Quarantine) uint64 {
	var hash uint64
	for _, q := range quarantines {
		hash ^= xxhash.Sum64(binary.LittleEndian.AppendUint64(nil, uint64(q.Fingerprint)))
	}
	return hash
}

// ApplyCrashReports passes reports that were received at now to a tracker, and returns
// its effects.
func ApplyCrashReports(t Tracker, now time.Time, reports *CrashReports) []quarantine.Effect {
	clearances := make([]quarantine.Clearance, len(reports.GetClearances()))
	for i, c := range reports.GetClearances() {
		clearances[i] = quarantine.Clearance{Fingerprint: id.Fingerprint(c.Fingerprint), At: timeOf(c.AgeUs, now)}
	}
	quarantines := make([]quarantine.Quarantine, len(reports.GetQuarantines()))
	for i, q := range reports.GetQuarantines() {
		last := timeOf(q.AgeUs, now)
		quarantines[i] = quarantine.Quarantine{Fingerprint: id.Fingerprint(q.Fingerprint), First: timeOf(q.SpanUs, last), Last: last}
	}
	var effects []quarantine.Effect
	for _, ev := range []quarantine.Event{
		quarantine.ClearancesReceived{Clearances: clearances},
		quarantine.RecordsReceived{Records: CrashesFromProto(reports.GetCrashes(), now)},
		quarantine.QuarantinesReceived{Quarantines: quarantines},
	} {
		effects = append(effects, t.Step(now, ev)...)
	}
	return effects
}

// ageOf returns how old an event of the time at is at now, in microseconds.
func ageOf(at, now time.Time) int64 { return max(now.Sub(at), 0).Microseconds() }

// timeOf returns the time of an event that was ageUs microseconds old at now.
func timeOf(ageUs int64, now time.Time) time.Time {
	return now.Add(-max(time.Duration(ageUs)*time.Microsecond, 0))
}
