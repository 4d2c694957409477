package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"samphirehead/instance"
	"samphirehead/state/settings"
)

// serveCommand runs one instance until it has drained.
type serveCommand struct {
	settings string
}

func init() { register(groupRun, &serveCommand{}) }

func (*serveCommand) Name() string     { return "serve" }
func (*serveCommand) Synopsis() string { return "run one instance" }
func (*serveCommand) Usage() string {
	return "serve -settings FILE\n\n" +
		"Runs one instance. SIGTERM makes it drain: it accepts no new work and exits when\n" +
		"its requests in progress have ended. A second SIGTERM stops it at once.\n\n"
}

func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "the settings `file`")
}

func (c *serveCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	s, err := settings.Load(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	SetLogging(os.Stderr, s.LogLevel)
	if err := serve(ctx, s); err != nil {
		klog.ErrorS(err, "instance failed", "instance", s.Instance)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// serve runs an instance. The first SIGTERM or interrupt makes it drain, a second
// one stops it at once.
func serve(ctx context.Context, s *settings.Settings) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)

	inst := &instance.Instance{Settings: s}
	if err := inst.Listen(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- inst.Run(ctx) }()
	draining := false
	for {
		select {
		case err := <-done:
			return err
		case <-signals:
			if draining {
				cancel()
				continue
			}
			draining = true
			inst.Drain()
		}
	}
}
