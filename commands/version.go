package commands

import (
	"context"
	"flag"
	"fmt"
	"runtime/debug"

	"github.com/google/subcommands"
)

type versionCommand struct{}

func init() { register(groupRun, &versionCommand{}) }

func (*versionCommand) Name() string             { return "version" }
func (*versionCommand) Synopsis() string         { return "print the version" }
func (*versionCommand) Usage() string            { return "version\n" }
func (*versionCommand) SetFlags(_ *flag.FlagSet) {}

func (*versionCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		fmt.Println("unknown")
		return subcommands.ExitFailure
	}
	fmt.Println(info.Main.Path, info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}
