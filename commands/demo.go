package commands

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"samphirehead/bench"
	"samphirehead/bench/cluster"
	"samphirehead/state/settings"
)

const (
	defaultDemoDuration = 10 * time.Second
	demoSeed            = 1
	demoScenario        = "steady"
)

// demoCommand runs a cluster and its stand-ins in this process under a mixed
// load.
type demoCommand struct {
	duration time.Duration
	keep     bool
	json     bool
}

func init() { register(groupRun, &demoCommand{}) }

func (*demoCommand) Name() string     { return "demo" }
func (*demoCommand) Synopsis() string { return "run instances, stand-ins and a load in one process" }
func (*demoCommand) Usage() string {
	return "demo [-duration D] [-keep] [-json]\n\n" +
		"Runs four instances, twenty engines, three service workers and the platform's\n" +
		"stand-in in this process over loopback TCP, applies the sample manifest, runs a\n" +
		"mixed load, and prints the results of each class.\n\n"
}

func (d *demoCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&d.duration, "duration", defaultDemoDuration, "how long requests are sent")
	f.BoolVar(&d.keep, "keep", false, "stay up afterwards and print commands to try")
	f.BoolVar(&d.json, "json", false, "print the result as JSON on standard output, and nothing else there")
}

func (d *demoCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if f.NArg() > 0 || d.duration <= 0 {
		fmt.Fprint(os.Stderr, d.Usage())
		return subcommands.ExitUsageError
	}
	SetLogging(os.Stderr, settings.LogError)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	scenario, ok := bench.Find(demoScenario)
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", demoScenario)
		return subcommands.ExitFailure
	}
	experiment := &bench.Experiment{
		Scenario: scenario,
		Policy:   bench.Samphirehead,
		Duration: d.duration,
		Seed:     demoSeed,
		Progress: os.Stderr,
	}
	return d.run(ctx, experiment)
}

func (d *demoCommand) run(ctx context.Context, e *bench.Experiment) subcommands.ExitStatus {
	c := cluster.New(e.Policy.NewInstance)
	defer func() {
		if err := c.Stop(); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	if err := c.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	result, _ := e.RunOn(ctx, c)
	status := printResult(result, d.json)
	if d.keep {
		printCommands(os.Stderr, c)
		<-ctx.Done()
	}
	return status
}

// printCommands writes shell commands that call the running cluster.
func printCommands(w io.Writer, c *cluster.Cluster) {
	node := c.Nodes()[0]
	key := cluster.Key(cluster.Workspaces()[0].Workspace)
	fmt.Fprintf(w, "\nrunning until interrupted; try:\n\n")
	fmt.Fprintf(w, "curl -s -H 'Authorization: Bearer %s' %s/v1/entries\n\n", key, node.URL())
	fmt.Fprintf(w, "curl -sN -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"hello answer_tokens=8\"}]}' %s/v1/chat/completions\n\n",
		key, cluster.NotesModel, node.URL())
	fmt.Fprintf(w, "export SAMPHIREHEAD_OPERATOR=%s SAMPHIREHEAD_OPERATOR_SECRET=%s\n", node.Operator().Address, node.Operator().Secret.Reveal())
	fmt.Fprintf(w, "go run . status\ngo run . show\ngo run . history\ngo run . drain -instance %s\n", node.Name)
}
