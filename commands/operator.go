package commands

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/google/subcommands"

	"samphirehead/state/settings"
	"samphirehead/transport/operator"
)

// The environment variables that the operator commands use for flags that are not
// set.
const (
	envOperator       = "SAMPHIREHEAD_OPERATOR"
	envOperatorSecret = "SAMPHIREHEAD_OPERATOR_SECRET"
)

// Streams are the outputs of a command. A caller may pass them as an argument of
// Execute; otherwise the command writes to the standard streams.
type Streams struct {
	Out io.Writer
	Err io.Writer
}

func streamsFrom(args []any) Streams {
	for _, arg := range args {
		if streams, ok := arg.(Streams); ok {
			return streams
		}
	}
	return Streams{Out: os.Stdout, Err: os.Stderr}
}

// operatorFlags are the flags of the commands that call the operator API of an
// instance.
type operatorFlags struct {
	address    string
	secretFile string
	json       bool
}

func (o *operatorFlags) addFlags(f *flag.FlagSet) {
	f.StringVar(&o.address, "operator", "", "the operators' `address` of any instance; default $"+envOperator)
	f.StringVar(&o.secretFile, "secret-file", "", "the `file` with the operator secret; default $"+envOperatorSecret)
	addJSONFlag(f, &o.json)
}

func addJSONFlag(f *flag.FlagSet, target *bool) {
	f.BoolVar(target, "json", false, "print one JSON object")
}

// client returns a client for the address and secret that are set. If one is
// missing or can't be read, it prints an error and returns false.
func (o *operatorFlags) client(streams Streams) (*operator.Client, bool) {
	address := o.address
	if address == "" {
		address = os.Getenv(envOperator)
	}
	if address == "" {
		fmt.Fprintln(streams.Err, "no operator address: set -operator or $"+envOperator)
		return nil, false
	}
	secret, err := settings.ReadSecret(o.secretFile, envOperatorSecret)
	if err != nil {
		fmt.Fprintf(streams.Err, "no operator secret: %v; set -secret-file or $%s\n", err, envOperatorSecret)
		return nil, false
	}
	return &operator.Client{Address: address, Secret: secret}, true
}

// run calls do with a client. It returns a usage error if there is an unexpected
// argument or no client, and a failure if do returns an error.
func (o *operatorFlags) run(f *flag.FlagSet, args []any, do func(*operator.Client, Streams) error) subcommands.ExitStatus {
	streams := streamsFrom(args)
	if !requireNoArguments(f, streams) {
		return subcommands.ExitUsageError
	}
	client, ok := o.client(streams)
	if !ok {
		return subcommands.ExitUsageError
	}
	if err := do(client, streams); err != nil {
		return reportFailure(streams, o.json, err)
	}
	return subcommands.ExitSuccess
}

func requireNoArguments(f *flag.FlagSet, streams Streams) bool {
	if f.NArg() > 0 {
		fmt.Fprintf(streams.Err, "unexpected argument %q\n", f.Arg(0))
	}
	return f.NArg() == 0
}

// reportFailure prints err to streams.Err or, if asJSON is set, as an object to
// streams.Out.
func reportFailure(streams Streams, asJSON bool, err error) subcommands.ExitStatus {
	if asJSON {
		printJSON(streams.Out, struct {
			Error string `json:"error"`
		}{err.Error()})
		return subcommands.ExitFailure
	}
	fmt.Fprintln(streams.Err, err)
	return subcommands.ExitFailure
}

func printJSON(w io.Writer, value any) {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(value)
}

// printTable prints tab-separated lines as aligned columns.
func printTable(w io.Writer, lines []string) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, line := range lines {
		fmt.Fprintln(table, line)
	}
	_ = table.Flush()
}

// requireFlag reports whether the value of the flag is set, and prints an error
// if it is not.
func requireFlag(streams Streams, name, value string) bool {
	if value == "" {
		fmt.Fprintf(streams.Err, "-%s is required\n", name)
	}
	return value != ""
}

// readFile reads the file that a flag gives; "-" is the standard input.
func readFile(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	return os.ReadFile(name)
}
