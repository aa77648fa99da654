package tpcommand

import (
	"fmt"

	"teaselpin.example/teaselpin/internal/node/tpnode"
	"teaselpin.example/teaselpin/pkg/tpconfig"
)

// Serve runs a node.
type Serve struct {
	Settings string `long:"settings" description:"YAML file of the node's settings" required:"true"`

	env Env
}

// Execute implements flags.Commander.
func (c *Serve) Execute([]string) error {
	cfg, err := readNodeSettings(c.Settings)
	if err != nil {
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

// readNodeSettings reads and checks a node's settings.
func readNodeSettings(path string) (tpnode.Settings, error) {
	var cfg tpnode.Settings
	f, err := tpconfig.ReadFile(path)
	if err != nil {
		return cfg, err
	}
	if err := tpconfig.Decode(f, &cfg); err != nil {
		return cfg, &statusError{ExitInvalid, err}
	}
	if err := cfg.Check(); err != nil {
		return cfg, &statusError{ExitInvalid, Error.New("%s: %w", path, err)}
	}
	return cfg, nil
}
