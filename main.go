// Command samphirehead routes language-model traffic with service levels and
// priorities.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"

	"samphirehead/commands"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	commands.Register(subcommands.DefaultCommander)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}
