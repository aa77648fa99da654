package tpcommand

import (
	"fmt"
	"os"

	"github.com/goccy/go-yaml"

	"teaselpin.example/teaselpin/internal/node/tpnode"
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

// readNodeSettings reads a node's settings; an unknown field is an error.
func readNodeSettings(path string) (tpnode.Settings, error) {
	var cfg tpnode.Settings
	f, err := os.Open(path)
	if err != nil {
		return cfg, Error.Wrap(err)
	}
	defer f.Close()
	if err := yaml.NewDecoder(f, yaml.Strict()).Decode(&cfg); err != nil {
		return cfg, Error.New("%s: %w", path, err)
	}
	return cfg, nil
}
