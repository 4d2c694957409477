package commands

import (
	"context"
	"errors"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"samphirehead/state/manifest"
)

// validateCommand checks a manifest without any instance.
type validateCommand struct {
	file string
	json bool
}

func init() { register(groupOperate, &validateCommand{}) }

func (*validateCommand) Name() string     { return "validate" }
func (*validateCommand) Synopsis() string { return "check a manifest" }
func (*validateCommand) Usage() string {
	return "validate -f MANIFEST [-json]\n\n" +
		"Checks a manifest as a whole and prints every fault with its line and\n" +
		"field. Exits with 0 if there is none, else with 1.\n\n"
}

func (c *validateCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "f", "", "the manifest `file`; - is the standard input")
	addJSONFlag(f, &c.json)
}

func (c *validateCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsFrom(args)
	if !requireNoArguments(f, streams) || !requireFlag(streams, "f", c.file) {
		return subcommands.ExitUsageError
	}
	data, err := readFile(c.file)
	if err != nil {
		return reportFailure(streams, c.json, err)
	}
	m, err := manifest.Parse(c.file, data)
	var faults *manifest.Faults
	switch {
	case errors.As(err, &faults):
		c.printFaults(streams, faults)
		return subcommands.ExitFailure
	case err != nil:
		return reportFailure(streams, c.json, err)
	}
	c.printValid(streams, m)
	return subcommands.ExitSuccess
}

// validity is the result that -json prints.
type validateReport struct {
	Valid  bool             `json:"valid"`
	Faults []manifest.Fault `json:"faults"`
}

func (c *validateCommand) printFaults(streams Streams, faults *manifest.Faults) {
	if c.json {
		printJSON(streams.Out, validateReport{Faults: faults.List})
		return
	}
	fmt.Fprintln(streams.Err, faults)
}

func (c *validateCommand) printValid(streams Streams, m *manifest.Manifest) {
	if c.json {
		printJSON(streams.Out, validateReport{Valid: true, Faults: []manifest.Fault{}})
		return
	}
	fmt.Fprintf(streams.Out, "%s is valid: %d classes, %d workspaces, %d models, %d upstreams, %d services\n",
		c.file, len(m.Classes), len(m.Workspaces), len(m.Models), len(m.Upstreams), len(m.Services))
}
