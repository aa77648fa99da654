//go:build review

package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(2)
	}
	cases := map[string]func(*fleet, bool) bool{"herd": herd, "poison": poison, "slashes": slashes, "regions": regions, "silent": silent, "dark": dark}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	rec := newRecord(os.Args[2])
	f := newFleet(rec)
	broken := play(f, os.Getenv("TROUBLE") != "0")
	f.stop()
	if broken {
		rec.add("the rule is broken")
		os.Exit(1)
	}
	rec.add("the rule holds")
}
