package router

import (
	"cmp"
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/registry"
	"samphirehead/coordination/resumption"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
)

const (
	// confirmTimeout bounds the wait for a confirmed list of upstreams in the midst of a
	// stream.
	confirmTimeout = 300 * time.Millisecond
	// maxConfirmingPeers is how many instances are asked for that.
	maxConfirmingPeers = 2
)

// originProven reports whether the version is certain of the upstream that began the stream
// which this request goes on with.
func (j *job) originProven(ctx context.Context) bool {
	if j.router.streamProven(j.streamID()) {
		return true
	}
	j.router.confirmUpstreams(ctx, j.resumedAt)
	return j.router.streamProven(j.streamID())
}

// streamProven reports whether the version is certain of the upstream that a stream was sent to.
func (r *Router) streamProven(request id.Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, known := r.ownOrigin(request)
	return known
}

// ownOrigin returns where a stream began that this instance has sent, if that is certain. r.mu
// must be held.
func (r *Router) ownOrigin(request id.Request) (resumption.Origin, bool) {
	if sent, unproven := r.origins.tracker.Sent(request); unproven {
		r.prove(request, sent)
	}
	return r.origins.tracker.Own(request)
}

// prove tells the tracker if the connection that a stream was sent on is from a time at which
// the listed incarnation of its upstream certainly served. r.mu must be held.
func (r *Router) prove(request id.Request, sent resumption.Sent) {
	if sent.ConnectedAt.After(r.registry.ServedAt(sent.To)) {
		return
	}
	now := time.Now()
	r.origins.tracker.Step(now, resumption.StreamProven{Request: request})
	if origin, _ := r.origins.tracker.Own(request); r.origins.tracker.Mixed(now, origin.Service) {
		r.origins.notify()
	}
}

// recordAnswer records that an upstream still serves, and over which connection the request was
// sent.
func (j *job) recordAnswer(a *attempt) {
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.registry.Step(now, registry.AnswerReceived{
		Incarnation: a.Incarnation(), ConnectedAt: a.response.ConnectedAt, SentAt: a.sentAt,
	})
	if j.route.Resumable {
		r.origins.tracker.Step(now, resumption.StreamConnected{Request: j.streamID(), At: a.response.ConnectedAt})
		r.ownOrigin(j.streamID())
	}
}

// confirmVersions makes sure that the list of the upstreams tells the versions of those that
// serve, before a request goes on with a stream. It returns false if that can't be.
func (j *job) confirmVersions(ctx context.Context) bool {
	if j.software == nil {
		return true
	}
	return !j.router.confirmUpstreams(ctx, j.resumedAt).Before(j.resumedAt)
}

// lastServed returns the last time at which a chosen upstream certainly was the listed one: one
// that has a connection from before has not started again since.
func (r *Router) lastServed(chosen balancer.Choice) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cmp.Or(r.registry.ServedAt(chosen.Incarnation()), neverServed)
}

// neverServed is before all connections.
var neverServed = time.Unix(0, 0)

// confirmUpstreams returns the last time of which it is known which upstreams served. If that is
// before since, it first reads what has changed of the list, or asks other instances if the
// platform does not answer.
func (r *Router) confirmUpstreams(ctx context.Context, since time.Time) time.Time {
	if at := r.upstreamsConfirmedAt(); !at.Before(since) {
		return at
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	_, err := r.origins.confirmations.Do(ctx)
	if err != nil {
		klog.InfoS("upstreams not confirmed", "err", err)
	}
	return r.upstreamsConfirmedAt()
}

// upstreamsConfirmedAt returns the last time of which it is known which upstreams served.
func (r *Router) upstreamsConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.registry.ConfirmedAt()
}

// readConfirmation brings the list of the upstreams up to date, by the platform or, if that is
// known not to answer, by another instance.
func (r *Router) readConfirmation(ctx context.Context) error {
	if r.upstreams.reachable.Load() {
		return r.refreshUpstreams(ctx)
	}
	err := errPlatformUnreachable
	for _, address := range r.peersToAsk(maxConfirmingPeers) {
		peerErr := r.confirmByPeer(ctx, address)
		if peerErr == nil {
			return nil
		}
		err = errors.CombineErrors(err, peerErr)
	}
	return err
}

// errNotConfirmed means that another instance does not know either which upstreams serve, or
// that its list is another one.
var errNotConfirmed = errors.New("peer does not confirm the list")

// confirmByPeer brings the list of the upstreams up to date by that of another instance.
func (r *Router) confirmByPeer(ctx context.Context, address string) error {
	askedAt := time.Now()
	answer, err := r.peers.Confirm(ctx, address)
	if err != nil {
		return err
	}
	if r.upstreams.Digest() != answer.Digest {
		r.fetch(ctx, address, &r.upstreams)
	}
	r.applyUpstreams()
	if answer.ConfirmedAgeUs < 0 || r.upstreams.Digest() != answer.Digest {
		return errNotConfirmed
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	since := askedAt.Add(-time.Duration(answer.ConfirmedAgeUs) * time.Microsecond)
	r.confirmList(registry.ListConfirmed{Since: since, ByPeer: true})
	return nil
}

// Confirm tells another instance how current the list of the upstreams is here.
func (r *Router) Confirm(ctx context.Context, _ *exchange.ConfirmRequest) (*exchange.ConfirmResponse, error) {
	asked := time.Now()
	if r.upstreams.reachable.Load() {
		r.confirmUpstreams(ctx, asked)
	}
	at := r.upstreamsConfirmedAt()
	answer := &exchange.ConfirmResponse{Digest: r.upstreams.Digest(), ConfirmedAgeUs: -1}
	if !at.IsZero() {
		// What was confirmed after the request came counts as of its arrival.
		answer.ConfirmedAgeUs = max(0, asked.Sub(at).Microseconds())
	}
	return answer, nil
}
