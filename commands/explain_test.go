package commands_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/subcommands"
)

func TestExplainAndSummary(t *testing.T) {
	logFile := filepath.Join(t.TempDir(), "log")
	line := `{"time":"2026-12-04T10:00:00Z","msg":"ended","instance":"a","request":"r1","status":503,"reason":"overloaded"}` + "\n"
	if err := os.WriteFile(logFile, []byte(line), 0o600); err != nil {
		t.Fatal(err)
	}
	if status, out, _ := execute(t, "explain", "-id", "r1", logFile); status != subcommands.ExitSuccess || !strings.Contains(out, "cause: answered 503") {
		t.Errorf("explain: %d, %q", status, out)
	}
	var trace struct{ Cause string }
	if _, out, _ := execute(t, "explain", "-json", "-id", "r1", logFile); json.Unmarshal([]byte(out), &trace) != nil || trace.Cause == "" {
		t.Errorf("explain -json: %q", out)
	}
	if status, out, _ := execute(t, "summary", logFile); status != subcommands.ExitSuccess || !strings.Contains(out, "overloaded") {
		t.Errorf("summary: %d, %q", status, out)
	}
	if status, _, errOut := execute(t, "explain", logFile); status != subcommands.ExitUsageError || errOut == "" {
		t.Errorf("explain without -id: %d, %q", status, errOut)
	}
	if status, _, errOut := execute(t, "summary", logFile+".none"); status != subcommands.ExitFailure || errOut == "" {
		t.Errorf("summary of a missing file: %d, %q", status, errOut)
	}
}
