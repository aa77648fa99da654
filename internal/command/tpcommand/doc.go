// Package tpcommand holds the subcommands of both programs.
package tpcommand
