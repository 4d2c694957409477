// Package metrics keeps counters and latency histograms per class and for the
// busiest workspaces and upstreams, in a form that expvar serves.
package metrics

import (
	"expvar"
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirehead/state/id"
)

const (
	lowestLatency     = time.Microsecond
	highestLatency    = 10 * time.Minute
	significantDigits = 2
	// maxWorkspaces and maxUpstreams bound the memory for their histograms.
	maxWorkspaces = 32
	maxUpstreams  = 32
)

// Outcome is how a request ended.
type Outcome string

// The outcomes that are counted.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
)

// Observation is what one ended request adds.
type Observation struct {
	Class     id.Class
	Workspace id.Workspace
	// Upstream is the last that the request was sent to; empty where there is
	// none.
	Upstream id.Upstream
	Outcome  Outcome
	// QueueWait and FirstToken are negative when the request did not get
	// so far.
	QueueWait  time.Duration
	FirstToken time.Duration
	Tokens     id.Tokens
	// Attained says that the request was completed within the latency
	// targets of its class.
	Attained bool
}

// Registry holds the metrics of one instance. The zero value is ready. It is
// safe for concurrent use.
type Registry struct {
	mu          sync.Mutex
	classes     map[id.Class]*series
	workspaces  busiest[id.Workspace]
	upstreams   busiest[id.Upstream]
	predictions map[id.Service]*predictionErrors
	counters    map[string]int64
}

// series is the record of one class, workspace or upstream.
type series struct {
	// weight orders series by use where only the busiest are kept.
	weight        int64
	outcomes      map[Outcome]int64
	attained      int64
	tokens        id.Tokens
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
	queueWait     *hdrhistogram.Histogram
}

func newSeries(weight int64) *series {
	return &series{
		weight:        weight,
		outcomes:      make(map[Outcome]int64),
		firstToken:    newHistogram(),
		betweenTokens: newHistogram(),
		queueWait:     newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
}

// Observe records one ended request.
func (r *Registry) Observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := []*series{r.classSeries(o.Class), r.workspaces.get(o.Workspace, maxWorkspaces)}
	if o.Upstream != "" {
		all = append(all, r.upstreams.get(o.Upstream, maxUpstreams))
	}
	for _, s := range all {
		s.weight++
		s.outcomes[o.Outcome]++
		s.tokens += o.Tokens
		if o.Attained {
			s.attained++
		}
		record(s.queueWait, o.QueueWait)
		record(s.firstToken, o.FirstToken)
	}
}

// Gap records the time between two tokens.
func (r *Registry) ObserveTokenGap(c id.Class, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.classSeries(c).betweenTokens, gap)
}

// Add adds n to the counter called name.
func (r *Registry) Add(name string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counters == nil {
		r.counters = make(map[string]int64)
	}
	r.counters[name] += n
}

// Workspaces returns how many workspaces have histograms now.
func (r *Registry) Workspaces() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.workspaces)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d < 0 {
		return
	}
	// Values past the range count as the highest.
	_ = h.RecordValue(min(max(d, lowestLatency), highestLatency).Microseconds())
}

func (r *Registry) classSeries(c id.Class) *series {
	if r.classes == nil {
		r.classes = make(map[id.Class]*series)
	}
	s, ok := r.classes[c]
	if !ok {
		s = newSeries(0)
		r.classes[c] = s
	}
	return s
}

// Var returns the metrics as they are at each reading, in snake_case JSON.
func (r *Registry) Var() expvar.Var {
	return expvar.Func(func() any { return r.snapshot() })
}

type latencies struct {
	Count int64 `json:"count"`
	P50Us int64 `json:"p50_us"`
	P95Us int64 `json:"p95_us"`
	P99Us int64 `json:"p99_us"`
	MaxUs int64 `json:"max_us"`
}

type seriesView struct {
	Outcomes      map[Outcome]int64 `json:"outcomes"`
	Attained      int64             `json:"attained"`
	Tokens        id.Tokens         `json:"tokens"`
	FirstToken    latencies         `json:"first_token"`
	BetweenTokens latencies         `json:"between_tokens"`
	QueueWait     latencies         `json:"queue_wait"`
}

func (r *Registry) snapshot() any {
	r.mu.Lock()
	defer r.mu.Unlock()
	view := struct {
		Classes     map[id.Class]seriesView             `json:"classes"`
		Workspaces  map[id.Workspace]seriesView         `json:"workspaces"`
		Upstreams   map[id.Upstream]seriesView          `json:"upstreams"`
		Predictions map[id.Service]predictionErrorsView `json:"predictions"`
		Counters    map[string]int64                    `json:"counters"`
	}{
		Classes:     views(r.classes),
		Workspaces:  views(r.workspaces),
		Upstreams:   views(r.upstreams),
		Predictions: make(map[id.Service]predictionErrorsView, len(r.predictions)),
		Counters:    make(map[string]int64, len(r.counters)),
	}
	maps.Copy(view.Counters, r.counters)
	for service, p := range r.predictions {
		view.Predictions[service] = p.view()
	}
	return view
}

func views[K comparable](all map[K]*series) map[K]seriesView {
	out := make(map[K]seriesView, len(all))
	for name, s := range all {
		out[name] = s.view()
	}
	return out
}

func (s *series) view() seriesView {
	return seriesView{
		Outcomes:      maps.Clone(s.outcomes),
		Attained:      s.attained,
		Tokens:        s.tokens,
		FirstToken:    summarize(s.firstToken),
		BetweenTokens: summarize(s.betweenTokens),
		QueueWait:     summarize(s.queueWait),
	}
}

func summarize(h *hdrhistogram.Histogram) latencies {
	return latencies{
		Count: h.TotalCount(),
		P50Us: h.ValueAtQuantile(50),
		P95Us: h.ValueAtQuantile(95),
		P99Us: h.ValueAtQuantile(99),
		MaxUs: h.Max(),
	}
}
