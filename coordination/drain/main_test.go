package drain_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid unless the command line sets one, so
// that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261")
	}
	os.Exit(m.Run())
}
