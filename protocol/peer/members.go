// Package peer defines the messages between instances, and converts them to and
// from the types of the coordination packages.
package peer

import (
	"samphirehead/coordination/membership"
	"samphirehead/state/id"
)

// RecordsToProto converts member records to messages.
func RecordsToProto(records []membership.Record) []*MemberRecord {
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

// RecordsFromProto converts messages to member records.
func RecordsFromProto(messages []*MemberRecord) []membership.Record {
	out := make([]membership.Record, len(messages))
	for i, m := range messages {
		out[i] = membership.Record{
			Instance:      id.Instance(m.Instance),
			Incarnation:   id.Incarnation(m.Incarnation),
			State:         membership.State(m.State),
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
