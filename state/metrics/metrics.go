// Package metrics keeps counters and latency histograms per class and for the
// busiest workspaces, in a form that expvar serves.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirehead/state/id"
)

const (
	lowestLatency     = time.Microsecond
	highestLatency    = 10 * time.Minute
	significantDigits = 2
	// maxWorkspaces bounds the memory for histograms of workspaces.
	maxWorkspaces = 32
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
	Outcome   Outcome
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
	mu         sync.Mutex
	classes    map[id.Class]*series
	workspaces map[id.Workspace]*series
	counters   map[string]int64
}

// series is the record of one class or workspace.
type series struct {
	// weight orders workspaces by use. A workspace that takes the place of
	// another starts from the other's weight, so that it never
	// underestimates (the space-saving method).
	weight     int64
	outcomes   map[Outcome]int64
	attained   int64
	tokens     id.Tokens
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	queueWait  *hdrhistogram.Histogram
}

func newSeries(weight int64) *series {
	return &series{
		weight:     weight,
		outcomes:   make(map[Outcome]int64),
		firstToken: newHistogram(),
		between:    newHistogram(),
		queueWait:  newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatency.Microseconds(), highestLatency.Microseconds(), significantDigits)
}

// Observe records one ended request.
func (r *Registry) Observe(o Observation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range []*series{r.class(o.Class), r.workspace(o.Workspace)} {
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
func (r *Registry) Gap(c id.Class, gap time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	record(r.class(c).between, gap)
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

func (r *Registry) class(c id.Class) *series {
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

func (r *Registry) workspace(w id.Workspace) *series {
	if r.workspaces == nil {
		r.workspaces = make(map[id.Workspace]*series)
	}
	if s, ok := r.workspaces[w]; ok {
		return s
	}
	weight := int64(0)
	if len(r.workspaces) >= maxWorkspaces {
		weight = r.evictLightest()
	}
	s := newSeries(weight)
	r.workspaces[w] = s
	return s
}

// evictLightest removes the workspace of least weight and returns that weight.
func (r *Registry) evictLightest() int64 {
	var lightest id.Workspace
	weight := int64(-1)
	for w, s := range r.workspaces {
		if weight < 0 || s.weight < weight || (s.weight == weight && w < lightest) {
			lightest, weight = w, s.weight
		}
	}
	delete(r.workspaces, lightest)
	return weight
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
		Classes    map[id.Class]seriesView     `json:"classes"`
		Workspaces map[id.Workspace]seriesView `json:"workspaces"`
		Counters   map[string]int64            `json:"counters"`
	}{
		Classes:    make(map[id.Class]seriesView, len(r.classes)),
		Workspaces: make(map[id.Workspace]seriesView, len(r.workspaces)),
		Counters:   make(map[string]int64, len(r.counters)),
	}
	for c, s := range r.classes {
		view.Classes[c] = s.view()
	}
	for w, s := range r.workspaces {
		view.Workspaces[w] = s.view()
	}
	for name, n := range r.counters {
		view.Counters[name] = n
	}
	return view
}

func (s *series) view() seriesView {
	outcomes := make(map[Outcome]int64, len(s.outcomes))
	for o, n := range s.outcomes {
		outcomes[o] = n
	}
	return seriesView{
		Outcomes:      outcomes,
		Attained:      s.attained,
		Tokens:        s.tokens,
		FirstToken:    summarize(s.firstToken),
		BetweenTokens: summarize(s.between),
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
