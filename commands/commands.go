// Package commands holds the subcommands of samphirehead, one file each.
package commands

import "github.com/google/subcommands"

// Exit statuses of the operator commands, beside success (0), failure (1) and
// usage (2).
const (
	ExitConflict subcommands.ExitStatus = 3
	ExitUnknown  subcommands.ExitStatus = 4
)

// The groups under which help lists the commands.
const (
	groupRun     = "running"
	groupOperate = "operating"
	groupMeasure = "measuring"
)

type registration struct {
	group   string
	command subcommands.Command
}

// registered is filled by the init function of each command's file and not
// changed afterwards.
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
