// Command teaselpin serves language and booking work from a fixed fleet.
package main

import (
	"os"

	"teaselpin.example/teaselpin/internal/command/tpcommand"
)

func main() {
	os.Exit(tpcommand.Teaselpin(tpcommand.System(), os.Args[1:]))
}
