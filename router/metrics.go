package router

import (
	"encoding/json"
	"net/http"
	"time"

	"k8s.io/klog/v2"
)

// metricsHandler serves the metrics to operators.
func (r *Router) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(r.status()); err != nil {
			klog.V(1).InfoS("metrics not written", "err", err)
		}
	})
	return mux
}

// status is what the metrics tell beside the counters.
func (r *Router) status() any {
	now := time.Now()
	table := r.table.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := struct {
		Version         uint64          `json:"routes_version"`
		PlatformReached map[string]bool `json:"platform_reached"`
		Live            int             `json:"instances_live"`
		Upstreams       int             `json:"upstreams_usable"`
		InFlight        int64           `json:"requests_in_flight"`
		LogLinesDropped int64           `json:"log_lines_dropped"`
	}{
		PlatformReached: map[string]bool{
			r.routes.name: r.routes.reached.Load(), r.upstreams.name: r.upstreams.reached.Load(),
		},
		Live:      len(r.pulse.Live(now)),
		Upstreams: len(r.pools.known),
		InFlight:  r.inFlight.Load(),
	}
	if table != nil {
		out.Version = uint64(table.Version)
	}
	if r.Dropped != nil {
		out.LogLinesDropped = r.Dropped()
	}
	return out
}
