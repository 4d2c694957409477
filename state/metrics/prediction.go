package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirehead/state/id"
)

// predictionErrors records by how much first tokens came later or earlier than
// predicted.
type predictionErrors struct{ late, early *hdrhistogram.Histogram }

type predictionErrorsView struct {
	Late  latencies `json:"late"`
	Early latencies `json:"early"`
}

func (p *predictionErrors) view() predictionErrorsView {
	return predictionErrorsView{Late: summarize(p.late), Early: summarize(p.early)}
}

// ObservePrediction records the difference between the expected and the actual
// time from the sending of a request to its first token.
func (r *Registry) ObservePrediction(service id.Service, expected, actual time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.predictions == nil {
		r.predictions = make(map[id.Service]*predictionErrors)
	}
	p, ok := r.predictions[service]
	if !ok {
		p = &predictionErrors{late: newHistogram(), early: newHistogram()}
		r.predictions[service] = p
	}
	if actual >= expected {
		record(p.late, actual-expected)
		return
	}
	record(p.early, expected-actual)
}
