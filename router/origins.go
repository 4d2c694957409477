package router

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/balancer"
	"samphirehead/coordination/registry"
	"samphirehead/coordination/resumption"
	"samphirehead/state/coalesce"
	"samphirehead/state/id"
	"samphirehead/state/routing"
)

const (
	// resumeMargin is how much longer than the timeout of its route a caller is expected
	// to wait for a stream.
	resumeMargin = 10 * time.Second
	// originsInterval is the interval at which is checked what to publish, and the shortest time
	// between two reads of the list of the upstreams for streams that are to be published.
	// originsPause is the shortest pause between two publications.
	originsInterval = 500 * time.Millisecond
	originsPause    = 50 * time.Millisecond
	// publishedStreamBytes is about the size of one published stream, and
	// maxOriginsRate, in bytes a second, bounds the publications of an instance.
	publishedStreamBytes = 26
	maxOriginsRate       = 4 << 10
	// originsWriteTime times the number of instances is the shortest pause between two
	// publications: together, they write less often than the store allows in one part.
	originsWriteTime = time.Second / 250
	// resumeDelay is how long after the end of its caller's budget a request with a stream
	// may still arrive here.
	resumeDelay = time.Second
)

// origins tracks where streams began that callers may resume. tracker is guarded by
// Router.mu.
type origins struct {
	tracker resumption.Tracker
	// unpublished receives a value when there may be something to publish.
	unpublished chan struct{}
	reads       coalesce.Group[*resumption.Publication]
	// confirmations are reads of the list of the upstreams alone.
	confirmations coalesce.Group[struct{}]
}

func (o *origins) init(r *Router) {
	o.unpublished = make(chan struct{}, 1)
	o.reads.Read = r.readPublication
	o.confirmations.Read = func(ctx context.Context) (struct{}, error) { return struct{}{}, r.readConfirmation(ctx) }
}

func (o *origins) notify() {
	select {
	case o.unpublished <- struct{}{}:
	default:
	}
}

// listVersions passes the software versions of the usable upstreams of services with
// resumable streams to the tracker. Router.mu must be held.
func (o *origins) listVersions(now time.Time, table *routing.Table, usable []registry.Entry) {
	listed := resumption.VersionsListed{}
	known := make(map[string]bool)
	services := make(map[id.Service]bool)
	for route := range table.Routes() {
		if !route.Resumable {
			continue
		}
		listed.Wait = max(listed.Wait, cmp.Or(route.Timeout, defaultTimeout)+resumeMargin)
		targets := route.Services()
		if name := fmt.Sprint(targets); !known[name] {
			known[name] = true
			listed.Routes = append(listed.Routes, targets)
		}
		for _, service := range targets {
			services[service] = true
		}
	}
	for _, e := range usable {
		origin := resumption.Origin{Service: e.Service, Software: e.Software}
		if services[e.Service] && !slices.Contains(listed.Origins, origin) {
			listed.Origins = append(listed.Origins, origin)
		}
	}
	o.tracker.Step(now, listed)
	o.notify()
}

// publishOrigins reads what other instances have published of streams and versions, and
// publishes those of this instance, until ctx ends.
func (r *Router) publishOrigins(ctx context.Context) error {
	read := false
	for {
		if !read {
			_, err := r.readOrigins(ctx)
			read = err == nil
		}
		pause := r.publishNext(ctx)
		sleep(ctx, pause)
		select {
		case <-ctx.Done():
			return nil
		case <-r.origins.unpublished:
		case <-time.After(originsInterval):
		}
	}
}

// publishNext publishes what is to be published now, and returns how long to wait until the
// next publication.
func (r *Router) publishNext(ctx context.Context) time.Duration {
	if r.originsToConfirm() {
		if err := r.refreshUpstreams(ctx); err != nil {
			klog.InfoS("upstreams not confirmed", "err", err)
		}
	}
	r.mu.Lock()
	change := r.origins.tracker.Next(time.Now())
	r.mu.Unlock()
	if change.Empty() {
		return originsPause
	}
	err := r.Platform.PublishOrigins(ctx, r.publisher(), change)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		klog.InfoS("stream origins not published", "err", err)
		r.origins.tracker.Step(time.Now(), resumption.PublishFailed{})
		return announceRetry
	}
	r.origins.tracker.Step(time.Now(), resumption.Published{Change: change})
	size := time.Duration(len(change.Streams)) * publishedStreamBytes
	instances := time.Duration(len(r.membership.Live(time.Now())))
	return max(originsPause, size*time.Second/maxOriginsRate, instances*originsWriteTime)
}

// originsToConfirm reports whether reading the list of the upstreams now may prove the origins
// of streams that are to be published.
func (r *Router) originsToConfirm() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, confirmedAt := time.Now(), r.registry.ConfirmedAt()
	return r.upstreams.reachable.Load() && now.Sub(confirmedAt) >= originsInterval &&
		r.origins.tracker.UnprovenSince(now, confirmedAt)
}

// publisher identifies this process among those that publish streams.
func (r *Router) publisher() resumption.Publisher {
	return resumption.Publisher{Instance: r.Settings.Instance, Incarnation: r.membership.Self.Incarnation}
}

// errPlatformUnreachable means that the platform has not answered the last call of a watch.
var errPlatformUnreachable = errors.New("platform is not reachable")

// readOrigins reads what instances have published, and what has changed of the upstreams.
// Concurrent calls share reads that begin later. It does not wait for a platform that is
// known not to answer.
func (r *Router) readOrigins(ctx context.Context) (*resumption.Publication, error) {
	if !r.upstreams.reachable.Load() {
		return nil, errPlatformUnreachable
	}
	return r.origins.reads.Do(ctx)
}

// readPublication reads what instances have published, and what has changed of the upstreams.
func (r *Router) readPublication(ctx context.Context) (*resumption.Publication, error) {
	publication, err := r.Platform.ReadOrigins(ctx)
	if err == nil {
		err = r.refreshUpstreams(ctx)
	}
	if err != nil {
		klog.InfoS("stream origins not read", "err", err)
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.origins.tracker.Step(time.Now(), resumption.PublicationRead{Publication: publication})
	return &publication, nil
}

// streamID returns the id under which the caller's first attempt at the stream is remembered.
func (j *job) streamID() id.Request {
	if j.Resumes != "" {
		return keptID(j.Resumes)
	}
	return keptID(j.ID)
}

// recordStream records to which software version a stream that may be resumed is sent.
// connectedBefore is that of the SendOptions.
func (j *job) recordStream(chosen balancer.Choice, connectedBefore time.Time) {
	if !j.route.Resumable {
		return
	}
	r := j.router
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	sent := resumption.StreamSent{
		Request: j.streamID(), Origin: resumption.Origin{Service: j.service, Software: chosen.Software},
		Sent: resumption.Sent{To: chosen.Incarnation(), ConnectedAt: cmp.Or(connectedBefore, now)},
	}
	if j.Budget > 0 {
		sent.Wait = j.arrived.Add(j.Budget + resumeDelay).Sub(now)
	}
	r.origins.tracker.Step(now, sent)
}

// streamCompleted records that the caller was sent the whole stream, or none of it.
func (j *job) streamCompleted() {
	if !j.route.Resumable {
		return
	}
	j.router.mu.Lock()
	defer j.router.mu.Unlock()
	j.router.origins.tracker.Step(time.Now(), resumption.StreamCompleted{Request: j.streamID()})
}
