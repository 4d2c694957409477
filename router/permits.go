package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/throttle"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

// askPermit asks the home of an upstream's limit for a permit, if that is what kept the
// request from every upstream. It reports whether one was granted.
func (j *job) askPermit(ctx context.Context, admission *throttle.Admission) bool {
	undecided := admission.Undecided()
	if len(undecided) == 0 {
		return false
	}
	upstream := undecided[0]
	r := j.router
	address := r.permitAddress(j.service, upstream)
	if address == "" {
		return false
	}
	answer, err := r.peers.Permit(ctx, address, &exchange.PermitRequest{Service: string(j.service), Upstream: string(upstream)})
	if err != nil {
		klog.InfoS("permit not answered", "request", j.ID, "upstream", upstream, "peer", address, "err", err)
		return false
	}
	if answer.Granted {
		admission.Permitted(upstream)
	}
	return answer.Granted
}

// permitAddress returns the peer address of the home of an upstream's limit, or "" if it is
// not known.
func (r *Router) permitAddress(service id.Service, upstream id.Upstream) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	one, ok := r.throttles[service]
	if !ok {
		return ""
	}
	home := one.Home(upstream)
	for _, instance := range r.membership.Live(time.Now()) {
		if instance.Instance == home {
			return instance.PeerAddress
		}
	}
	return ""
}

// Permit decides for another instance whether it may send a request to an upstream with a
// limit of which this instance is the home.
func (r *Router) Permit(_ context.Context, request *exchange.PermitRequest) (*exchange.PermitResponse, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	one, ok := r.throttles[id.Service(request.Service)]
	granted := ok && one.Permit(time.Now(), id.Upstream(request.Upstream))
	return &exchange.PermitResponse{Granted: granted}, nil
}
