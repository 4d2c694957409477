package platform

import (
	"math"
	"net/http"
	"slices"

	"samphirehead/standin/fault"
)

// Truth is what really happened.
type Truth struct {
	// Writes holds every row change in the order in which they took effect.
	Writes []AppliedWrite `json:"writes"`
	// FaultsStruck counts the faults that struck.
	FaultsTriggered map[fault.Kind]int `json:"faults_struck"`
}

// Truth returns what really happened so far.
func (p *Platform) Truth() Truth {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return Truth{Writes: slices.Clone(p.table.applied), FaultsTriggered: p.Faults.TriggerCounts()}
}

// Rows returns the rows whose keys start with prefix, without using up any
// rate.
func (p *Platform) Rows(prefix string) []Row {
	return p.table.scan(prefix, "", math.MaxInt)
}

func (p *Platform) serveTruth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Truth())
}
