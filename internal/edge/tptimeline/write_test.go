package tptimeline_test

import (
	"bytes"
	"encoding/json"
	"image/png"
	"os"
	"testing"

	"teaselpin.example/teaselpin/internal/edge/tptimeline"
	"teaselpin.example/teaselpin/pkg/tpmessage"
)

func events() []tpmessage.Event {
	at := func(wall int64) tpmessage.HybridTime { return tpmessage.HybridTime{Wall: wall * 1e6} }
	return []tpmessage.Event{
		{Time: at(1), Process: "node-0", Sequence: 1, Kind: "arrive", Request: "r"},
		{Time: at(2), Process: "node-0", Sequence: 2, Kind: "send", Request: "r", Target: "engine-1"},
		{Time: at(9), Process: "node-1", Sequence: 1, Kind: "configurationInForce", Generation: 4},
	}
}

func ExampleWrite() {
	_ = tptimeline.Write(os.Stdout, tptimeline.FormatText, events())
	// Output:
	// 00:00:00.001000+0 node-0       arrive               request=r
	// 00:00:00.002000+0 node-0       send                 request=r target=engine-1
	// 00:00:00.009000+0 node-1       configurationInForce generation=4
}

// Guards against an output that viewers of its format cannot open.
func TestWriteFormats(t *testing.T) {
	var jsonl, trace, picture bytes.Buffer
	for format, w := range map[tptimeline.Format]*bytes.Buffer{
		tptimeline.FormatJSONLines: &jsonl, tptimeline.FormatTrace: &trace, tptimeline.FormatPNG: &picture,
	} {
		if err := tptimeline.Write(w, format, events()); err != nil {
			t.Fatalf("%s: %v", format, err)
		}
	}
	if got, want := bytes.Count(jsonl.Bytes(), []byte("\n")), 3; got != want {
		t.Errorf("JSON lines: got %d, want %d", got, want)
	}
	var file struct {
		TraceEvents []struct {
			Phase string  `json:"ph"`
			TS    float64 `json:"ts"`
		} `json:"traceEvents"`
	}
	if err := json.Unmarshal(trace.Bytes(), &file); err != nil {
		t.Fatal(err)
	}
	if got, want := len(file.TraceEvents), 5; got != want {
		t.Errorf("trace entries: got %d, want %d (3 events, 2 process names)", got, want)
	}
	if _, err := png.Decode(&picture); err != nil {
		t.Errorf("picture: %v", err)
	}
	if err := tptimeline.Write(&picture, "gif", nil); err == nil {
		t.Error("unknown format: got no error, want one")
	}
}
