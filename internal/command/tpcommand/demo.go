package tpcommand

import (
	"context"

	"github.com/rs/zerolog"

	"teaselpin.example/teaselpin/internal/command/tpdemo"
)

// Demo runs the demonstration of package tpdemo.
type Demo struct {
	Requests int    `long:"requests" description:"number of language requests" default:"60"`
	Bookings int    `long:"bookings" description:"number of bookings" default:"20"`
	Seed     uint64 `long:"seed" description:"seed of the prompts" default:"1"`
	Verbose  bool   `long:"verbose" description:"show the nodes' log lines"`

	env Env
}

// Execute implements flags.Commander. It returns an error if an answer was
// incomplete or a booking did not run exactly once.
func (c *Demo) Execute([]string) error {
	log := zerolog.Nop()
	if c.Verbose {
		log = c.env.Log
	}
	return tpdemo.Run(context.Background(), c.env.Stdout, tpdemo.Settings{
		Requests: c.Requests, Bookings: c.Bookings, Seed: c.Seed, Log: log,
	})
}
