package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/duty"
	"samphirehead/coordination/usage"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

// maxRecalled bounds the instances that a new holder asks what they know of the reports of usage:
// those that compete for the duty first.
const maxRecalled = 32

// recallUsage asks the live instances for what they know of the reports of usage.
func (r *Router) recallUsage(ctx context.Context, effect usage.Recall) usage.Recalled {
	addresses := r.recalledPeers()
	answers := make(chan *exchange.RecallResponse)
	for _, address := range addresses {
		go func() {
			answer, err := r.peers.Recall(ctx, address, &exchange.RecallRequest{FencingNumber: uint64(effect.FencingNumber)})
			if err != nil {
				klog.V(1).InfoS("usage not recalled", "peer", address, "err", err)
				answer = nil
			}
			answers <- answer
		}()
	}
	result := usage.Recalled{All: true}
	for range addresses {
		if answer := <-answers; answer != nil {
			result.Histories = append(result.Histories, answer.AsHistory())
		} else {
			result.All = false
		}
	}
	klog.InfoS("usage recalled", "fencing_number", effect.FencingNumber, "asked", len(addresses), "answered", len(result.Histories))
	return result
}

// recalledPeers returns the addresses of the instances to ask.
func (r *Router) recalledPeers() []string {
	addresses := make(map[id.Instance]string)
	var candidates []duty.Candidate
	for _, record := range r.liveRecords() {
		if record.Instance != r.Settings.Instance {
			addresses[record.Instance] = record.PeerAddress
			candidates = append(candidates, duty.Candidate{Instance: record.Instance, FailureDomain: record.FailureDomain})
		}
	}
	var out []string
	for _, instance := range duty.Order(duty.Usage, "", candidates) {
		if len(out) < maxRecalled {
			out = append(out, addresses[instance])
		}
	}
	return out
}

// Recall tells a new holder of the reports of usage what this instance knows of them.
func (r *Router) Recall(_ context.Context, request *exchange.RecallRequest) (*exchange.RecallResponse, error) {
	if !r.usage.enabled {
		return &exchange.RecallResponse{}, nil
	}
	r.usage.hear(id.FencingNumber(request.FencingNumber), 0)
	r.usage.mu.Lock()
	defer r.usage.mu.Unlock()
	return exchange.RecallResponseOf(r.usage.reporter.History()), nil
}

// seeEra notes the era of what was read of the platform.
func (u *usageCounter) seeEra(era uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.SeeEra(era)
}

// hold notes that this instance has acquired the duty, which it may lose before the reporter acts.
func (u *usageCounter) hold(number id.FencingNumber) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.Hold(number)
}

// hear notes that an instance held the duty under a fencing number an age before now.
func (u *usageCounter) hear(number id.FencingNumber, age time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reporter.Hear(number, u.now().Add(-max(age, 0)))
}

// hearUsageHolders notes the holders of the duty that a peer tells of.
func (r *Router) hearUsageHolders(messages []*exchange.Holding) {
	if !r.usage.enabled {
		return
	}
	for _, h := range messages {
		if duty.Subject(h.Subject) == duty.Usage {
			r.usage.hear(id.FencingNumber(h.FencingNumber), time.Duration(h.AgeUs)*time.Microsecond)
		}
	}
}

// certain reports whether it is known which windows were reported before.
func (u *usageCounter) certain() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.reporter.Certain()
}

// logLeftOut logs and counts the windows that were left out since it was called last.
func (r *Router) logLeftOut() {
	u := &r.usage
	u.mu.Lock()
	defer u.mu.Unlock()
	leftOut := u.reporter.LeftOut() - u.leftOut
	if leftOut == 0 {
		return
	}
	u.leftOut += leftOut
	settled := u.ledger.Settled()
	klog.InfoS("usage left out", "windows", leftOut, "settled", settled,
		"after", u.now().Sub(u.windows.End(settled)).Round(time.Millisecond))
	r.metrics.Add("usage_windows_left_out", int64(leftOut))
}
