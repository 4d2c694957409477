// Package score compares the answers that callers received with what the
// stand-ins really ran.
package score

import (
	"fmt"
	"io"
	"text/tabwriter"

	"samphirehead/state/id"
)

// Result is the outcome of one run. Other programs read its JSON form, so its
// names must not change.
type Result struct {
	Scenario            string     `json:"scenario"`
	Policy              string     `json:"policy"`
	Seed                uint64     `json:"seed"`
	DurationS           float64    `json:"duration_s"`
	Classes             []Class    `json:"classes"`
	GoodputTokensPerS   float64    `json:"goodput_tokens_per_s"`
	GoodputRequestsPerS float64    `json:"goodput_requests_per_s"`
	CapacityTokensPerS  float64    `json:"capacity_tokens_per_s"`
	WastedTokensShare   float64    `json:"wasted_tokens_share"`
	Violations          Violations `json:"violations"`
}

// Class is the outcome of one class.
type Class struct {
	Class id.Class `json:"class"`
	// Tier is 1 for the highest.
	Tier id.Tier `json:"tier"`
	// Sent counts requests; retries of a request do not add to it.
	Sent      int `json:"sent"`
	Completed int `json:"completed"`
	NotRun    int `json:"not_run"`
	Unknown   int `json:"unknown"`
	Failed    int `json:"failed"`
	// Attainment is the fraction of Sent, from 0 to 1, that completed within
	// the latency targets.
	Attainment         float64 `json:"attainment"`
	FirstTokenP50MS    float64 `json:"first_token_p50_ms"`
	FirstTokenP95MS    float64 `json:"first_token_p95_ms"`
	BetweenTokensP95MS float64 `json:"between_tokens_p95_ms"`
}

// Violations counts broken guarantees, by kind; there must be none in any run.
// docs/BENCH.md defines each kind.
type Violations struct {
	DuplicateRuns    int `json:"duplicate_runs"`
	FalseNotRun      int `json:"false_not_run"`
	TruncatedAnswers int `json:"truncated_answers"`
	CrossedAnswers   int `json:"crossed_answers"`
	ShedAboveLower   int `json:"shed_above_lower"`
	CutByDrain       int `json:"cut_by_drain"`
	ConfigReverts    int `json:"config_reverts"`
	WorkAfterDrain   int `json:"work_after_leave"`
}

// Total returns the sum of all violations.
func (v Violations) Total() int {
	return v.DuplicateRuns + v.FalseNotRun + v.TruncatedAnswers + v.CrossedAnswers +
		v.ShedAboveLower + v.CutByDrain + v.ConfigReverts + v.WorkAfterDrain
}

// Print writes the result as a table for a human reader.
func (r Result) Print(w io.Writer) {
	fmt.Fprintf(w, "scenario %s, policy %s, seed %d, %.0f s\n\n", r.Scenario, r.Policy, r.Seed, r.DurationS)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\ttier\tsent\tcompleted\tnot run\tunknown\tfailed\tattained\tfirst p50\tfirst p95\tbetween p95\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%.0f ms\t%.0f ms\t%.0f ms\t\n",
			c.Class, c.Tier, c.Sent, c.Completed, c.NotRun, c.Unknown, c.Failed,
			100*c.Attainment, c.FirstTokenP50MS, c.FirstTokenP95MS, c.BetweenTokensP95MS)
	}
	_ = table.Flush()
	fmt.Fprintf(w, "\ngoodput %.0f tokens/s of %.0f, %.1f requests/s; wasted %.2f%% of the tokens\n",
		r.GoodputTokensPerS, r.CapacityTokensPerS, r.GoodputRequestsPerS, 100*r.WastedTokensShare)
	r.Violations.print(w)
}

func (v Violations) print(w io.Writer) {
	fmt.Fprintf(w, "violations: duplicate runs %d, false not run %d, truncated %d, crossed %d, shed above lower %d, cut by drain %d, config reverts %d, work after drain %d\n",
		v.DuplicateRuns, v.FalseNotRun, v.TruncatedAnswers, v.CrossedAnswers,
		v.ShedAboveLower, v.CutByDrain, v.ConfigReverts, v.WorkAfterDrain)
}
