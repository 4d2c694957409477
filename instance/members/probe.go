package members

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/membership"
	"samphirehead/coordination/quarantine"
	"samphirehead/protocol/exchange"
	"samphirehead/protocol/peer"
	"samphirehead/state/id"
)

// probe sends one probe and returns its result.
func (m *Members) probe(ctx context.Context, p membership.SendProbe) membership.Event {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	response, err := m.Client(p.Address).Probe(ctx, m.probeRequest(p))
	if err != nil {
		klog.V(3).InfoS("probe failed", "instance", p.To, "target", p.Target, "err", err)
		return membership.ProbeFailed{Number: p.Number, Evidence: m.ClassifyError(err)}
	}
	m.receiveGossip(response.Stamp, response.Crashes)
	return membership.ProbeAnswered{
		Number:  p.Number,
		From:    id.Instance(response.GetStamp().GetInstance()),
		Reached: response.Reached,
		Records: peer.RecordsFromProto(response.Members),
		Page:    peer.RecordsFromProto(response.Page),
	}
}

func (m *Members) probeRequest(p membership.SendProbe) *peer.ProbeRequest {
	return &peer.ProbeRequest{
		Stamp:     m.Stamp(),
		Target:    string(p.Target),
		Members:   peer.RecordsToProto(p.Records),
		Crashes:   m.crashesToSend(),
		Sync:      p.Sync,
		SyncAfter: string(p.SyncAfter),
	}
}

// Probe answers the probe of another instance. If the probe is indirect, Probe
// first probes its target.
func (m *Members) Probe(ctx context.Context, r *peer.ProbeRequest) (*peer.ProbeResponse, error) {
	m.receiveGossip(r.Stamp, r.Crashes)
	reply := m.step(membership.ProbeReceived{
		From:      id.Instance(r.GetStamp().GetInstance()),
		Records:   peer.RecordsFromProto(r.Members),
		Sync:      r.Sync,
		SyncAfter: id.Instance(r.SyncAfter),
	})
	reached := r.Target == "" || m.probeForPeer(ctx, id.Instance(r.Target), reply.Records)
	return &peer.ProbeResponse{
		Stamp:   m.Stamp(),
		Reached: reached,
		Members: peer.RecordsToProto(reply.Records),
		Crashes: m.crashesToSend(),
		Page:    peer.RecordsToProto(reply.Page),
	}, nil
}

// probeForPeer probes target on behalf of another instance, passes on records,
// and reports whether target answered.
func (m *Members) probeForPeer(ctx context.Context, target id.Instance, records []membership.Record) bool {
	r, known := m.Lookup(target)
	if !known {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, indirectProbeTimeout)
	defer cancel()
	response, err := m.Client(r.PeerAddress).Probe(ctx, &peer.ProbeRequest{
		Stamp:   m.Stamp(),
		Members: peer.RecordsToProto(records),
	})
	if err != nil || response.GetStamp().GetInstance() != string(target) {
		return false
	}
	m.receiveGossip(response.Stamp, response.Crashes)
	m.step(membership.RecordsReceived{Records: peer.RecordsFromProto(response.Members)})
	return true
}

// FetchManifest returns the active manifest of this instance.
func (m *Members) FetchManifest(_ context.Context, r *peer.FetchManifestRequest) (*peer.FetchManifestResponse, error) {
	m.receiveStamp(r.Stamp)
	response := m.Manifest()
	response.Stamp = m.Stamp()
	return response, nil
}

func (m *Members) receiveGossip(stamp *peer.Stamp, crashes []*exchange.Crash) {
	m.receiveStamp(stamp)
	now := time.Now()
	for _, r := range exchange.CrashesFromProto(crashes, now) {
		m.receiveCrash(now, r)
	}
}

func (m *Members) receiveStamp(stamp *peer.Stamp) {
	if stamp != nil {
		m.StampReceived(stamp)
	}
}

func (m *Members) receiveCrash(now time.Time, c quarantine.Record) {
	m.mu.Lock()
	isNew := m.crashes.Add(now, c, m.Machine.KnownCount())
	m.mu.Unlock()
	if isNew {
		m.CrashReceived(c)
	}
}

func (m *Members) crashesToSend() []*exchange.Crash {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return exchange.CrashesToProto(m.crashes.NextBatch(now), now)
}

var _ peer.Member = (*Members)(nil)
