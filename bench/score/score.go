package score

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"samphirehead/bench/load"
	"samphirehead/protocol/answer"
	"samphirehead/standin/engine"
	"samphirehead/standin/service"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
)

// Engine is a stand-in engine and its own record of what it ran.
type Engine struct {
	Models []id.Model
	// Slots is how many requests run at the same time at most.
	Slots int
	Truth engine.Truth
}

// Drain is the graceful shutdown of one instance.
type Drain struct {
	// Entry is the URL that callers use, as in load.Attempt.
	Entry   string
	Started time.Time
	// Ended is when the instance stopped; zero while it still runs.
	Ended time.Time
}

// Run holds everything that the result of a run is computed from.
type Run struct {
	Start time.Time
	// Duration is how long requests were sent. Goodput counts only tokens
	// and answers that callers received within it.
	Duration time.Duration
	Records  []*load.Record
	Classes  []manifest.Class
	// Engines and Services hold what the stand-ins ran; empty if unknown.
	Engines  []Engine
	Services []service.Truth
	Drains   []Drain
	// CapacityTokensPerSecond is the total decode rate of all engines.
	CapacityTokensPerSecond float64
}

// Score computes the result of a run. It leaves Scenario, Policy and Seed to
// be set by its caller.
func (r *Run) Score() Result {
	result := Result{
		DurationS:          r.Duration.Seconds(),
		Classes:            r.classes(),
		CapacityTokensPerS: r.CapacityTokensPerSecond,
		WastedTokensShare:  r.wastedTokensShare(),
		Violations:         r.violations(),
	}
	end := r.Start.Add(r.Duration)
	for _, record := range r.Records {
		if !record.Completed() {
			continue
		}
		result.GoodputTokensPerS += float64(countUntil(record.TokenTimes, end))
		if !record.Ended.After(end) {
			result.GoodputRequestsPerS++
		}
	}
	result.GoodputTokensPerS /= r.Duration.Seconds()
	result.GoodputRequestsPerS /= r.Duration.Seconds()
	return result
}

func countUntil(times []time.Time, end time.Time) int {
	n := 0
	for _, t := range times {
		if !t.After(end) {
			n++
		}
	}
	return n
}

// classTally accumulates the result of one class.
type classTally struct {
	Class
	attained      int
	firstToken    *hdrhistogram.Histogram
	betweenTokens *hdrhistogram.Histogram
}

const (
	maxLatency        = 10 * time.Minute
	significantDigits = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
}

func (r *Run) classes() []Class {
	tallies := map[id.Class]*classTally{}
	for _, record := range r.Records {
		s := record.Job.Stream
		t, ok := tallies[s.Class]
		if !ok {
			t = &classTally{Class: Class{Class: s.Class, Tier: s.Tier}, firstToken: newHistogram(), betweenTokens: newHistogram()}
			tallies[s.Class] = t
		}
		t.add(record)
	}
	classes := make([]Class, 0, len(tallies))
	for _, t := range tallies {
		classes = append(classes, t.finish())
	}
	slices.SortFunc(classes, func(a, b Class) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Class, b.Class))
	})
	return classes
}

func (t *classTally) add(r *load.Record) {
	t.Sent++
	switch {
	case r.Completed():
		t.Completed++
	case r.Outcome == answer.OutcomeNotRun:
		t.NotRun++
	case r.Outcome == answer.OutcomeUnknown:
		t.Unknown++
	default:
		t.Failed++
	}
	if r.Attained() {
		t.attained++
	}
	if r.FirstToken > 0 {
		_ = t.firstToken.RecordValue(r.FirstToken.Microseconds())
	}
	for i := 1; i < len(r.TokenTimes); i++ {
		_ = t.betweenTokens.RecordValue(r.TokenTimes[i].Sub(r.TokenTimes[i-1]).Microseconds())
	}
}

func (t *classTally) finish() Class {
	t.Attainment = float64(t.attained) / float64(t.Sent)
	t.FirstTokenP50MS = milliseconds(t.firstToken, 50)
	t.FirstTokenP95MS = milliseconds(t.firstToken, 95)
	t.BetweenTokensP95MS = milliseconds(t.betweenTokens, 95)
	return t.Class
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(percentile)) / 1000
}

// wastedTokensShare is the fraction of the generated tokens that are not part
// of an answer that its caller received complete and correct.
func (r *Run) wastedTokensShare() float64 {
	generated, useful := 0, 0
	for _, e := range r.Engines {
		for _, a := range e.Truth.Requests {
			generated += a.TokensGenerated
		}
	}
	for _, record := range r.Records {
		if record.Completed() {
			useful += record.Tokens
		}
	}
	if generated == 0 {
		return 0
	}
	return max(0, 1-float64(useful)/float64(generated))
}
