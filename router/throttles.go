package router

import (
	"math/rand/v2"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/registry"
	"samphirehead/coordination/throttle"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

// throttles holds a throttle for each service. It is guarded by Router.mu.
type throttles map[id.Service]*throttle.Throttle

// configure adds and removes throttles, so that there is one for each service. gone are
// upstreams that ended.
func (t throttles) configure(now time.Time, table *routing.Table, gone []registry.Entry, self id.Instance) {
	for service := range table.Services {
		if t[service] == nil {
			t[service] = &throttle.Throttle{Self: self, FirstDraw: rand.Float64()}
		}
	}
	for service := range t {
		if _, remains := table.Services[service]; !remains {
			delete(t, service)
		}
	}
	for _, e := range gone {
		if one, ok := t[e.Service]; ok {
			one.Step(now, throttle.Gone{Upstream: e.Upstream})
		}
	}
}

// listInstances passes on which instances are live.
func (t throttles) listInstances(now time.Time, live []id.Instance) {
	for _, one := range t {
		one.Step(now, throttle.InstancesListed{Instances: live})
	}
}

// limited reports whether any upstream states a limit.
func (t throttles) limited() bool {
	for _, one := range t {
		if one.Limited() {
			return true
		}
	}
	return false
}

// reports returns the messages to a peer.
func (t throttles) reports(now time.Time) []*exchange.ServiceRate {
	var messages []*exchange.ServiceRate
	for service, one := range t {
		messages = append(messages, exchange.ServiceRateOf(service, one.Report(now)))
	}
	return messages
}

// receive applies the messages of a peer.
func (t throttles) receive(now time.Time, peer id.Instance, messages []*exchange.ServiceRate) {
	for _, message := range messages {
		one, ok := t[id.Service(message.Service)]
		if !ok {
			continue
		}
		if one.Step(now, throttle.ReportReceived{Instance: peer, Report: message.AsReport()}) {
			klog.InfoS("upstream limits changed", "service", message.Service, "source", "peer "+string(peer), "per_second", one.Limits())
		}
	}
}

// admit draws the admission of the next attempt of a request.
func (t throttles) admit(now time.Time, service id.Service) *throttle.Admission {
	if one, ok := t[service]; ok {
		return one.Admit(now)
	}
	return &throttle.Admission{}
}

// brittle reports whether the upstreams of a service fall over if they have to reject too many
// requests.
func (t throttles) brittle(now time.Time, service id.Service) bool {
	one, ok := t[service]
	return ok && one.Brittle(now)
}

// sent records that a request is sent to an upstream.
func (t throttles) sent(now time.Time, service id.Service, upstream id.Upstream) {
	if one, ok := t[service]; ok {
		one.Step(now, throttle.Sent{Upstream: upstream})
	}
}

// retryAfter returns when a request that no upstream's limit admits may come back. If
// many requests arrive for each one that is admitted, they come back as much later.
func (t throttles) retryAfter(now time.Time, service id.Service) time.Duration {
	one, ok := t[service]
	if !ok {
		return retryAfterDefault
	}
	return min(time.Duration(one.RequestsPerAdmission(now)*float64(retryAfterDefault)), retryAfterMax)
}

// hearAnswer passes on what an upstream's answer states about further requests. With
// status 421, it is the answer of another upstream that has the address now.
func (j *job) hearAnswer(a *attempt) {
	if a.response.Status == http.StatusMisdirectedRequest {
		return
	}
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if a.response.Leaving {
		r.hearLeaving(now, registry.Incarnation{Upstream: a.Upstream, StartedUnixMS: a.StartedUnixMS}, "answer")
	}
	if c, ok := r.pools.choosers[j.service]; ok && a.response.Slowdown > 0 {
		c.Step(now, balancer.SlowdownStated{Upstream: a.Upstream, Slowdown: a.response.Slowdown})
	}
	one, ok := r.throttles[j.service]
	if !ok {
		return
	}
	if a.response.Pause > 0 {
		klog.InfoS("upstream paused", "upstream", a.Upstream, "service", j.service, "request", j.ID, "for", a.response.Pause)
	}
	answered := throttle.Answered{
		Upstream: a.Upstream, SentAt: a.sentAt, RateLimit: a.response.RateLimit, Pause: a.response.Pause,
		MaxRejections: a.response.MaxRejections,
		Rejected:      a.response.NotRun && a.response.Status == http.StatusServiceUnavailable,
	}
	if one.Step(now, answered) {
		klog.InfoS("upstream limits changed", "service", j.service, "source", "answer", "request", j.ID,
			"upstream", a.Upstream, "per_second", one.Limits())
	}
}
