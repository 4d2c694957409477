package commands

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"samphirehead/state/requestlog"
)

// rolloutCommand tells when versions of the configuration came into force at each instance.
type rolloutCommand struct {
	late time.Duration
	json bool
}

func init() { register(groupOperate, &rolloutCommand{}) }

func (*rolloutCommand) Name() string { return "rollout" }
func (*rolloutCommand) Synopsis() string {
	return "show when versions of the configuration came into force, from logs"
}

func (*rolloutCommand) Usage() string {
	return "rollout [-late DURATION] [-json] [FILE...]\n\n" +
		"Reads logs as explain does and shows for each version how long after the first\n" +
		"instance the others activated it, and last handled a request by an older one.\n\n"
}

func (c *rolloutCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.late, "late", time.Second, "also list each instance that lagged for longer")
	f.BoolVar(&c.json, "json", false, "write JSON, a row for each version and instance")
}

func (c *rolloutCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsFrom(args)
	events, err := readLogs(f.Args())
	if err == nil {
		err = c.write(streams, requestlog.Rollouts(events))
	}
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *rolloutCommand) write(streams Streams, rollouts []requestlog.Rollout) error {
	if c.json {
		printJSON(streams.Out, rollouts)
		return nil
	}
	return requestlog.WriteRollouts(streams.Out, rollouts, c.late)
}
