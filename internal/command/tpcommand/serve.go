package tpcommand

import (
	"fmt"

	"teaselpin.example/teaselpin/internal/node/tpnode"
)

// Serve runs a node until the stop signal.
type Serve struct {
	Settings string `long:"settings" description:"YAML file of the node's settings" required:"true"`

	env Env
}

// Execute implements flags.Commander.
func (c *Serve) Execute([]string) error {
	var cfg tpnode.Settings
	if err := readSettings(c.Settings, &cfg); err != nil {
		return err
	}
	n, cleanup, err := tpnode.New(cfg, tpnode.Deps{Log: &c.env.Log})
	if err != nil {
		return err
	}
	fmt.Fprintf(c.env.Stdout, "listening %s %s\n", n.CallerAddress(), n.PeerAddress())
	<-c.env.Stop
	cleanup()
	return nil
}
