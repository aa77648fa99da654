package tpmember_test

import (
	"flag"
	"os"
	"testing"
)

// Fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
