package settings_test

import (
	"strings"
	"testing"
	"time"

	"samphirehead/state/settings"
)

const routerFile = `instance: "front-1"
failure_domain: "a"
region: "r"
caller_address: "10.0.0.1:1"
readiness_address: "10.0.0.1:2"
directory_address: "10.0.0.1:3"
peer_address: "10.0.0.1:4"
operator_address: "10.0.0.1:5"
platform_address: "10.0.0.9:1"
seeds:
  - "10.0.0.2:4"
peer_secret_env: SECRET
memory_bytes: 189000000
grace: 8s
retries:
  ratio: 0.2
  slack: 56
  window: 10s
`

func TestParseRouter(t *testing.T) {
	s, err := settings.ParseRouter("f", []byte(routerFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.Grace != 8*time.Second || s.Retries.Slack != 56 || len(s.Seeds) != 1 || s.EntryLifetime != settings.DefaultEntryLifetime {
		t.Errorf("settings %+v", s)
	}
	t.Setenv("SECRET", "")
	if _, err := settings.LoadRouter("/nowhere"); err == nil {
		t.Error("a missing file was loaded")
	}
}

func TestParseRouterReportsFaults(t *testing.T) {
	for name, c := range map[string]struct{ old, replacement, want string }{
		"unknown key":    {"grace:", "graze:", "graze"},
		"no instance":    {"instance: \"front-1\"\n", "", "instance"},
		"host name":      {"10.0.0.9:1", "store:1", "platform_address"},
		"port 0":         {"10.0.0.1:4", "10.0.0.1:0", "peer_address"},
		"bad seed":       {"10.0.0.2:4", "x", "seeds"},
		"two bad seeds":  {"10.0.0.2:4\"", "10.0.0.2:4\"\n  - \"x\"\n  - \"y\"", "seeds[2]"},
		"no secret":      {"peer_secret_env: SECRET\n", "", "peer_secret"},
		"two secrets":    {"peer_secret_env: SECRET", "peer_secret_env: A\npeer_secret_file: b", "peer_secret"},
		"negative ratio": {"ratio: 0.2", "ratio: -1", "retries"},
		"no window":      {"window: 10s", "window: 0s", "retries.window"},
		"grace":          {"grace: 8s", "grace: 8", "grace"},
		"memory":         {"189000000", "-1", "memory_bytes"},
		"log level":      {"grace: 8s", "log_level: loud", "log_level"},
		"not YAML":       {"instance:", "instance: [", "line"},
	} {
		_, err := settings.ParseRouter("f", []byte(strings.Replace(routerFile, c.old, c.replacement, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: error %v, want a fault of %s", name, err, c.want)
		}
	}
}
