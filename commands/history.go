package commands

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/subcommands"

	"samphirehead/transport/operator"
)

// historyCommand lists accepted manifests.
type historyCommand struct {
	operatorFlags
	limit int
}

func init() { register(groupOperate, &historyCommand{}) }

func (*historyCommand) Name() string     { return "history" }
func (*historyCommand) Synopsis() string { return "list accepted manifests" }
func (*historyCommand) Usage() string {
	return "history [-limit N] [-json]\n\n" +
		"Lists the latest accepted manifests, the newest first.\n\n"
}

func (c *historyCommand) SetFlags(f *flag.FlagSet) {
	c.addFlags(f)
	f.IntVar(&c.limit, "limit", 20, "the most `versions` to list")
}

func (c *historyCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	return c.run(f, args, func(client *operator.Client, streams Streams) error {
		revisions, err := client.History(ctx, c.limit)
		if err != nil {
			return err
		}
		if c.json {
			printJSON(streams.Out, struct {
				Revisions []operator.Revision `json:"revisions"`
			}{revisions})
			return nil
		}
		printRevisions(streams, revisions)
		return nil
	})
}

func printRevisions(streams Streams, revisions []operator.Revision) {
	lines := []string{"VERSION\tAPPLIED\tAUTHOR\tOPERATION"}
	for _, r := range revisions {
		applied := r.AppliedAt.UTC().Format(time.RFC3339)
		lines = append(lines, fmt.Sprintf("%d\t%s\t%s\t%s", r.Version, applied, r.Author, r.Operation))
	}
	printTable(streams.Out, lines)
}
