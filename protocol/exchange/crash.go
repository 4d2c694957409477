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
			At:          now.Add(-max(time.Duration(c.AgeUs)*time.Microsecond, 0)),
		}
	}
	return records
}
