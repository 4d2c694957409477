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

// recoveryTime is how long the remaining instances may take to compensate for a
// killed one. Report.AfterRecovery leaves out requests that were sent earlier.
const recoveryTime = 3 * time.Second

// Report holds what a run measured in addition to its score.Result.
type Report struct {
	// StepErrors counts the steps of the scenario that failed.
	StepErrors int
	// ManifestsSubmitted and ManifestsAccepted count the manifests that steps
	// submitted, and those of them that instances accepted.
	ManifestsSubmitted, ManifestsAccepted int
	// RacesWithTwoWinners counts the steps in which more than one manifest
	// was accepted with the same base version; it should be 0.
	RacesWithTwoWinners int
	// SlowestRollout is the longest time from the acceptance of a manifest
	// until it was active on all serving instances.
	SlowestRollout time.Duration
	// AfterRecovery is the score of the requests that were sent more than
	// recoveryTime after the last kill; nil if no instance was killed.
	AfterRecovery []score.Class
	lastKill      time.Time
	// Faults counts, by kind, how often stand-ins applied a fault.
	Faults map[fault.Kind]int
	// Crashes counts the crashes of engines by the Match of the fault that
	// caused them; the empty string is for those without a request.
	Crashes map[string]int
	// AtMostOnceOutcomes counts the at-most-once calls by the final outcome
	// that their callers received.
	AtMostOnceOutcomes map[answer.Outcome]int
	// SlowestNotRun is the longest time from sending an at-most-once call
	// until its caller received the outcome "not run".
	SlowestNotRun time.Duration
	// WithoutOffender is the score of the requests of all workspaces but the
	// scenario's Offender; nil if it has none.
	WithoutOffender []score.Class
}

// complete computes the remaining figures of the report from what the stand-ins
// and the callers recorded.
func (r *Report) complete(c *cluster.Cluster, records []*load.Record, offender id.Workspace) {
	r.Faults, r.Crashes, r.AtMostOnceOutcomes = map[fault.Kind]int{}, map[string]int{}, map[answer.Outcome]int{}
	r.addFaults(c.Platform.Truth().FaultsTriggered)
	for _, s := range c.Services {
		r.addFaults(s.Truth().FaultsTriggered)
	}
	for _, e := range c.Engines {
		truth := e.Truth()
		r.addFaults(truth.FaultsTriggered)
		for _, crash := range truth.Crashes {
			r.Crashes[crash.Match]++
		}
	}
	var withoutOffender, afterRecovery []*load.Record
	for _, record := range records {
		if record.Job.Key != "" {
			r.AtMostOnceOutcomes[record.Outcome]++
			r.SlowestNotRun = max(r.SlowestNotRun, slowestNotRun(record))
		}
		if record.Sent.After(r.lastKill.Add(recoveryTime)) {
			afterRecovery = append(afterRecovery, record)
		}
		if record.Job.Workspace != offender {
			withoutOffender = append(withoutOffender, record)
		}
	}
	if offender != "" {
		r.WithoutOffender = scoreClasses(withoutOffender)
	}
	if !r.lastKill.IsZero() {
		r.AfterRecovery = scoreClasses(afterRecovery)
	}
}

func slowestNotRun(record *load.Record) time.Duration {
	slowest := time.Duration(0)
	for _, a := range record.Attempts {
		if a.Outcome == answer.OutcomeNotRun {
			slowest = max(slowest, a.EndedAt.Sub(a.SentAt))
		}
	}
	return slowest
}

func scoreClasses(records []*load.Record) []score.Class {
	run := score.Run{Records: records, Duration: time.Second}
	return run.Score().Classes
}

func (r *Report) addFaults(counts map[fault.Kind]int) {
	for kind, n := range counts {
		r.Faults[kind] += n
	}
}

// Print writes the report as text for people to read.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "faults triggered:%s\n", formatCounts(r.Faults))
	fmt.Fprintf(w, "engine crashes by match:%s\n", formatCounts(r.Crashes))
	fmt.Fprintf(w, "at-most-once calls by outcome:%s; slowest not_run answer after %d ms\n", formatCounts(r.AtMostOnceOutcomes), r.SlowestNotRun.Milliseconds())
	if r.ManifestsSubmitted > 0 {
		fmt.Fprintf(w, "manifests submitted %d, accepted %d, races with two winners %d, slowest rollout %d ms\n",
			r.ManifestsSubmitted, r.ManifestsAccepted, r.RacesWithTwoWinners, r.SlowestRollout.Milliseconds())
	}
	printClasses(w, "without the offending workspace", r.WithoutOffender)
	printClasses(w, "sent more than 3 s after the last kill", r.AfterRecovery)
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
