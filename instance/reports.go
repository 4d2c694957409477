package instance

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/queue"
	"samphirehead/state/manifest"
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
}
