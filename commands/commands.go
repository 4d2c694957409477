// Package commands implements the subcommands of samphirehead. Each file
// registers the commands that it defines.
package commands

import "github.com/google/subcommands"

// Exit statuses of the apply command in addition to success (0), failure (1) and
// usage error (2): the base is not the active version, or it is unknown whether
// the manifest was accepted.
const (
	ExitConflict subcommands.ExitStatus = 3
	ExitUnknown  subcommands.ExitStatus = 4
)

// The headings under which the help command lists the commands.
const (
	groupRun     = "running"
	groupOperate = "operating"
	groupMeasure = "measuring"
)

type registration struct {
	group   string
	command subcommands.Command
}

// registered is filled by the init functions of the package and is read-only
// afterwards.
var registered []registration

func register(group string, c subcommands.Command) {
	registered = append(registered, registration{group: group, command: c})
}

// Register adds every command to c.
func Register(c *subcommands.Commander) {
	for _, r := range registered {
		c.Register(r.command, r.group)
	}
}
