package tpcommand

import (
	"context"
	"fmt"
	"os"

	"teaselpin.example/teaselpin/internal/edge/tppeer"
	"teaselpin.example/teaselpin/internal/edge/tptimeline"
	"teaselpin.example/teaselpin/internal/frame/tpevent"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Timeline reads the events of several nodes and writes them merged in causal
// order.
type Timeline struct {
	Nodes        []string `long:"node" description:"peer address of a node, host:port; repeat for each node" required:"true"`
	Request      string   `long:"request" description:"show only this request"`
	Target       string   `long:"target" description:"show only this target"`
	Organisation string   `long:"organisation" description:"show only this organisation"`
	Lease        string   `long:"lease" description:"show only this lease"`
	Kind         string   `long:"kind" description:"show only this kind of event"`
	Output       string   `long:"output" description:"format" choice:"text" choice:"jsonl" choice:"trace" choice:"png" default:"text"`
	File         string   `long:"file" description:"file to write; standard output if it is not given"`

	env Env
}

// Execute implements flags.Commander. It reports a node that does not answer on
// standard error and writes the events of the others. It returns an error if no
// node answers.
func (c *Timeline) Execute([]string) error {
	var timelines [][]tpmessage.Event
	unanswered := 0
	for _, g := range tppeer.GatherEvents(context.Background(), c.Nodes) {
		if g.Err != nil {
			unanswered++
			fmt.Fprintln(c.env.Stderr, "missing:", g.Err)
			continue
		}
		timelines = append(timelines, g.Events)
	}
	if unanswered == len(c.Nodes) {
		return Error.New("no node answered")
	}
	events := tpevent.Merge(tpevent.Filter{
		Request: c.Request, Target: c.Target, Organisation: c.Organisation, Lease: c.Lease, Kind: c.Kind,
	}, timelines...)
	return c.write(events)
}

func (c *Timeline) write(events []tpmessage.Event) (err error) {
	if c.File == "" {
		return tptimeline.Write(c.env.Stdout, tptimeline.Format(c.Output), events)
	}
	f, err := os.Create(c.File)
	if err != nil {
		return Error.Wrap(err)
	}
	defer func() {
		if closeErr := f.Close(); err == nil {
			err = Error.Wrap(closeErr)
		}
	}()
	return tptimeline.Write(f, tptimeline.Format(c.Output), events)
}
