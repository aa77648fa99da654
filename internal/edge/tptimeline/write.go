package tptimeline

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"teaselpin.example/teaselpin/pkg/tpmessage"
)

// Error is the class of errors of this package.
var Error = errs.Class("timeline")

// Format names a way to write a timeline.
type Format string

// Formats.
const (
	FormatText      Format = "text"
	FormatJSONLines Format = "jsonl"
	FormatTrace     Format = "trace" // trace-event JSON
	FormatPNG       Format = "png"
)

// Write writes the events, which are in causal order, in the format.
func Write(w io.Writer, format Format, events []tpmessage.Event) error {
	switch format {
	case FormatText, "":
		return writeText(w, events)
	case FormatJSONLines:
		return writeJSONLines(w, events)
	case FormatTrace:
		return writeTrace(w, events)
	case FormatPNG:
		return writePicture(w, events)
	}
	return Error.New("unknown format %q, want text, jsonl, trace or png", format)
}

func writeText(w io.Writer, events []tpmessage.Event) error {
	for i := range events {
		e := &events[i]
		at := time.Unix(0, e.Time.Wall).UTC().Format("15:04:05.000000")
		if _, err := fmt.Fprintf(w, "%s+%d %-12s %-20s %s\n", at, e.Time.Counter, e.Process, e.Kind, identities(e)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// identities returns the identities of an event that are set.
func identities(e *tpmessage.Event) string {
	var words []string
	add := func(name, value string) {
		if value != "" {
			words = append(words, name+"="+value)
		}
	}
	add("request", e.Request)
	add("target", e.Target)
	add("organisation", e.Organisation)
	add("lease", e.Lease)
	if e.Order != 0 {
		add("order", fmt.Sprint(e.Order))
	}
	if e.Generation != 0 {
		add("generation", fmt.Sprint(e.Generation))
	}
	add("detail", e.Detail)
	return strings.Join(words, " ")
}

func writeJSONLines(w io.Writer, events []tpmessage.Event) error {
	enc := json.NewEncoder(w)
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// traceEvent is one entry of the trace-event format that trace viewers open.
type traceEvent struct {
	Name      string           `json:"name"`
	Phase     string           `json:"ph"`
	Scope     string           `json:"s,omitempty"`
	Timestamp float64          `json:"ts"` // microseconds
	Process   int              `json:"pid"`
	Thread    int              `json:"tid"`
	Args      *tpmessage.Event `json:"args,omitempty"`
}

type traceName struct {
	Name string `json:"name"`
}

// traceProcess names a process of a trace.
type traceProcess struct {
	Name    string    `json:"name"`
	Phase   string    `json:"ph"`
	Process int       `json:"pid"`
	Args    traceName `json:"args"`
}

func writeTrace(w io.Writer, events []tpmessage.Event) error {
	numbers := make(map[string]int)
	entries := make([]any, 0, len(events)+8)
	for i := range events {
		e := &events[i]
		number, known := numbers[e.Process]
		if !known {
			number = len(numbers) + 1
			numbers[e.Process] = number
			entries = append(entries, traceProcess{
				Name: "process_name", Phase: "M", Process: number, Args: traceName{Name: e.Process},
			})
		}
		entries = append(entries, traceEvent{
			Name: e.Kind, Phase: "i", Scope: "p", Timestamp: float64(e.Time.Wall) / 1e3, Process: number, Thread: 1, Args: e,
		})
	}
	return Error.Wrap(json.NewEncoder(w).Encode(trace{Events: entries}))
}

// trace is a whole trace-event file.
type trace struct {
	Events []any `json:"traceEvents"`
}
