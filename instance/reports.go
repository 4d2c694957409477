package instance

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/queue"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/engine"
)

const (
	reportInterval = 500 * time.Millisecond
	// maxReportCalls bounds the load reports that are read at a time.
	maxReportCalls = 16
)

// readReports asks the engines homed here for their load until ctx ends.
func (i *Instance) readReports(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			i.readAllReports(ctx)
		}
	}
}

func (i *Instance) readAllReports(ctx context.Context) {
	engines := i.ownedEngines()
	slots := make(chan struct{}, maxReportCalls)
	done := make(chan struct{}, len(engines))
	for _, u := range engines {
		slots <- struct{}{}
		go func() {
			i.readReport(ctx, u)
			<-slots
			done <- struct{}{}
		}()
	}
	for range engines {
		<-done
	}
}

func (i *Instance) ownedEngines() []manifest.Upstream {
	view := i.reserver.View()
	if view == nil {
		return nil
	}
	var engines []manifest.Upstream
	for _, u := range view.Index.Manifest.Upstreams {
		if u.Kind == manifest.KindEngine && view.Placement.Owners[u.Name] == i.Settings.Instance {
			engines = append(engines, u)
		}
	}
	return engines
}

// readReport hands an engine's load and cache events to the queue.
func (i *Instance) readReport(ctx context.Context, u manifest.Upstream) {
	load, err := i.engines.Load(ctx, u.Address)
	if err != nil {
		klog.V(2).InfoS("no load report", "upstream", u.Name, "err", err)
		return
	}
	i.home.Report(queue.Reported{
		Upstream: u.Name,
		AsOf:     time.Now().Add(-time.Duration(load.AsOfMsAgo) * time.Millisecond),
		Running:  load.Running,
		Waiting:  load.Waiting,
		KVUsed:   load.KVUsedTokens,
	})
	after := i.cacheSequences.get(u.Name)
	events, err := i.engines.CacheEvents(ctx, u.Address, after)
	if err != nil {
		klog.V(2).InfoS("no cache events", "upstream", u.Name, "err", err)
		return
	}
	i.home.Cached(cachedOf(u.Name, events, after))
	if n := len(events.Events); n > 0 {
		i.cacheSequences.set(u.Name, events.Events[n-1].Sequence)
	}
}

// cachedOf maps cache events. A sequence that is missing is a gap.
func cachedOf(u id.Upstream, events engine.CacheEvents, after uint64) queue.Cached {
	cached := queue.Cached{Upstream: u, Gap: after > 0 && events.FirstAvailable > after+1}
	for _, e := range events.Events {
		hash, readable := e.Block()
		switch {
		case !readable:
		case e.Kind == engine.CacheStored:
			cached.Stored = append(cached.Stored, hash)
		case e.Kind == engine.CacheEvicted:
			cached.Evicted = append(cached.Evicted, hash)
		}
	}
	return cached
}

// sequences holds the last cache event heard of each upstream.
type sequences struct {
	mu    sync.Mutex
	heard map[id.Upstream]uint64
}

func (s *sequences) get(u id.Upstream) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heard[u]
}

func (s *sequences) set(u id.Upstream, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.heard == nil {
		s.heard = make(map[id.Upstream]uint64)
	}
	s.heard[u] = sequence
}
