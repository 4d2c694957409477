package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/google/subcommands"

	"samphirehead/state/fault"
	"samphirehead/state/requestlog"
)

// explainCommand reconstructs the path of one request from the logs of instances.
type explainCommand struct {
	id   string
	json bool
}

// summaryCommand counts by cause how requests ended, in windows of time.
type summaryCommand struct {
	window time.Duration
	svg    string
	json   bool
}

func init() {
	register(groupOperate, &explainCommand{})
	register(groupOperate, &summaryCommand{})
}

func (*explainCommand) Name() string     { return "explain" }
func (*explainCommand) Synopsis() string { return "tell what became of a request, from logs" }
func (*explainCommand) Usage() string {
	return "explain -id ID [-json] [FILE...]\n\n" +
		"Reads the logs of any number of instances, the standard input where no file is\n" +
		"named, and tells the path of one request in time order with its cause.\n\n"
}

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.id, "id", "", "the request's `id`")
	f.BoolVar(&c.json, "json", false, "write JSON")
}

func (c *explainCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsFrom(args)
	if c.id == "" {
		fmt.Fprint(streams.Err, c.Usage())
		return subcommands.ExitUsageError
	}
	events, err := readLogs(f.Args())
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return subcommands.ExitFailure
	}
	trace := requestlog.Explain(events, c.id)
	if c.json {
		printJSON(streams.Out, trace)
		return subcommands.ExitSuccess
	}
	fmt.Fprint(streams.Out, trace)
	return subcommands.ExitSuccess
}

func (*summaryCommand) Name() string     { return "summary" }
func (*summaryCommand) Synopsis() string { return "count how requests ended, from logs" }
func (*summaryCommand) Usage() string {
	return "summary [-window DURATION] [-svg FILE] [-json] [FILE...]\n\n" +
		"Reads logs as explain does and counts by cause how requests ended, in windows\n" +
		"of time.\n\n"
}

func (c *summaryCommand) SetFlags(f *flag.FlagSet) {
	f.DurationVar(&c.window, "window", 10*time.Second, "length of one window")
	f.StringVar(&c.svg, "svg", "", "write a plot to this `file`, too")
	f.BoolVar(&c.json, "json", false, "write JSON")
}

func (c *summaryCommand) Execute(_ context.Context, f *flag.FlagSet, args ...any) subcommands.ExitStatus {
	streams := streamsFrom(args)
	if c.window <= 0 {
		fmt.Fprint(streams.Err, c.Usage())
		return subcommands.ExitUsageError
	}
	events, err := readLogs(f.Args())
	if err == nil {
		err = c.write(streams, requestlog.Summarize(events, c.window))
	}
	if err != nil {
		fmt.Fprintln(streams.Err, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func (c *summaryCommand) write(streams Streams, s requestlog.Summary) error {
	if c.svg != "" {
		if err := writePlot(c.svg, s); err != nil {
			return err
		}
	}
	if c.json {
		printJSON(streams.Out, s)
		return nil
	}
	return s.WriteTable(streams.Out)
}

func writePlot(path string, s requestlog.Summary) error {
	file, err := os.Create(path)
	if err != nil {
		return fault.Wrap("write plot", "", err)
	}
	err = s.WriteSVG(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return fault.Wrap("write plot", "", err)
}

// readLogs returns the events of all files, or of the standard input if no file
// is given.
func readLogs(paths []string) ([]requestlog.Event, error) {
	if len(paths) == 0 {
		return requestlog.Read("standard input", os.Stdin)
	}
	var all []requestlog.Event
	for _, path := range paths {
		events, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, events...)
	}
	return all, nil
}

func readLog(path string) ([]requestlog.Event, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.Wrap("read log", "", err)
	}
	defer func() { _ = file.Close() }()
	return requestlog.Read(path, file)
}
