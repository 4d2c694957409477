package engine

import (
	"net/http"
	"slices"
	"time"

	"samphirehead/standin/fault"
)

// End says how an attempt ended.
type End string

// The ways to end; an attempt that waits or runs has none.
const (
	EndCompleted End = "completed"
	EndCancelled End = "cancelled"
	EndCrashed   End = "crashed"
)

// Attempt is one run of a request at this engine.
type Attempt struct {
	Request      string `json:"request"`
	Number       int    `json:"attempt"`
	Model        string `json:"model"`
	Tier         int    `json:"tier"`
	PromptTokens int    `json:"prompt_tokens"`
	ResumeOffset int    `json:"resume_offset"`
	// TokensGenerated counts from the resume offset.
	TokensGenerated int `json:"tokens_generated"`
	// ArrivedUnixUS, StartedUnixUS (a slot was given) and EndedUnixUS are
	// times in microseconds; 0 for what has not happened.
	ArrivedUnixUS int64 `json:"arrived_unix_us"`
	StartedUnixUS int64 `json:"started_unix_us"`
	EndedUnixUS   int64 `json:"ended_unix_us"`
	End           End   `json:"end"`
}

// Crash records one crash.
type Crash struct {
	AtUnixUS int64 `json:"at_unix_us"`
	// Request caused the crash; empty when it was ordered without one.
	Request string `json:"request"`
	Match   string `json:"match"`
}

// Truth is what really happened.
type Truth struct {
	Requests     []Attempt          `json:"requests"`
	Crashes      []Crash            `json:"crashes"`
	FaultsStruck map[fault.Kind]int `json:"faults_struck"`
}

// Truth returns what really happened so far.
func (e *Engine) Truth() Truth {
	e.prepare()
	e.mu.Lock()
	defer e.mu.Unlock()
	truth := Truth{
		Requests:     make([]Attempt, 0, len(e.attempts)),
		Crashes:      slices.Clone(e.crashes),
		FaultsStruck: e.Faults.Struck(),
	}
	for _, a := range e.attempts {
		truth.Requests = append(truth.Requests, *a)
	}
	for _, s := range e.batch.all() {
		e.recordProgress(&truth, s)
	}
	return truth
}

// recordProgress fills in the tokens of an attempt that has not ended.
func (e *Engine) recordProgress(truth *Truth, s *stream) {
	for i, a := range e.attempts {
		if a == s.attempt {
			truth.Requests[i].TokensGenerated = s.available - s.offset
		}
	}
}

func (e *Engine) serveTruth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Truth())
}

// report is the load at one time.
type report struct {
	at      time.Time
	running int
	waiting int
	kvUsed  int
}

// reportHistory is how long reports are kept beyond their lag and interval.
const reportHistory = time.Second

// recordReport notes the load after each step.
func (e *Engine) recordReport(now time.Time) {
	oldest := now.Add(-e.ReportLag - e.ReportInterval - reportHistory)
	for len(e.reports) > 1 && e.reports[1].at.Before(oldest) {
		e.reports = e.reports[1:]
	}
	b := &e.batch
	r := report{now, len(b.running), len(b.waiting), b.kvUsed()}
	if n := len(e.reports); n > 0 {
		last := e.reports[n-1]
		if last.running == r.running && last.waiting == r.waiting && last.kvUsed == r.kvUsed {
			return
		}
	}
	e.reports = append(e.reports, r)
}

// visibleReport returns the load at the last reporting time before the lag.
func (e *Engine) visibleReport(now time.Time) report {
	asOf := now.Add(-e.ReportLag).Truncate(e.ReportInterval)
	visible := report{}
	for _, r := range e.reports {
		if r.at.After(asOf) {
			break
		}
		visible = r
	}
	visible.at = asOf
	return visible
}

// serves reports whether the engine has a model; one without models has all.
func (e *Engine) serves(model string) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, model)
}

// loaded returns the models that the engine has, in order.
func (e *Engine) loaded() []string {
	models := append([]string{}, e.Models...)
	slices.Sort(models)
	return models
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	_, stale := e.Faults.Active(fault.StaleReport)
	e.mu.Lock()
	visible := e.visibleReport(now)
	if stale {
		visible = e.frozen
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, struct {
		AsOfMSAgo int64    `json:"as_of_ms_ago"`
		Running   int      `json:"running"`
		Waiting   int      `json:"waiting"`
		KVUsed    int      `json:"kv_used_tokens"`
		Models    []string `json:"models"`
		Role      string   `json:"role"`
	}{now.Sub(visible.at).Milliseconds(), visible.running, visible.waiting, visible.kvUsed, e.loaded(), e.Role})
}
