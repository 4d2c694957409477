package engine

import (
	"net/http"
	"slices"

	"samphirehead/standin/fault"
)

// EndReason says how an attempt ended.
type EndReason string

// The reasons for which attempts end; that of an attempt that waits or runs is
// empty.
const (
	EndCompleted EndReason = "completed"
	EndCancelled EndReason = "cancelled"
	EndCrashed   EndReason = "crashed"
)

// Attempt records one attempt of a request at this engine.
type Attempt struct {
	Request      string `json:"request"`
	Number       int    `json:"attempt"`
	Model        string `json:"model"`
	Tier         int    `json:"tier"`
	PromptTokens int    `json:"prompt_tokens"`
	ResumeOffset int    `json:"resume_offset"`
	// TokensGenerated counts from the resume offset.
	TokensGenerated int `json:"tokens_generated"`
	// ArrivedUnixUS, StartedUnixUS (when it got a slot) and EndedUnixUS are
	// times in microseconds since the Unix epoch; 0 if that has not happened
	// yet.
	ArrivedUnixUS int64     `json:"arrived_unix_us"`
	StartedUnixUS int64     `json:"started_unix_us"`
	EndedUnixUS   int64     `json:"ended_unix_us"`
	End           EndReason `json:"end"`
}

// Crash records one crash.
type Crash struct {
	AtUnixUS int64 `json:"at_unix_us"`
	// Request is the ID of the request that caused the crash; it is empty if
	// none did.
	Request string `json:"request"`
	Match   string `json:"match"`
}

// Truth is the ground truth, against which tests and benchmarks check what
// clients observed.
type Truth struct {
	Requests        []Attempt          `json:"requests"`
	Crashes         []Crash            `json:"crashes"`
	FaultsTriggered map[fault.Kind]int `json:"faults_struck"`
}

// Truth returns a copy of the ground truth so far.
func (e *Engine) Truth() Truth {
	e.prepare()
	e.mu.Lock()
	defer e.mu.Unlock()
	truth := Truth{
		Requests:        make([]Attempt, 0, len(e.attempts)),
		Crashes:         slices.Clone(e.crashes),
		FaultsTriggered: e.Faults.TriggerCounts(),
	}
	for _, a := range e.attempts {
		truth.Requests = append(truth.Requests, *a)
	}
	for _, s := range e.batch.all() {
		e.recordProgress(&truth, s)
	}
	return truth
}

// recordProgress sets the number of generated tokens of an attempt that has not
// ended; endStream records it for the others.
func (e *Engine) recordProgress(truth *Truth, s *stream) {
	for i, a := range e.attempts {
		if a == s.attempt {
			truth.Requests[i].TokensGenerated = s.available - s.resumeOffset
		}
	}
}

func (e *Engine) serveTruth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, e.Truth())
}

// hasModel reports whether the engine serves a model. An engine without models in
// its settings serves all.
func (e *Engine) hasModel(model string) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, model)
}
