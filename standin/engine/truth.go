package engine

import (
	"net/http"
	"slices"

	"samphirehead/standin/fault"
)

// End says how an attempt ended.
type EndReason string

// The ways to end; an attempt that waits or runs has none.
const (
	EndCompleted EndReason = "completed"
	EndCancelled EndReason = "cancelled"
	EndCrashed   EndReason = "crashed"
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
	ArrivedUnixUS int64     `json:"arrived_unix_us"`
	StartedUnixUS int64     `json:"started_unix_us"`
	EndedUnixUS   int64     `json:"ended_unix_us"`
	End           EndReason `json:"end"`
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
	Requests        []Attempt          `json:"requests"`
	Crashes         []Crash            `json:"crashes"`
	FaultsTriggered map[fault.Kind]int `json:"faults_struck"`
}

// Truth returns what really happened so far.
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

// recordProgress fills in the tokens of an attempt that has not ended.
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

// serves reports whether the engine has a model; one without models has all.
func (e *Engine) hasModel(model string) bool {
	return len(e.Models) == 0 || slices.Contains(e.Models, model)
}
