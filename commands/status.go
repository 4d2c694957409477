package commands

import (
	"context"
	"flag"
	"fmt"
	"strings"
	"time"

	"github.com/google/subcommands"

	"samphirehead/transport/operator"
)

// statusCommand lists the known instances with their state, manifest and load.
type statusCommand struct{ operatorFlags }

func init() { register(groupOperate, &statusCommand{}) }

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "describe the instances" }
func (*statusCommand) Usage() string {
	return "status [-json]\n\n" +
		"Lists every instance that the called one knows: its state, the version of\n" +
		"its active manifest, the callers' requests in progress, and the requests\n" +
		"that wait in its queue, by class.\n\n"
}

func (c *statusCommand) SetFlags(f *flag.FlagSet) { c.addFlags(f) }

func (c *statusCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	return c.run(f, args, func(client *operator.Client, streams Streams) error {
		instances, err := client.Status(ctx)
		if err != nil {
			return err
		}
		if c.json {
			printJSON(streams.Out, struct {
				Instances []operator.InstanceStatus `json:"instances"`
			}{instances})
			return nil
		}
		printInstances(streams, instances)
		return nil
	})
}

func printInstances(streams Streams, instances []operator.InstanceStatus) {
	lines := []string{"INSTANCE\tFAILURE DOMAIN\tSTATE\tMANIFEST\tTAKEN\tIN FLIGHT\tQUEUED"}
	for _, instance := range instances {
		lines = append(lines, fmt.Sprintf("%s\t%s\t%s\t%d\t%s\t%d\t%s",
			instance.Instance, instance.FailureDomain, instance.State, instance.ManifestVersion, formatTime(instance.ManifestActivatedAt), instance.InFlight, formatQueues(instance.Queued)))
	}
	printTable(streams.Out, lines)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func formatQueues(queues []operator.ClassQueue) string {
	var parts []string
	for _, q := range queues {
		if q.Requests > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", q.Class, q.Requests))
		}
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, ", ")
}
