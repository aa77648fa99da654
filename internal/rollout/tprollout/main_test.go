package tprollout_test

import (
	"flag"
	"os"
	"testing"
)

// Fixes the seed of rapid, so that every run draws the same cases unless the
// command line gives another seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
