package commands_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/subcommands"

	"samphirehead/commands"
	"samphirehead/state/id"
	"samphirehead/state/manifest"
	"samphirehead/transport/operator"
)

const (
	secret         = "operator-secret"
	sampleManifest = "../config/trust.yaml"
)

// fakeInstance is an operator.Backend that returns result and err, and records
// the arguments of Apply and Drain.
type fakeInstance struct {
	result    operator.ApplyResult
	err       error
	base      id.ManifestVersion
	operation id.Attempt
	drained   id.Instance
}

func (f *fakeInstance) Apply(_ context.Context, base id.ManifestVersion, _ []byte, operation id.Attempt) (operator.ApplyResult, error) {
	f.base, f.operation = base, operation
	return f.result, f.err
}

func (f *fakeInstance) Manifest(context.Context) (id.ManifestVersion, []byte, error) {
	return 7, []byte("models:\n  - name: m\n"), f.err
}

func (f *fakeInstance) History(context.Context, int) ([]operator.Revision, error) {
	return []operator.Revision{{Version: 7, Operation: "op-7", Author: "i1", AppliedAt: time.Unix(0, 0)}}, f.err
}

func (f *fakeInstance) Status(context.Context) ([]operator.InstanceStatus, error) {
	queued := []operator.ClassQueue{{Class: "quick", Requests: 2}, {Class: "slow"}}
	return []operator.InstanceStatus{{Instance: "i1", FailureDomain: "d1", State: operator.StateLeaving, ManifestVersion: 7, InFlight: 3, Queued: queued}}, f.err
}

func (f *fakeInstance) Drain(_ context.Context, instance id.Instance) error {
	f.drained = instance
	return f.err
}

// run executes a command against fake and returns its exit status and output.
func run(t *testing.T, fake *fakeInstance, args ...string) (status subcommands.ExitStatus, out, errOut string) {
	t.Helper()
	server := httptest.NewServer((&operator.Server{Secret: secret, RequestHandler: fake}).Handler())
	defer server.Close()
	t.Setenv("SAMPHIREHEAD_OPERATOR", server.Listener.Addr().String())
	t.Setenv("SAMPHIREHEAD_OPERATOR_SECRET", secret)
	return execute(t, args...)
}

func execute(t *testing.T, args ...string) (status subcommands.ExitStatus, out, errOut string) {
	t.Helper()
	flags := flag.NewFlagSet("samphirehead", flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, "samphirehead")
	var outBuffer, errBuffer bytes.Buffer
	commander.Output, commander.Error = &outBuffer, &errBuffer
	commands.Register(commander)
	if err := flags.Parse(args); err != nil {
		t.Fatal(err)
	}
	status = commander.Execute(t.Context(), commands.Streams{Out: &outBuffer, Err: &errBuffer})
	return status, outBuffer.String(), errBuffer.String()
}

func TestExitStatusAndOutput(t *testing.T) {
	conflict := operator.Conflict{Current: 9, Difference: []manifest.Change{{Field: "classes[a].tier", Before: "1", After: "2"}}}
	invalid := operator.Invalid{Faults: []manifest.Fault{{Line: 3, Field: "f", Message: "bad"}}}
	errTable := errors.New("table down")
	tests := map[string]struct {
		fake     fakeInstance
		line     string
		status   subcommands.ExitStatus
		out, err string
	}{
		"validate":             {line: "validate -f " + sampleManifest, out: "is valid: 5 classes, 10 workspaces"},
		"validate json":        {line: "validate -json -f " + sampleManifest, out: `"valid": true`},
		"validate no file":     {line: "validate", status: 2, err: "-f is required"},
		"validate absent file": {line: "validate -f /none", status: 1, err: "no such file"},
		"validate faults":      {line: "validate -f ../go.mod", status: 1, err: "../go.mod: line"},
		"apply":                {fake: fakeInstance{result: operator.Accepted{Version: 8}}, line: "apply -base 7 -f " + sampleManifest, out: "accepted as version 8"},
		"apply json":           {fake: fakeInstance{result: operator.Accepted{Version: 8}}, line: "apply -json -base 7 -f " + sampleManifest, out: `"outcome": "accepted"`},
		"apply conflict":       {fake: fakeInstance{result: conflict}, line: "apply -base 7 -f " + sampleManifest, status: 3, err: "version 9 is in force, not 7\n~ classes[a].tier 1 -> 2"},
		"apply conflict json":  {fake: fakeInstance{result: conflict}, line: "apply -json -base 7 -f " + sampleManifest, status: 3, out: `"current": 9`},
		"apply invalid":        {fake: fakeInstance{result: invalid}, line: "apply -base 7 -f " + sampleManifest, status: 1, err: "trust.yaml: line 3: f: bad"},
		"apply fails":          {fake: fakeInstance{err: errTable}, line: "apply -base 7 -f " + sampleManifest, status: 1, err: "table down"},
		"apply no base":        {line: "apply -f " + sampleManifest, status: 2, err: "-base is required"},
		"apply argument":       {line: "apply -base 7 -f " + sampleManifest + " more", status: 2, err: `unexpected argument "more"`},
		"show":                 {line: "show", out: "# version 7\nmodels:"},
		"show json":            {line: "show -json", out: `"name": "m"`},
		"show fails":           {fake: fakeInstance{err: errTable}, line: "show", status: 1, err: "table down"},
		"show fails json":      {fake: fakeInstance{err: errTable}, line: "show -json", status: 1, out: `"error": "get manifest`},
		"history":              {line: "history", out: "7        1970-01-01T00:00:00Z  i1      op-7"},
		"history json":         {line: "history -json", out: `"operation": "op-7"`},
		"history limit":        {line: "history -limit 0", status: 1, err: "limit"},
		"status":               {line: "status", out: "i1        d1              leaving  7         -      3          quick 2\n"},
		"status json":          {line: "status -json", out: `"in_flight": 3`},
		"drain":                {line: "drain -instance i1", out: "i1 is leaving"},
		"drain json":           {line: "drain -json -instance i1", out: `"instance": "i1"`},
		"drain no instance":    {line: "drain", status: 2, err: "-instance is required"},
		"drain unknown":        {fake: fakeInstance{err: operator.ErrUnknownInstance}, line: "drain -instance x", status: 1, err: "no such instance"},
		"unknown flag":         {line: "status -x", status: 2, err: "status [-json]"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			status, out, errOut := run(t, &test.fake, strings.Fields(test.line)...)
			if status != test.status || !strings.Contains(out, test.out) || !strings.Contains(errOut, test.err) {
				t.Errorf("got status %d, output %q, errors %q", status, out, errOut)
			}
			if strings.Contains(test.line, "-json") && !json.Valid([]byte(out)) {
				t.Errorf("output is not one JSON value: %q", out)
			}
		})
	}
}

func TestApplyUnknownOutcomePrintsOperation(t *testing.T) {
	fake := &fakeInstance{result: operator.Unknown{Cause: "slow"}}
	status, _, errOut := run(t, fake, "apply", "-base", "7", "-f", sampleManifest)
	if status != commands.ExitUnknown || !strings.Contains(errOut, "-operation "+string(fake.operation)) {
		t.Fatalf("got status %d, errors %q", status, errOut)
	}
	firstOperation := fake.operation
	fake.result = operator.Accepted{Version: 8}
	status, _, _ = run(t, fake, "apply", "-base", "7", "-operation", string(firstOperation), "-f", sampleManifest)
	if status != subcommands.ExitSuccess || fake.operation != firstOperation || fake.base != 7 {
		t.Errorf("got status %d, operation %q, base %d", status, fake.operation, fake.base)
	}
}

func TestEachApplyUsesNewOperation(t *testing.T) {
	fake := &fakeInstance{result: operator.Accepted{Version: 8}}
	run(t, fake, "apply", "-base", "7", "-f", sampleManifest)
	firstOperation := fake.operation
	run(t, fake, "apply", "-base", "7", "-f", sampleManifest)
	if firstOperation == "" || firstOperation == fake.operation {
		t.Errorf("got operations %q and %q, want two different IDs", firstOperation, fake.operation)
	}
}

func TestOperatorAddressAndSecretRequired(t *testing.T) {
	t.Setenv("SAMPHIREHEAD_OPERATOR", "")
	t.Setenv("SAMPHIREHEAD_OPERATOR_SECRET", "")
	if status, _, errOut := execute(t, "status"); status != 2 || !strings.Contains(errOut, "-operator") {
		t.Errorf("got status %d, errors %q", status, errOut)
	}
	if status, _, errOut := execute(t, "status", "-operator", "127.0.0.1:1"); status != 2 || !strings.Contains(errOut, "-secret-file") {
		t.Errorf("got status %d, errors %q", status, errOut)
	}
	file := filepath.Join(t.TempDir(), "secret")
	if err := os.WriteFile(file, []byte("s\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, _, errOut := execute(t, "status", "-operator", "127.0.0.1:1", "-secret-file", file); status != 1 || !strings.Contains(errOut, "127.0.0.1:1") {
		t.Errorf("got status %d, errors %q", status, errOut)
	}
}
