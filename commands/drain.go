package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"samphirehead/state/id"
	"samphirehead/transport/operator"
)

// drainCommand tells an instance to leave.
type drainCommand struct {
	operatorFlags
	instance string
}

func init() { register(groupOperate, &drainCommand{}) }

func (*drainCommand) Name() string     { return "drain" }
func (*drainCommand) Synopsis() string { return "make an instance leave" }
func (*drainCommand) Usage() string {
	return "drain -instance ID [-json]\n\n" +
		"Tells an instance to leave: it takes no new work after a few seconds, and\n" +
		"ends when its requests in progress have ended. Does not wait for that;\n" +
		"status shows it.\n\n"
}

func (c *drainCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.StringVar(&c.instance, "instance", "", "the `id` of the instance")
}

func (c *drainCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	if !requireFlag(streamsFrom(args), "instance", c.instance) {
		return subcommands.ExitUsageError
	}
	return c.run(f, args, func(client *operator.Client, streams Streams) error {
		if err := client.Drain(ctx, id.Instance(c.instance)); err != nil {
			return err
		}
		if c.json {
			printJSON(streams.Out, struct {
				Instance string `json:"instance"`
			}{c.instance})
			return nil
		}
		fmt.Fprintf(streams.Out, "%s is leaving\n", c.instance)
		return nil
	})
}
