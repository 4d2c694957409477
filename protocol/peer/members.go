// Package peer holds the messages between instances and their mapping to the
// events of the decisions.
package peer

import (
	"samphirehead/coordination/member"
	"samphirehead/state/id"
)

// RecordsFrom makes the messages of member records.
func RecordsToProto(records []member.Record) []*MemberRecord {
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
func RecordsFromProto(messages []*MemberRecord) []member.Record {
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
