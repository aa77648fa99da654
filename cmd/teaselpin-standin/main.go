// Command teaselpin-standin runs a stand-in of the platform, an engine or a
// service.
package main

import (
	"os"

	"teaselpin.example/teaselpin/internal/command/tpcommand"
)

func main() {
	os.Exit(tpcommand.RunStandin(tpcommand.ProcessEnv(), os.Args[1:]))
}
