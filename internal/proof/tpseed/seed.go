// Package tpseed fixes the seed of property tests, so that every run draws
// the same cases.
package tpseed

import (
	"flag"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flag
)

// Default is the seed of most packages.
const Default = 20261204

// Run runs the tests of a package with a seed, unless the command line gives
// another one, and returns the exit status. A TestMain calls it.
func Run(m *testing.M, seed uint64) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(strconv.FormatUint(seed, 10)); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
