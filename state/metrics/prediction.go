package metrics

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirehead/state/id"
)

// prediction has by how much first tokens came later or earlier than expected.
type predictionErrors struct{ late, early *hdrhistogram.Histogram }

type predictionErrorsView struct {
	Late  latencies `json:"late"`
	Early latencies `json:"early"`
}

func (p *predictionErrors) view() predictionErrorsView {
	return predictionErrorsView{Late: summarize(p.late), Early: summarize(p.early)}
}

// Predicted records how long the first token of a request was expected to take
// at its upstream, and how long it took.
func (r *Registry) ObservePrediction(service id.Service, expected, took time.Duration) {
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
	if took >= expected {
		record(p.late, took-expected)
		return
	}
	record(p.early, expected-took)
}
