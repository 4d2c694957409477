package router

import (
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/registry"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

// maxLeavingPerMessage bounds the leaving upstreams in one message to a peer.
const maxLeavingPerMessage = 256

// hearLeaving applies that an upstream said that it leaves. source is who heard it.
// r.mu must be held.
func (r *Router) hearLeaving(now time.Time, l registry.Incarnation, source string) {
	if !r.registry.Step(now, registry.LeavingStated{Incarnation: l}) {
		return
	}
	klog.InfoS("upstream leaving", "upstream", l.Upstream, "source", source)
	r.configurePools(r.table.Load())
}

// leavingMessages returns the messages to a peer. r.mu must be held.
func (r *Router) leavingMessages() []*exchange.Leaving {
	var messages []*exchange.Leaving
	leaving := r.registry.Leaving()
	for _, l := range leaving[:min(len(leaving), maxLeavingPerMessage)] {
		messages = append(messages, &exchange.Leaving{Upstream: string(l.Upstream), StartedUnixMs: l.StartedUnixMS})
	}
	return messages
}

// receiveLeaving applies the messages of a peer. r.mu must be held.
func (r *Router) receiveLeaving(now time.Time, peer string, messages []*exchange.Leaving) {
	for _, m := range messages {
		r.hearLeaving(now, registry.Incarnation{Upstream: id.Upstream(m.Upstream), StartedUnixMS: m.StartedUnixMs}, "peer "+peer)
	}
}
