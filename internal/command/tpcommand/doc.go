// Package tpcommand implements the subcommands of the programs teaselpin and
// teaselpin-standin.
package tpcommand
