// Command teaselpin-standin runs a stand-in of the platform, an engine or a service.
package main

import (
	"os"

	"teaselpin.example/teaselpin/internal/command/tpcommand"
)

func main() {
	os.Exit(tpcommand.Standin(tpcommand.System(), os.Args[1:]))
}
