// Package metrics keeps request counters and latency histograms for each class
// and for the busiest workspaces and upstreams, and exports them to expvar.
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
	// maxWorkspaces and maxUpstreams bound the memory used by histograms.
	maxWorkspaces = 32
	maxUpstreams  = 32
)

// Outcome is the result of a request.
type Outcome string

// Outcomes of a request. NotRun means that no upstream ran it; Unknown means that
// one may have run it.
const (
	Completed Outcome = "completed"
	NotRun    Outcome = "not_run"
	Unknown   Outcome = "unknown"
)

// Observation describes one finished request.
type Observation struct {
	Class     id.Class
	Workspace id.Workspace
	// Upstream is the last upstream that the request was sent to; empty if it
	// was not sent.
	Upstream id.Upstream
	Outcome  Outcome
	// QueueWait and FirstToken are negative if the request did not get that
	// far.
	QueueWait  time.Duration
	FirstToken time.Duration
	Tokens     id.Tokens
	// Attained is set if the request was completed within the latency
	// targets of its class.
	Attained bool
}

// Registry holds the metrics of one instance. The zero value is ready for use.
// It is safe for concurrent use.
type Registry struct {
	mu          sync.Mutex
	classes     map[id.Class]*series
	workspaces  busiest[id.Workspace]
	upstreams   busiest[id.Upstream]
	predictions map[id.Service]*predictionErrors
	counters    map[string]int64
}

// series holds the metrics of one class, workspace or upstream.
type series struct {
	// weight is the number of requests, plus the weight inherited from an
	// evicted series.
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

// Observe records one finished request.
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

// ObserveTokenGap records the time between two tokens of one answer.
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

// Workspaces returns the number of workspaces that have histograms now.
func (r *Registry) NumWorkspaces() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.workspaces)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	if d < 0 {
		return
	}
	// Durations outside the range of the histogram count as its bounds.
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

// Var returns a variable that reads the current metrics as JSON with snake_case
// keys.
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
