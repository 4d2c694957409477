package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"samphirehead/bench/cluster"
	"samphirehead/bench/load"
	"samphirehead/bench/score"
	"samphirehead/protocol/answer"
	"samphirehead/standin/fault"
	"samphirehead/state/id"
)

// recoveryTime is how long the others may take to make up for an instance that
// has died.
const recoveryTime = 3 * time.Second

// Report is what a run shows besides its Result.
type Report struct {
	// StepErrors counts steps of the scenario that failed.
	StepErrors int
	// AppliesTried and AppliesAccepted count manifests.
	ManifestsSubmitted, ManifestsAccepted int
	// RacesWithTwoWinners counts races in which more than one manifest was
	// accepted against the same version.
	RacesWithTwoWinners int
	// SlowestSpread is the longest time from an accepted manifest to its
	// being in force on all serving instances.
	SlowestRollout time.Duration
	// Recovered is the outcome of what was sent recoveryTime or more after
	// the last instance died; nil if none died.
	AfterRecovery []score.Class
	lastKill      time.Time
	// Faults counts the faults that struck.
	Faults map[fault.Kind]int
	// Crashes counts crashes of engines by the request that caused them.
	Crashes map[string]int
	// Keys counts the at-most-once calls by what their callers believe.
	AtMostOnceOutcomes map[answer.Outcome]int
	// SlowestNotRun is the longest time from sending an at-most-once call to
	// being told that it was not run.
	SlowestNotRun time.Duration
	// Others is the attainment of each class without the offender; nil if
	// there is none.
	WithoutOffender []score.Class
}

// complete fills the report from the truth and the records.
func (r *Report) complete(c *cluster.Cluster, records []*load.Record, offender id.Workspace) {
	r.Faults, r.Crashes, r.AtMostOnceOutcomes = map[fault.Kind]int{}, map[string]int{}, map[answer.Outcome]int{}
	r.addFaults(c.Platform.Truth().FaultsStruck)
	for _, s := range c.Services {
		r.addFaults(s.Truth().FaultsStruck)
	}
	for _, e := range c.Engines {
		truth := e.Truth()
		r.addFaults(truth.FaultsStruck)
		for _, crash := range truth.Crashes {
			r.Crashes[crash.Match]++
		}
	}
	var others, recovered []*load.Record
	for _, record := range records {
		if record.Job.Key != "" {
			r.AtMostOnceOutcomes[record.Outcome]++
			r.SlowestNotRun = max(r.SlowestNotRun, slowestNotRun(record))
		}
		if record.Sent.After(r.lastKill.Add(recoveryTime)) {
			recovered = append(recovered, record)
		}
		if record.Job.Workspace != offender {
			others = append(others, record)
		}
	}
	if offender != "" {
		r.WithoutOffender = scoreClasses(others)
	}
	if !r.lastKill.IsZero() {
		r.AfterRecovery = scoreClasses(recovered)
	}
}

func slowestNotRun(record *load.Record) time.Duration {
	slowest := time.Duration(0)
	for _, t := range record.Told {
		if t.Outcome == answer.OutcomeNotRun {
			slowest = max(slowest, t.EndedAt.Sub(t.SentAt))
		}
	}
	return slowest
}

func scoreClasses(records []*load.Record) []score.Class {
	run := score.Run{Records: records, Duration: time.Second}
	return run.Score().Classes
}

func (r *Report) addFaults(struck map[fault.Kind]int) {
	for kind, n := range struck {
		r.Faults[kind] += n
	}
}

// Print writes the report for people.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "faults that struck:%s\n", formatCounts(r.Faults))
	fmt.Fprintf(w, "engine crashes by match:%s\n", formatCounts(r.Crashes))
	fmt.Fprintf(w, "at-most-once calls by outcome:%s; slowest answer not_run after %d ms\n", formatCounts(r.AtMostOnceOutcomes), r.SlowestNotRun.Milliseconds())
	if r.ManifestsSubmitted > 0 {
		fmt.Fprintf(w, "manifests tried %d, accepted %d, races with two winners %d, slowest spread %d ms\n",
			r.ManifestsSubmitted, r.ManifestsAccepted, r.RacesWithTwoWinners, r.SlowestRollout.Milliseconds())
	}
	printClasses(w, "without the offending workspace", r.WithoutOffender)
	printClasses(w, "from 3 s after the last death", r.AfterRecovery)
	if r.StepErrors > 0 {
		fmt.Fprintf(w, "steps that failed: %d\n", r.StepErrors)
	}
}

func printClasses(w io.Writer, label string, classes []score.Class) {
	for _, c := range classes {
		fmt.Fprintf(w, "%s: %s sent %d, completed %d, attained %.1f%%\n", label, c.Class, c.Sent, c.Completed, 100*c.Attainment)
	}
}

func formatCounts[K ~string](m map[K]int) string {
	if len(m) == 0 {
		return " none"
	}
	text := ""
	for _, k := range slices.Sorted(maps.Keys(m)) {
		text += fmt.Sprintf(" %s %d", k, m[k])
	}
	return text
}
