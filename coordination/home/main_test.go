package home_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		_ = seed.Value.Set("20261")
	}
	os.Exit(m.Run())
}
