package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"samphirehead/state/id"
	"samphirehead/transport/operator"
)

// drainCommand asks an instance to drain. It does not wait until the instance has
// exited.
type drainCommand struct {
	operatorFlags
	instance string
}

func init() { register(groupOperate, &drainCommand{}) }

func (*drainCommand) Name() string     { return "drain" }
func (*drainCommand) Synopsis() string { return "drain an instance" }
func (*drainCommand) Usage() string {
	return "drain -instance ID [-json]\n\n" +
		"Asks an instance to drain: it accepts no new work after a few seconds and\n" +
		"exits when its requests in progress have ended. The command does not wait\n" +
		"for that; use status to follow it.\n\n"
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
		fmt.Fprintf(streams.Out, "%s is draining\n", c.instance)
		return nil
	})
}
