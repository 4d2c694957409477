package commands

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"
	"go.yaml.in/yaml/v3"
	"k8s.io/klog/v2"

	"samphirehead/standin/engine"
	"samphirehead/standin/platform"
	"samphirehead/standin/service"
)

type standinCommand struct {
	settings string
}

func init() { register(groupRun, &standinCommand{}) }

func (*standinCommand) Name() string     { return "standin" }
func (*standinCommand) Synopsis() string { return "run a stand-in platform, engine or service" }

func (*standinCommand) Usage() string {
	return `standin platform|engine|service -settings FILE
  Runs a stand-in for the platform, an engine or a service until it is
  interrupted.
  docs/STANDINS.md describes the settings, the protocols and the faults.
`
}

func (s *standinCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settings, "settings", "", "YAML `file` with the settings")
}

// standinServer is the interface of the stand-ins for a platform, an engine and a
// service.
type standinServer interface {
	Listen() error
	Addr() string
	Run(ctx context.Context) error
}

func (s *standinCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	kind := f.Arg(0)
	server := newStandinServer(kind)
	// Flags may precede or follow the kind. The flag package stops at the first
	// argument, so those after the kind are parsed here.
	if server == nil || f.Parse(f.Args()[1:]) != nil || f.NArg() > 0 {
		fmt.Fprint(os.Stderr, s.Usage())
		return subcommands.ExitUsageError
	}
	if err := decodeYAMLFile(s.settings, server); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitUsageError
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := server.Listen(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	klog.InfoS("stand-in is listening", "kind", kind, "address", server.Addr())
	if err := server.Run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

func newStandinServer(kind string) standinServer {
	switch kind {
	case "platform":
		return &platform.Platform{}
	case "engine":
		return &engine.Engine{}
	case "service":
		return &service.Service{}
	}
	return nil
}

// decodeYAMLFile decodes a YAML file into target. Unknown keys are an error.
func decodeYAMLFile(path string, target any) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer file.Close()
	decoder := yaml.NewDecoder(file)
	decoder.KnownFields(true)
	if err := decoder.Decode(target); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
