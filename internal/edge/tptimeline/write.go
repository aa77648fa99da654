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

// Format is the output format of a timeline.
type Format string

// Output formats.
const (
	FormatText      Format = "text"
	FormatJSONLines Format = "jsonl"
	FormatTrace     Format = "trace" // trace-event JSON
	FormatPNG       Format = "png"
)

// Write writes the events in the format. The events must be in causal order. If
// format is empty, Write uses FormatText. It returns an error if the format is
// unknown, or if there are no events to draw.
func Write(w io.Writer, format Format, events []tpmessage.Event) error {
	switch format {
	case FormatText, "":
		return writeText(w, events)
	case FormatJSONLines:
		return writeJSONLines(w, events)
	case FormatTrace:
		return writeTrace(w, events)
	case FormatPNG:
		return writePNG(w, events)
	}
	return Error.New("unknown format %q, want text, jsonl, trace or png", format)
}

func writeText(w io.Writer, events []tpmessage.Event) error {
	for i := range events {
		e := &events[i]
		at := time.Unix(0, e.Time.Wall).UTC().Format("15:04:05.000000")
		if _, err := fmt.Fprintf(w, "%s+%d %-12s %-20s %s\n", at, e.Time.Counter, e.Process, e.Kind, formatFields(e)); err != nil {
			return Error.Wrap(err)
		}
	}
	return nil
}

// formatFields returns the fields of an event that are set, as name=value.
func formatFields(e *tpmessage.Event) string {
	var fields []string
	add := func(name, value string) {
		if value != "" {
			fields = append(fields, name+"="+value)
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
	return strings.Join(fields, " ")
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

// traceEvent is an instant event in the trace-event format.
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

// traceProcess is a metadata event that assigns a name to a process.
type traceProcess struct {
	Name    string    `json:"name"`
	Phase   string    `json:"ph"`
	Process int       `json:"pid"`
	Args    traceName `json:"args"`
}

func writeTrace(w io.Writer, events []tpmessage.Event) error {
	processIDs := make(map[string]int)
	entries := make([]any, 0, len(events)+8)
	for i := range events {
		e := &events[i]
		pid, known := processIDs[e.Process]
		if !known {
			pid = len(processIDs) + 1
			processIDs[e.Process] = pid
			entries = append(entries, traceProcess{
				Name: "process_name", Phase: "M", Process: pid, Args: traceName{Name: e.Process},
			})
		}
		entries = append(entries, traceEvent{
			Name: e.Kind, Phase: "i", Scope: "p", Timestamp: float64(e.Time.Wall) / 1e3, Process: pid, Thread: 1, Args: e,
		})
	}
	return Error.Wrap(json.NewEncoder(w).Encode(traceFile{Events: entries}))
}

// traceFile is the top-level object of the trace-event format.
type traceFile struct {
	Events []any `json:"traceEvents"`
}
