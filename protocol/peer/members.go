// Package peer holds the messages between instances and their mapping to the
// events of the decisions.
package peer

import (
	"time"

	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

// RecordsFrom makes the messages of member records.
func RecordsFrom(records []member.Record) []*MemberRecord {
	out := make([]*MemberRecord, len(records))
	for i, r := range records {
		out[i] = &MemberRecord{
			Instance:        string(r.Instance),
			Incarnation:     uint64(r.Incarnation),
			State:           string(r.State),
			Sequence:        r.Sequence,
			FailureDomain:   string(r.FailureDomain),
			Region:          string(r.Region),
			CallerAddress:   r.CallerAddress,
			PeerAddress:     r.PeerAddress,
			ManifestVersion: uint64(r.Manifest),
			Headroom:        float32(r.Headroom),
		}
	}
	return out
}

// Records reads the messages of member records.
func Records(messages []*MemberRecord) []member.Record {
	out := make([]member.Record, len(messages))
	for i, m := range messages {
		out[i] = member.Record{
			Instance:      id.Instance(m.Instance),
			Incarnation:   id.Incarnation(m.Incarnation),
			State:         member.State(m.State),
			Sequence:      m.Sequence,
			FailureDomain: id.FailureDomain(m.FailureDomain),
			Region:        id.Region(m.Region),
			CallerAddress: m.CallerAddress,
			PeerAddress:   m.PeerAddress,
			Manifest:      id.ManifestVersion(m.ManifestVersion),
			Headroom:      float64(m.Headroom),
		}
	}
	return out
}

// CrashesFrom makes the messages of crash reports. Times become relative to
// now.
func CrashesFrom(crashes []member.Crash, now time.Time) []*Crash {
	out := make([]*Crash, len(crashes))
	for i, c := range crashes {
		out[i] = &Crash{
			Fingerprint: uint64(c.Fingerprint),
			Upstream:    string(c.Upstream),
			Request:     string(c.Request),
			AgeUs:       max(now.Sub(c.At), 0).Microseconds(),
		}
	}
	return out
}

// Report reads a crash report that was received at now.
func (c *Crash) Report(now time.Time) member.Crash {
	return member.Crash{
		Fingerprint: id.Fingerprint(c.Fingerprint),
		Upstream:    id.Upstream(c.Upstream),
		Request:     id.Request(c.Request),
		At:          now.Add(-max(time.Duration(c.AgeUs)*time.Microsecond, 0)),
	}
}
