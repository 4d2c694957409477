package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/google/subcommands"
	"k8s.io/klog/v2"

	"samphirehead/platform"
	"samphirehead/router"
	"samphirehead/state/loglines"
	"samphirehead/state/settings"
)

const (
	// memoryLimitShare is the fraction of the memory_bytes setting that becomes
	// the soft memory limit of the Go runtime.
	memoryLimitShare = 0.6
)

// routeCommand runs one instance on the users' platform until it has drained.
type routeCommand struct {
	settings string
}

func init() { register(groupRun, &routeCommand{}) }

func (*routeCommand) Name() string     { return "route" }
func (*routeCommand) Synopsis() string { return "run one instance on the users' platform" }
func (*routeCommand) Usage() string {
	return "route [-settings FILE]\n\n" +
		"Runs one instance that reads its routes and upstreams from the platform's store.\n" +
		"SIGTERM makes it drain: it accepts only requests that can end in its grace period,\nand exits when its requests have ended. SIGHUP makes it reload its settings.\n\n"
}

func (c *routeCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", os.Getenv(platform.SettingsVariable), "the settings `file`")
}

func (c *routeCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.settings == "" || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, c.Usage())
		return subcommands.ExitUsageError
	}
	s, err := settings.LoadRouter(c.settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	logWriter := &loglines.Writer{Output: os.Stdout, Report: router.LogDroppedLines}
	SetLogging(logWriter, s.LogLevel, "instance", s.Instance)
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.MemoryBytes)))
	}
	err = c.route(ctx, s, logWriter)
	if err != nil {
		klog.ErrorS(err, "router failed")
	}
	logWriter.Flush()
	if err != nil {
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// route runs an instance. The first SIGTERM or interrupt makes it drain, a second
// one stops it at once, and SIGHUP reloads the settings.
func (c *routeCommand) route(ctx context.Context, s *settings.Router, logWriter *loglines.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	defer signal.Stop(signals)

	r := &router.Router{
		Settings:        s,
		Platform:        &platform.Platform{Address: s.PlatformAddress},
		Dialect:         platform.Dialect{},
		Handlers:        router.Handlers{Directory: platform.Directory, Readiness: platform.Readiness},
		DroppedLogLines: logWriter.Dropped,
	}
	if s.Duties != nil {
		r.Duties = &platform.Duties{Address: s.Duties.Address}
	}
	if err := r.Listen(); err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	draining := false
	for {
		select {
		case err := <-done:
			return err
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				c.reload(r)
			case draining:
				cancel()
			default:
				draining = true
				r.Drain()
			}
		}
	}
}

// reload reads the settings file again. If the file can't be read or is invalid,
// the router keeps its settings.
func (c *routeCommand) reload(r *router.Router) {
	s, err := settings.LoadRouter(c.settings)
	if err != nil {
		klog.ErrorS(err, "settings not reloaded", "file", c.settings)
		return
	}
	r.Reload(s)
}
