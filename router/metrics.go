package router

import (
	"expvar"
	"fmt"
	"maps"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"samphirehead/coordination/duty"
	"samphirehead/state/id"
)

// metricsHandler serves the metrics of this instance and the expvar variables of
// the process as one JSON object.
func (r *Router) metricsHandler() http.Handler {
	vars := new(expvar.Map).Init()
	vars.Set("requests", r.metrics.Var())
	vars.Set("router", expvar.Func(func() any { return r.status() }))
	expvar.Do(func(kv expvar.KeyValue) { vars.Set(kv.Key, kv.Value) })
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if _, err := fmt.Fprintln(w, vars.String()); err != nil {
			klog.V(1).InfoS("metrics not written", "err", err)
		}
	})
	return mux
}

// status holds the metrics of the instance itself, apart from those of requests.
type status struct {
	RoutesVersion id.ManifestVersion `json:"routes_version"`
	// RoutesAge is the time since the version became active here, in
	// milliseconds.
	RoutesAge         int64           `json:"routes_age_ms"`
	PlatformReachable map[string]bool `json:"platform_reached"`
	// Reader is set if this instance watches the upstreams closely, and ExchangesInDomain
	// while most exchanges are within the failure domain.
	Reader            bool `json:"upstreams_reader"`
	ExchangesInDomain bool `json:"exchanges_in_domain"`
	Live              int  `json:"instances_live"`
	Upstreams         int  `json:"upstreams_usable"`
	// PathsLost is set while this instance reaches no upstream.
	PathsLost bool `json:"paths_lost"`
	// Ejected holds the milliseconds until the ejection of an upstream ends.
	Ejected map[id.Upstream]int64 `json:"upstreams_ejected_ms"`
	// Limits holds the requests a second that upstreams take from all instances
	// together, of those that state it.
	Limits map[id.Upstream]float64 `json:"upstream_limits"`
	// RetryBudgets is keyed by service.
	RetryBudgets map[id.Service]retryBudget `json:"retry_budgets"`
	// Spread is how many times its share the busiest upstream of a service lately began to
	// answer, as far as this instance knows.
	Spread          map[id.Service]float64 `json:"busiest_over_share"`
	Quarantines     int                    `json:"quarantines"`
	InFlight        int64                  `json:"requests_in_flight"`
	Draining        bool                   `json:"leaving"`
	LogLinesDropped int64                  `json:"log_lines_dropped"`
	// Duties is keyed by subject.
	Duties map[duty.Subject]dutyStatus `json:"duties,omitempty"`
	// AnswersBuffered is how many bytes of upstreams' answers are buffered, and
	// AnswersBufferedPeak the most that were.
	AnswersBuffered     int64 `json:"answers_buffered_bytes"`
	AnswersBufferedPeak int64 `json:"answers_buffered_peak_bytes"`
	// CallerMemory is what the connections and requests of callers hold, CallerMemoryPeak
	// the most that they held, and CallerConnections their number.
	CallerMemory      int64 `json:"callers_memory_bytes"`
	CallerMemoryPeak  int64 `json:"callers_memory_peak_bytes"`
	CallerConnections int   `json:"caller_connections"`
	// Capacity holds the last orders of this instance by subject.
	Capacity map[duty.Subject]capacityStatus `json:"capacity_orders,omitempty"`
}

// LogDroppedLines logs that the log writer dropped lines of a class. The class
// is the message of the lines.
func LogDroppedLines(class string, lines int64) {
	klog.InfoS("log lines dropped", "class", class, "lines", lines)
}

// retryBudget holds how many retries of one service this instance spent in the
// last window, and how many it may spend.
type retryBudget struct {
	Spent   float64 `json:"spent"`
	Allowed float64 `json:"allowed"`
}

func (r *Router) status() status {
	now := time.Now()
	table := r.table.Load()
	callers := r.intakes[Callers].Usage()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := status{
		CallerMemory: callers.Bytes, CallerMemoryPeak: callers.PeakBytes, CallerConnections: callers.Connections,
		PlatformReachable: map[string]bool{
			r.routes.name: r.routes.reachable.Load(), r.upstreams.name: r.upstreams.reachable.Load(),
		},
		Live:   len(r.membership.Live(now)),
		Reader: !r.reading.listener.Load(),

		ExchangesInDomain: r.membership.Clustered(),
		RetryBudgets:      make(map[id.Service]retryBudget),
		Upstreams:         len(r.pools.upstreams),
		Ejected:           make(map[id.Upstream]int64),
		Limits:            make(map[id.Upstream]float64),
		PathsLost:         r.paths.lost(),
		Quarantines:       r.quarantines.started(),
		InFlight:          int64(r.drain.requestsInFlight()),
		Draining:          r.drain.started(),
		Spread:            make(map[id.Service]float64),
		Duties:            r.duties.status(),

		AnswersBuffered:     r.forward.Buffered(),
		AnswersBufferedPeak: r.forward.PeakBuffered(),
	}
	for service, c := range r.pools.choosers {
		var b retryBudget
		b.Spent, b.Allowed = r.retryBudgets.Usage(now, service)
		out.RetryBudgets[service] = b
		out.Spread[service] = c.Spread(now)
		for upstream, remaining := range c.Ejected(now) {
			out.Ejected[upstream] = remaining.Milliseconds()
		}
	}
	for _, one := range r.throttles {
		maps.Copy(out.Limits, one.Limits())
	}
	out.Capacity = maps.Clone(r.capacity.status)
	if table != nil {
		out.RoutesVersion = table.Version
		out.RoutesAge = now.Sub(r.tableActiveSince).Milliseconds()
	}
	if r.DroppedLogLines != nil {
		out.LogLinesDropped = r.DroppedLogLines()
	}
	return out
}
