package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/google/uuid"

	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/operator"
)

// applyCommand submits a manifest to an instance.
type applyCommand struct {
	operatorFlags
	file      string
	base      int64
	operation string
}

func init() { register(groupOperate, &applyCommand{}) }

func (*applyCommand) Name() string     { return "apply" }
func (*applyCommand) Synopsis() string { return "apply a manifest" }
func (*applyCommand) Usage() string {
	return "apply -f MANIFEST -base N [-operation ID] [-json]\n\n" +
		"Makes the manifest the successor of version N, which it was made against;\n" +
		"0 is the base of the first manifest. Exits with 0 if it was accepted, 1 if\n" +
		"it was refused, 3 if N is not the active version, and 4 if the outcome is\n" +
		"unknown: then repeat the command with the -operation that it prints.\n\n"
}

func (c *applyCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.StringVar(&c.file, "f", "", "the manifest `file`; - is the standard input")
	f.Int64Var(&c.base, "base", -1, "the `version` that the manifest was made against")
	f.StringVar(&c.operation, "operation", "", "the `id` of an earlier call whose outcome is unknown")
}

func (c *applyCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsFrom(args)
	if !requireNoArguments(f, streams) || !requireFlag(streams, "f", c.file) {
		return subcommands.ExitUsageError
	}
	if c.base < 0 {
		fmt.Fprintln(streams.Err, "-base is required: the active version, or 0")
		return subcommands.ExitUsageError
	}
	client, ok := c.client(streams)
	if !ok {
		return subcommands.ExitUsageError
	}
	data, err := readFile(c.file)
	if err != nil {
		return reportFailure(streams, c.json, err)
	}
	submission := c.submission(data)
	result, err := client.Apply(ctx, submission)
	if err != nil {
		return reportFailure(streams, c.json, err)
	}
	report := newApplyReport(submission.Operation, result)
	c.print(streams, report)
	return report.exitStatus
}

func (c *applyCommand) submission(data []byte) operator.Submission {
	operation := c.operation
	if operation == "" {
		operation = uuid.NewString()
	}
	return operator.Submission{
		Base:      id.ManifestVersion(c.base),
		YAML:      data,
		Operation: id.Attempt(operation),
		Repeated:  c.operation != "",
	}
}

// applyReport is the result of apply, as -json prints it.
type applyReport struct {
	// Outcome is accepted, conflict, invalid or unknown.
	Outcome    string             `json:"outcome"`
	Operation  id.Attempt         `json:"operation"`
	Version    id.ManifestVersion `json:"version,omitempty"`
	Current    id.ManifestVersion `json:"current,omitempty"`
	Difference []manifest.Change  `json:"difference,omitempty"`
	Faults     []manifest.Fault   `json:"faults,omitempty"`
	Cause      string             `json:"cause,omitempty"`

	exitStatus subcommands.ExitStatus
}

func newApplyReport(operation id.Attempt, result operator.ApplyResult) applyReport {
	report := applyReport{Operation: operation}
	switch result := result.(type) {
	case operator.Accepted:
		report.Outcome, report.exitStatus = "accepted", subcommands.ExitSuccess
		report.Version = result.Version
	case operator.Conflict:
		report.Outcome, report.exitStatus = "conflict", ExitConflict
		report.Current, report.Difference = result.Current, result.Difference
	case operator.Invalid:
		report.Outcome, report.exitStatus = "invalid", subcommands.ExitFailure
		report.Faults = result.Faults
	case operator.Unknown:
		report.Outcome, report.exitStatus = "unknown", ExitUnknown
		report.Cause = result.Cause
	}
	return report
}

func (c *applyCommand) print(streams Streams, report applyReport) {
	if c.json {
		printJSON(streams.Out, report)
		return
	}
	switch report.Outcome {
	case "accepted":
		fmt.Fprintf(streams.Out, "accepted as version %d\n", report.Version)
	case "conflict":
		fmt.Fprintf(streams.Err, "conflict: version %d is active, not %d\n", report.Current, c.base)
		for _, change := range report.Difference {
			fmt.Fprintln(streams.Err, change)
		}
	case "invalid":
		fmt.Fprintln(streams.Err, &manifest.Faults{Name: c.file, List: report.Faults})
	case "unknown":
		fmt.Fprintf(streams.Err, "outcome unknown: %s\nrepeat with -operation %s to find out\n", report.Cause, report.Operation)
	}
}
