package platform

import (
	"math"
	"net/http"
	"slices"

	"samphirehead/standin/fault"
)

// Truth is the ground truth, against which tests and benchmarks check what
// clients observed.
type Truth struct {
	// Writes holds every applied row write in the order of application.
	Writes []AppliedWrite `json:"writes"`
	// FaultsTriggered counts how often each kind of fault triggered.
	FaultsTriggered map[fault.Kind]int `json:"faults_struck"`
}

// Truth returns a copy of the ground truth so far.
func (p *Platform) Truth() Truth {
	p.table.mu.Lock()
	defer p.table.mu.Unlock()
	return Truth{Writes: slices.Clone(p.table.applied), FaultsTriggered: p.Faults.TriggerCounts()}
}

// Rows returns the rows whose keys start with prefix. It does not count against
// the read rate.
func (p *Platform) Rows(prefix string) []Row {
	return p.table.scan(prefix, "", math.MaxInt)
}

func (p *Platform) serveTruth(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Truth())
}
