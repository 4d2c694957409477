package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"samphirehead/state/document"
	"samphirehead/state/settings"
)

const minimal = `instance: a
failure_domain: d
region: r
caller_address: 127.0.0.1:0
peer_address: 127.0.0.1:0
operator_address: 127.0.0.1:0
platform_address: 127.0.0.1:9
peer_secret_env: P
operator_secret_env: O
`

func TestParseFillsDefaults(t *testing.T) {
	s, err := settings.Parse("s.yaml", []byte(minimal+"limits:\n  idle_timeout: 9s\n"))
	if err != nil {
		t.Fatal(err)
	}
	want := settings.DefaultLimits()
	want.IdleTimeout = 9 * time.Second
	if s.Limits != want || s.LogLevel != settings.LogInfo {
		t.Errorf("limits %+v, level %q", s.Limits, s.LogLevel)
	}
}

func TestParseReportsLineAndField(t *testing.T) {
	tests := map[string]struct {
		replace, with string
		want          string
	}{
		"unknown key":      {"region: r", "region: r\nregoin: x", "line 4: regoin: unknown key"},
		"repeated key":     {"region: r", "region: r\nregion: x", "line 4: region: repeated key"},
		"missing":          {"region: r\n", "", "line 1: region: missing"},
		"host name":        {"peer_address: 127.0.0.1:0", "peer_address: localhost:0", `line 5: peer_address: want an IP address`},
		"dial port 0":      {"127.0.0.1:9", "127.0.0.1:0", "line 7: platform_address: want a port other than 0"},
		"dial unspecified": {"127.0.0.1:9", "0.0.0.0:9", "line 7: platform_address: want the address of one host"},
		"number for name":  {"instance: a", "instance: 7", "line 1: instance: want a string"},
		"no secret":        {"peer_secret_env: P\n", "", "line 1: peer_secret_file: set peer_secret_file or peer_secret_env"},
		"two secrets":      {"operator_secret_env: O", "operator_secret_env: O\noperator_secret_file: f", "line 9: operator_secret_env: operator_secret_file is set too"},
		"log level":        {"region: r", "region: r\nlog_level: loud", "line 4: log_level: want debug"},
		"limit":            {"region: r", "region: r\nlimits: {max_body_bytes: 0}", "line 4: limits.max_body_bytes: want at least 1"},
		"duration":         {"region: r", "region: r\nlimits:\n  body_timeout: 5", "line 5: limits.body_timeout: want a duration"},
		"peer":             {"region: r", "region: r\npeers:\n  - instance: b\n    failure_domain: d\n    peer_address: x", "line 7: peers[0].peer_address: want an IP"},
		"alias":            {"instance: a", "instance: &x a", "line 1: instance: anchors"},
		"two documents":    {"operator_secret_env: O\n", "operator_secret_env: O\n---\na: 1\n", "more than one document"},
		"not YAML":         {"region: r", "region: [", "did not find expected"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(minimal, test.replace, test.with, 1)
			_, err := settings.Parse("s.yaml", []byte(text))
			var faults *document.Faults
			if !errors.As(err, &faults) {
				t.Fatalf("error %v", err)
			}
			if len(faults.List) != 1 || !strings.Contains(err.Error(), test.want) {
				t.Errorf("got %v, want one fault with %q", err, test.want)
			}
		})
	}
}

func TestLoadReadsSample(t *testing.T) {
	t.Setenv("SAMPHIREHEAD_PEER_SECRET", " peer \n")
	t.Setenv("SAMPHIREHEAD_OPERATOR_SECRET", "operator")
	s, err := settings.Load("../../config/settings.yaml")
	if err != nil {
		t.Fatal(err)
	}
	if !s.PeerSecret.Matches("peer") || !s.OperatorSecret.Matches("operator") {
		t.Error("the secrets were not read")
	}
	if s.Limits != settings.DefaultLimits() {
		t.Errorf("the limits of the sample differ from the defaults: %+v", s.Limits)
	}
}

func TestLoadReadsLocalInstances(t *testing.T) {
	t.Setenv("SAMPHIREHEAD_PEER_SECRET", "peer")
	t.Setenv("SAMPHIREHEAD_OPERATOR_SECRET", "operator")
	seen := map[string]bool{}
	for n := 1; n <= 4; n++ {
		s, err := settings.Load(fmt.Sprintf("../../config/local/entry-%d.yaml", n))
		if err != nil {
			t.Fatal(err)
		}
		for _, value := range []string{string(s.Instance), s.CallerAddress, s.PeerAddress, s.OperatorAddress} {
			if seen[value] {
				t.Errorf("%s is used twice", value)
			}
			seen[value] = true
		}
	}
}

func TestLoadRejectsMissingSecret(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s.yaml")
	if err := os.WriteFile(path, []byte(minimal), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("P", "")
	if _, err := settings.Load(path); err == nil || !strings.Contains(err.Error(), "read peer secret") {
		t.Errorf("error %v", err)
	}
}

func TestSecretIsNeverPrinted(t *testing.T) {
	const value = "hunter2"
	s := settings.Settings{PeerSecret: value}
	encoded, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var logged strings.Builder
	slog.New(slog.NewJSONHandler(&logged, nil)).Info("m", "s", s.PeerSecret, "all", s)
	output := logged.String() + string(encoded)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d", "%t"} {
		output += fmt.Sprintf(verb, s.PeerSecret) + fmt.Sprintf(verb, s) + fmt.Sprintf(verb, &s)
	}
	for _, leak := range []string{value, fmt.Sprintf("%x", value)} {
		if strings.Contains(output, leak) {
			t.Errorf("output contains %q: %s", leak, output)
		}
	}
}

func TestEmptySecretMatchesNothing(t *testing.T) {
	if settings.Secret("").Matches("") {
		t.Error("an empty secret matched")
	}
}
