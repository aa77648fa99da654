package tplog_test

import (
	"bytes"
	"fmt"
	"testing"

	"go.uber.org/goleak"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/internal/frame/tplog"
	"teaselpin.example/teaselpin/pkg/tpring"
)

// blockingWriter is an output whose Write blocks until unblock is closed.
type blockingWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (b *blockingWriter) Write(p []byte) (int, error) {
	<-b.unblock
	return b.Buffer.Write(p)
}

// Guards against a standard output that blocks and thereby delays requests, and
// against lines that are lost without being counted.
func TestBlockedOutputHoldsNothingBack(t *testing.T) {
	defer goleak.VerifyNone(t)
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	defer stopDuties()
	out := &blockingWriter{unblock: make(chan struct{})}
	var rings tpring.Group
	w, stop, err := tplog.NewWriter(tplog.Settings{MaxQueuedLines: 100}, out, duties, &rings)
	if err != nil {
		t.Fatal(err)
	}
	const lines = 10000
	for i := range lines {
		if _, err := fmt.Fprintf(w, "line %d\n", i); err != nil {
			t.Fatal(err)
		}
	}
	close(out.unblock)
	stop()
	written := bytes.Count(out.Bytes(), []byte("\n"))
	if got, want := uint64(written)+w.Dropped(), uint64(lines); got != want {
		t.Errorf("lines written and dropped: got %d, want %d", got, want)
	}
	if w.Dropped() == 0 {
		t.Error("no line was dropped although the output was blocked")
	}
}

// BenchmarkLine measures the time for which one Write blocks the caller.
func BenchmarkLine(b *testing.B) {
	duties, stopDuties := tpduty.NewRunner(tpduty.Settings{})
	defer stopDuties()
	var rings tpring.Group
	w, stop, err := tplog.NewWriter(tplog.Settings{}, &bytes.Buffer{}, duties, &rings)
	if err != nil {
		b.Fatal(err)
	}
	defer stop()
	line := []byte("{\"event\":\"end\",\"request\":\"9c41d07be2a35f68\",\"outcome\":\"finished\",\"tookMs\":120}\n")
	for b.Loop() {
		if _, err := w.Write(line); err != nil {
			b.Fatal(err)
		}
	}
}
