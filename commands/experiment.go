package commands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/google/subcommands"

	"samphirehead/bench"
)

const (
	defaultExperimentDuration = 10 * time.Second
	defaultSeed               = 1
)

type experimentCommand struct {
	scenario string
	policy   string
	duration time.Duration
	seed     uint64
	json     bool
	list     bool
}

func init() { register(groupMeasure, &experimentCommand{}) }

func (*experimentCommand) Name() string     { return "experiment" }
func (*experimentCommand) Synopsis() string { return "run a scenario and score it" }

func (*experimentCommand) Usage() string {
	return `experiment -scenario NAME [-policy NAME] [-duration D] [-seed N] [-json]
experiment -list
  Runs four instances and all stand-ins in this process under a scenario, and
  compares the outcomes that callers received with the requests that the
  stand-ins ran. The exit status is 1 if there are violations. docs/BENCH.md
  defines the figures.
`
}

func (e *experimentCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&e.scenario, "scenario", "steady", "`name` of the scenario")
	f.StringVar(&e.policy, "policy", string(bench.Samphirehead), "`name` of the policy")
	f.DurationVar(&e.duration, "duration", defaultExperimentDuration, "for how long requests are sent")
	f.Uint64Var(&e.seed, "seed", defaultSeed, "seed of arrivals and lengths")
	f.BoolVar(&e.json, "json", false, "print the result as JSON on standard output, and nothing else there")
	f.BoolVar(&e.list, "list", false, "list scenarios and policies")
}

func (e *experimentCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if e.list {
		e.printList()
		return subcommands.ExitSuccess
	}
	scenario, ok := bench.Find(e.scenario)
	policy := bench.Policy(e.policy)
	if !ok || !slices.Contains(bench.Policies(), policy) || f.NArg() > 0 || e.duration <= 0 {
		fmt.Fprint(os.Stderr, e.Usage())
		return subcommands.ExitUsageError
	}
	experiment := &bench.Experiment{Scenario: scenario, Policy: policy, Duration: e.duration, Seed: e.seed, Progress: os.Stderr}
	result, report, err := experiment.Run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	report.Print(os.Stderr)
	return printResult(result, e.json)
}

func (e *experimentCommand) printList() {
	if e.json {
		_ = json.NewEncoder(os.Stdout).Encode(newExperimentList())
		return
	}
	for _, s := range bench.Scenarios() {
		fmt.Printf("%-18s %s\n", s.Name, s.Summary)
	}
	fmt.Println("\npolicies:", bench.Policies())
}

// experimentList is the output of -list with -json.
type experimentList struct {
	Scenarios []string       `json:"scenarios"`
	Policies  []bench.Policy `json:"policies"`
}

func newExperimentList() experimentList {
	l := experimentList{Policies: bench.Policies()}
	for _, s := range bench.Scenarios() {
		l.Scenarios = append(l.Scenarios, s.Name)
	}
	return l
}
