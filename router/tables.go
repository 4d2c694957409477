package router

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"samphirehead/coordination/heartbeat"
	"samphirehead/coordination/registry"
	"samphirehead/coordination/resumption"
	"samphirehead/state/mirror"
	"samphirehead/state/routing"
)

const (
	// maxPeerReportAge is how long a peer's report that the platform answers it
	// remains valid.
	maxPeerReportAge = time.Second
	// routesWait is how long an idle call for changes of the routes may take.
	// Keep-alives end a call on a dead connection, and peers bring the routes
	// meanwhile. It is shorter than the history that the platform keeps.
	routesWait = 15 * time.Second
)

// watch keeps the copy of one table up to date and tracks whether the platform
// answers.
func (r *Router) watch(ctx context.Context, c *tableCopy, options func() mirror.WatchOptions) error {
	err := r.Platform.Watch(ctx, c.name, &c.Mirror, options, func(call mirror.Call) {
		reachable := call.Err == nil
		c.failed.Store(!reachable)
		if c.reachable.Swap(reachable) != reachable {
			klog.InfoS("platform reachability changed", "table", c.name, "reached", reachable, "revision", c.Revision(), "err", call.Err)
		}
		if c == &r.upstreams {
			r.upstreamsCalled(call)
		}
	})
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// upstreamsCalled passes the end of a call of the watch of the upstreams to the registry.
func (r *Router) upstreamsCalled(call mirror.Call) {
	if call.Err != nil {
		r.upstreamsUnreadable()
		return
	}
	if call.Read {
		r.applyUpstreams()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registry.Step(time.Now(), registry.PlatformReachable{})
	if call.Read {
		r.confirmList(registry.ListConfirmed{Since: call.Begun})
	}
}

// upstreamsUnreadable records that the platform did not answer a call for the upstreams.
func (r *Router) upstreamsUnreadable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.registry.Step(now, registry.PlatformUnreachable{ReachedByPeers: now.Sub(r.upstreams.peerReachedAt) < maxPeerReportAge})
}

// confirmList records that the applied list of the upstreams is that of a time or later. r.mu
// must be held.
func (r *Router) confirmList(ev registry.ListConfirmed) {
	r.registry.Step(time.Now(), ev)
	for request, sent := range r.origins.tracker.Unproven() {
		r.prove(request, sent)
	}
}

// applyTables activates the changes of the table copies until ctx ends.
func (r *Router) applyTables(ctx context.Context) error {
	ticker := time.NewTicker(registryInterval)
	defer ticker.Stop()
	for {
		routes, upstreams := r.routes.Changed(), r.upstreams.Changed()
		r.applyRoutes()
		r.applyUpstreams()
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return nil
			case <-routes:
				waiting = false
			case <-upstreams:
				waiting = false
			case now := <-ticker.C:
				r.expireUpstreams(now)
			}
		}
	}
}

// applyRoutes activates the routing table that the copy holds, if it is newer than the
// active one.
func (r *Router) applyRoutes() {
	rows, revision := r.routes.Rows()
	table, err := r.Platform.DecodeRoutes(rows)
	if err != nil {
		klog.ErrorS(err, "routes not valid", "revision", revision, "source", "copy")
		return
	}
	if table == nil {
		return
	}
	r.activate(table, rows, "copy")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeRoutes.copyOutdated = table.Version < r.table.Load().Version
}

// activate activates a routing table if it is newer than the active one. rows are those
// that it was decoded from, and source is where they are from.
func (r *Router) activate(table *routing.Table, rows map[string]mirror.Row, source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current := r.table.Load(); current != nil && table.Version <= current.Version {
		return
	}
	r.table.Store(table)
	r.activeRoutes.rows = rows
	klog.InfoS("routes activated", "version", table.Version, "hosts", table.NumHosts(), "revision", r.routes.Revision(), "source", source)
	r.tableActiveSince = time.Now()
	r.configurePools(table)
	r.membership.Step(time.Now(), heartbeat.SelfUpdated{Ready: r.ready(), Leaving: r.drain.started()})
}

// applyUpstreams passes the copy of the upstreams on, if it has changed.
func (r *Router) applyUpstreams() {
	r.applyingUpstreams.Lock()
	defer r.applyingUpstreams.Unlock()
	content := r.upstreams.ContentRevision()
	rows, revision := r.upstreams.Rows()
	if revision.IsZero() || content == r.appliedUpstreams {
		return
	}
	r.appliedUpstreams = content
	entries := r.Platform.DecodeUpstreams(rows)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteEra(revision.Era)
	r.registry.Step(time.Now(), registry.ListRead{Entries: entries, Era: revision.Era})
	r.configurePools(r.table.Load())
}

// noteEra signals that the platform was restored if the era of the upstreams has risen.
// r.mu must be held.
func (r *Router) noteEra(era uint64) {
	if r.upstreamsEra != 0 && era > r.upstreamsEra {
		select {
		case r.platformRestored <- struct{}{}:
		default:
		}
		r.origins.tracker.Step(time.Now(), resumption.PublicationLost{})
		r.origins.notify()
	}
	r.upstreamsEra = era
	r.usage.seeEra(era)
}

// refreshUpstreams reads and applies what has changed of the upstreams.
func (r *Router) refreshUpstreams(ctx context.Context) error {
	begun := time.Now()
	if err := r.Platform.Refresh(ctx, r.upstreams.name, &r.upstreams.Mirror); err != nil {
		r.upstreamsUnreadable()
		return errors.Wrap(err, "read changes of the upstreams")
	}
	r.applyUpstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmList(registry.ListConfirmed{Since: begun})
	return nil
}

func (r *Router) expireUpstreams(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.registry.Step(now, registry.Ticked{}) {
		r.configurePools(r.table.Load())
	}
}

// configurePools passes the routes and the usable upstreams to the choosers and the
// throttles. r.mu must be held.
func (r *Router) configurePools(table *routing.Table) {
	if table == nil {
		return
	}
	now := time.Now()
	usable := r.registry.Usable()
	r.origins.listVersions(now, table, usable)
	gone := r.pools.configure(now, table, usable, r.Settings.FailureDomain)
	r.throttles.configure(now, table, gone, r.Settings.Instance)
}
