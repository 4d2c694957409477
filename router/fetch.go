package router

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/catchup"
	"samphirehead/protocol/exchange"
	"samphirehead/state/id"
	"samphirehead/state/mirror"
)

const (
	// upstreamsPatience is how long the platform has to bring changes of the upstreams, of which
	// there may be many one after the other.
	upstreamsPatience = 300 * time.Millisecond
	// maxQueuedFetches bounds the fetches that wait to begin.
	maxQueuedFetches = 16
)

// activeRoutes is what the active routing table was decoded from. It is guarded by
// Router.mu.
type activeRoutes struct {
	rows map[string]mirror.Row
	// copyOutdated is set while the copy of the table holds an older version: the
	// platform was restored from a copy, and lacks the active one.
	copyOutdated bool
}

// tableMessage describes the copy of a table to a peer. r.mu must be held.
func (r *Router) tableMessage(c *tableCopy) *exchange.Table {
	content := c.ContentRevision()
	return &exchange.Table{
		Name: c.name, Era: content.Era, Content: content.Number, Reached: c.reachable.Load(), Failed: c.failed.Load(),
		Version: uint64(r.versionOf(c)),
	}
}

// versionOf returns the version of the configuration that was made of a table and is
// active here; 0 for other tables.
func (r *Router) versionOf(c *tableCopy) id.ManifestVersion {
	if table := r.table.Load(); c == &r.routes && table != nil {
		return table.Version
	}
	return 0
}

// tableFetch orders the fetch of a table from a peer.
type tableFetch struct {
	*tableCopy
	catchup.FetchFrom
}

// receiveTable has a table brought up to date if a peer's copy, which t describes, is newer. r.mu
// must be held.
func (r *Router) receiveTable(now time.Time, peer string, t *exchange.Table) {
	c := r.tableCopy(t.Name)
	if c == nil {
		return
	}
	r.bringUpToDate(now, c, catchup.PeerHeard{
		Address: peer,
		Peer:    catchup.State{Content: mirror.Revision{Era: t.Era, Number: t.Content}, Version: id.ManifestVersion(t.Version)},
		Own:     catchup.State{Content: c.Revision(), Version: r.versionOf(c)},
		Reached: c.reachable.Load(),
	})
}

// bringUpToDate has a table brought up to date if a peer's copy is newer. r.mu must be held.
func (r *Router) bringUpToDate(now time.Time, c *tableCopy, heard catchup.PeerHeard) {
	for _, effect := range c.news.Step(now, heard) {
		switch effect := effect.(type) {
		case catchup.CallAnew:
			klog.InfoS("table behind", "table", c.name, "peer", heard.Address, "reached", heard.Reached,
				"version", heard.Peer.Version, "revision", c.Revision())
			r.Platform.CallAnew(c.name)
		case catchup.FetchFrom:
			r.orderFetch(now, tableFetch{c, effect})
		}
	}
}

// tableCopy returns the copy of a table, or nil if there is none.
func (r *Router) tableCopy(name string) *tableCopy {
	for _, c := range []*tableCopy{&r.routes, &r.upstreams} {
		if c.name == name {
			return c
		}
	}
	return nil
}

// orderFetch has a fetch begin unless too many wait. r.mu must be held.
func (r *Router) orderFetch(now time.Time, f tableFetch) {
	select {
	case r.fetches <- f:
	default:
		f.news.Step(now, catchup.FetchEnded{Address: f.Address})
	}
}

// fetchTables fetches tables from peers until ctx ends.
func (r *Router) fetchTables(ctx context.Context) error {
	type result struct {
		tableFetch
		read bool
	}
	ended := make(chan result)
	running := 0
	for {
		select {
		case <-ctx.Done():
			for range running {
				<-ended
			}
			return nil
		case f := <-r.fetches:
			running++
			go func() {
				ended <- result{f, r.fetch(ctx, f.Address, f.tableCopy)}
			}()
		case f := <-ended:
			running--
			r.mu.Lock()
			f.news.Step(time.Now(), catchup.FetchEnded{Address: f.Address, Read: f.read})
			r.mu.Unlock()
		}
	}
}

// fetch replaces the copy of a table by a peer's, and the active routing table by the
// peer's, if they are newer. It reports whether it has read the peer's.
func (r *Router) fetch(ctx context.Context, address string, c *tableCopy) bool {
	response, err := r.peers.Fetch(ctx, address, &exchange.FetchRequest{Table: c.name})
	if err != nil {
		klog.V(1).InfoS("table not fetched", "peer", address, "table", c.name, "err", err)
		return false
	}
	revision := func(number uint64) mirror.Revision { return mirror.Revision{Era: response.Era, Number: number} }
	rows := rowsFromProto(response.Rows, response.Era)
	if c.Replace(rows, revision(response.Revision), revision(response.Content)) {
		klog.InfoS("table fetched from peer", "peer", address, "table", c.name, "revision", c.Revision())
	}
	if c == &r.routes && len(response.Active) > 0 {
		r.activateFetched(address, response)
	}
	return true
}

// activateFetched activates a peer's routing table that is newer than the one in the copy.
func (r *Router) activateFetched(address string, response *exchange.FetchResponse) {
	rows := make(map[string]mirror.Row, len(response.Active))
	for _, row := range rowsFromProto(response.Active, 0) {
		rows[row.Key] = row
	}
	source := "peer " + address
	table, err := r.Platform.DecodeRoutes(rows)
	switch {
	case err != nil:
		klog.ErrorS(err, "routes not valid", "revision", r.routes.Revision(), "source", source)
	case table != nil:
		r.activate(table, rows, source)
		r.applyRoutes()
	}
}

// Fetch returns this instance's copy of a table. The response is empty if there
// is no such table.
func (r *Router) Fetch(_ context.Context, request *exchange.FetchRequest) (*exchange.FetchResponse, error) {
	c := r.tableCopy(request.Table)
	if c == nil {
		return &exchange.FetchResponse{}, nil
	}
	rows, revision := c.Rows()
	response := &exchange.FetchResponse{
		Era: revision.Era, Revision: revision.Number, Content: c.ContentRevision().Number,
		Rows: rowsToProto(rows),
	}
	if c == &r.routes {
		response.Active = r.activeRows()
	}
	return response, nil
}

// activeRows returns the rows of the active routing table if the copy holds an older one.
func (r *Router) activeRows() []*exchange.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.activeRoutes.copyOutdated {
		return nil
	}
	return rowsToProto(r.activeRoutes.rows)
}

func rowsToProto(rows map[string]mirror.Row) []*exchange.Row {
	out := make([]*exchange.Row, 0, len(rows))
	for _, row := range rows {
		out = append(out, &exchange.Row{Key: row.Key, Revision: row.Revision.Number, Value: row.Value})
	}
	return out
}

func rowsFromProto(rows []*exchange.Row, era uint64) []mirror.Row {
	out := make([]mirror.Row, len(rows))
	for i, row := range rows {
		out[i] = mirror.Row{Key: row.Key, Revision: mirror.Revision{Era: era, Number: row.Revision}, Value: row.Value}
	}
	return out
}
