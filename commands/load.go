package commands

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"samphirehead/bench/load"
	"samphirehead/bench/score"
)

type loadCommand struct {
	entries string
	profile string
	json    bool
}

func init() { register(groupMeasure, &loadCommand{}) }

func (*loadCommand) Name() string     { return "load" }
func (*loadCommand) Synopsis() string { return "send a load to instances that already run" }

func (*loadCommand) Usage() string {
	return `load -entries URLS -profile FILE [-json]
  Sends the requests of a profile to running instances, as callers would, and
  checks the answers. Without the records of the stand-ins, only truncated and
  crossed answers and reverted configurations are found; the other violations
  stay 0.
`
}

func (l *loadCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&l.entries, "entries", "", "comma-separated `URLs` of instances")
	f.StringVar(&l.profile, "profile", "", "YAML `file` with the load; config/load.yaml is a sample")
	f.BoolVar(&l.json, "json", false, "print the result as JSON on standard output, and nothing else there")
}

func (l *loadCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if l.entries == "" || l.profile == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, l.Usage())
		return subcommands.ExitUsageError
	}
	profile := &load.Profile{}
	if err := decodeYAMLFile(l.profile, profile); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	if err := profile.Check(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", l.profile, err)
		return subcommands.ExitUsageError
	}
	runner := &load.Runner{
		Caller:  &load.Caller{Instances: strings.Split(l.entries, ","), Keys: profile.Keys},
		Profile: profile,
	}
	start := time.Now()
	records := runner.Run(ctx)
	run := score.Run{Start: start, Duration: profile.Duration, Records: records}
	result := run.Score()
	result.Scenario, result.Policy, result.Seed = "load", "unknown", profile.Seed
	return printResult(result, l.json)
}

// printResult writes a result to standard output. The exit status is a failure if
// the result contains violations.
func printResult(r score.Result, asJSON bool) subcommands.ExitStatus {
	if !asJSON {
		r.Print(os.Stdout)
	} else if err := json.NewEncoder(os.Stdout).Encode(r); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	if r.Violations.Total() > 0 {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
