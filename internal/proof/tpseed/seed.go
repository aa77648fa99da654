// Package tpseed sets a fixed seed for property tests, so that every run
// generates the same cases.
package tpseed

import (
	"flag"
	"strconv"
	"testing"

	_ "pgregory.net/rapid" // registers the flag rapid.seed
)

// Default is the seed of most packages.
const Default = 20261204

// Run runs the tests of a package and returns the exit status. It uses the
// given seed unless the flag -rapid.seed sets another one. A TestMain calls it.
func Run(m *testing.M, seed uint64) int {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set(strconv.FormatUint(seed, 10)); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
