// Command teaselpin runs and operates nodes that serve language requests and
// service calls from a fixed fleet of targets.
package main

import (
	"os"

	"teaselpin.example/teaselpin/internal/command/tpcommand"
)

func main() {
	os.Exit(tpcommand.RunTeaselpin(tpcommand.ProcessEnv(), os.Args[1:]))
}
