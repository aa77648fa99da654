package tpcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/node/tpnode"
)

// Status prints the configuration generations and the members that a node
// reports.
type Status struct {
	Output
	Node string `long:"node" description:"host:port of the node for peers and operators" required:"true"`

	env Env
}

// Execute implements flags.Commander.
func (c *Status) Execute([]string) error {
	client, closeClient := tppeer.NewClient(nil)
	defer closeClient()
	data, err := client.Status(context.Background(), c.Node)
	if err != nil {
		return &exitError{ExitUnavailable, err}
	}
	if c.Output.Output == "json" {
		// Printing the node's own JSON keeps fields that this program does not
		// know.
		return printJSON(c.env, json.RawMessage(data))
	}
	var s tpnode.Status
	if err := json.Unmarshal(data, &s); err != nil {
		return Error.New("status of %s: %w", c.Node, err)
	}
	return c.print(s)
}

func (c *Status) print(s tpnode.Status) error {
	fmt.Fprintf(c.env.Stdout, "node %s\naccepted generation %d\nin force generation %d\n", s.Node, s.Accepted, s.InForce)
	w := tabwriter.NewWriter(c.env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "member\taddress\tzone\tgeneration\tstate")
	for _, m := range s.Members {
		state := "live"
		switch {
		case m.Leaving:
			state = "leaving"
		case m.Suspect:
			state = "suspect"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", m.Name, m.Address, m.Zone, m.Generation, state)
	}
	if err := w.Flush(); err != nil {
		return Error.Wrap(err)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Parts)) {
		part, err := json.Marshal(s.Parts[name])
		if err != nil {
			return Error.Wrap(err)
		}
		fmt.Fprintf(c.env.Stdout, "%s %s\n", name, part)
	}
	return nil
}
