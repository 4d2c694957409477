package exchange

import (
	"time"

	"samphirehead/coordination/suspect"
	"samphirehead/state/id"
)

// CrashesFrom makes the messages of crash records. Times become relative to now.
func CrashesToProto(records []suspect.Record, now time.Time) []*Crash {
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

// RecordsOf reads crash records that were received at now.
func CrashesFromProto(crashes []*Crash, now time.Time) []suspect.Record {
	records := make([]suspect.Record, len(crashes))
	for i, c := range crashes {
		records[i] = suspect.Record{
			Fingerprint: id.Fingerprint(c.Fingerprint),
			Upstream:    id.Upstream(c.Upstream),
			Request:     id.Request(c.Request),
			At:          now.Add(-max(time.Duration(c.AgeUs)*time.Microsecond, 0)),
		}
	}
	return records
}
