package router

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/reader"
	"samphirehead/state/mirror"
)

const (
	// readerWait is how long an idle call of a reader for changes of the upstreams may take.
	// These calls also show whether the platform answers.
	readerWait = 2500 * time.Millisecond
	// listenerWait is the same of other instances, which hear from readers when the platform
	// does not answer. It is shorter than the history that the platform keeps.
	listenerWait = 15 * time.Second
	// maxReaderPause is the longest pause of a reader between calls while upstreams change
	// one after the other, as when all start.
	maxReaderPause = 400 * time.Millisecond
	// listenerPause is the pause of other instances after a change. Peers bring changes
	// meanwhile; it is short enough for an upstream that leaves if they don't.
	listenerPause = 2 * time.Second
)

// reading says how closely this instance watches the upstreams.
type reading struct {
	// listener is set while other instances read for this one.
	listener atomic.Bool
	// checkedAt is when a peer's report last had this instance call the platform. It is
	// guarded by Router.mu.
	checkedAt time.Time
}

// routesWatch returns how the routes are watched.
func routesWatch() mirror.WatchOptions { return mirror.WatchOptions{Wait: routesWait} }

// upstreamsWatch returns how the upstreams are watched now.
func (r *Router) upstreamsWatch() mirror.WatchOptions {
	if r.reading.listener.Load() {
		return mirror.WatchOptions{Wait: listenerWait, MinPause: listenerPause, MaxPause: listenerPause}
	}
	return mirror.WatchOptions{Wait: readerWait, MaxPause: maxReaderPause}
}

// takeTurn determines whether this instance is a reader. r.mu must be held.
func (r *Router) takeTurn(now time.Time) {
	reads := reader.Reads(r.upstreams.name, r.membership.Self, r.membership.Live(now))
	if r.reading.listener.Swap(!reads) != reads {
		return
	}
	klog.InfoS("turn to read changed", "table", r.upstreams.name, "reader", reads)
	if reads {
		r.Platform.CallAnew(r.upstreams.name)
	}
}

// checkPlatform finds out whether the platform answers this instance, as it does not answer
// another one, unless that was done a short time ago. r.mu must be held.
func (r *Router) checkPlatform(now time.Time) {
	if r.reading.listener.Load() && now.Sub(r.reading.checkedAt) >= readerWait {
		r.reading.checkedAt = now
		r.Platform.CallAnew(r.upstreams.name)
	}
}
