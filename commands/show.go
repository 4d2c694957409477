package commands

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"go.yaml.in/yaml/v3"

	"samphirehead/state/id"
	"samphirehead/transport/operator"
)

// showCommand prints the manifest that is active at one instance.
type showCommand struct{ operatorFlags }

func init() { register(groupOperate, &showCommand{}) }

func (*showCommand) Name() string     { return "show" }
func (*showCommand) Synopsis() string { return "print the active manifest" }
func (*showCommand) Usage() string {
	return "show [-json]\n\n" +
		"Prints the active manifest of one instance, after a comment with its\n" +
		"version.\n\n"
}

func (c *showCommand) SetFlags(f *flag.FlagSet) { c.addFlags(f) }

func (c *showCommand) Execute(ctx context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	return c.run(f, args, func(client *operator.Client, streams Streams) error {
		version, data, err := client.Manifest(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return printManifestJSON(streams, version, data)
		}
		return printManifest(streams, version, data)
	})
}

func printManifestJSON(streams Streams, version id.ManifestVersion, data []byte) error {
	var decoded any
	if err := yaml.Unmarshal(data, &decoded); err != nil {
		return err
	}
	printJSON(streams.Out, struct {
		Version  id.ManifestVersion `json:"version"`
		Manifest any                `json:"manifest"`
	}{version, decoded})
	return nil
}

func printManifest(streams Streams, version id.ManifestVersion, data []byte) error {
	if _, err := fmt.Fprintf(streams.Out, "# version %d\n", version); err != nil {
		return err
	}
	_, err := streams.Out.Write(data)
	return err
}
