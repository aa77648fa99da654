package tplog

import (
	"bufio"
	"errors"
	"io"
	"sync/atomic"

	"teaselpin.example/teaselpin/internal/frame/tpduty"
	"teaselpin.example/teaselpin/pkg/tpring"
)

const (
	// DefaultMaxQueuedLines is the maximum number of lines that wait for the
	// output. At 20 lines per request and 400 requests per second, these are
	// the lines of half a second.
	DefaultMaxQueuedLines = 4096
	// writeBufferBytes is the size of the buffer that combines lines into one
	// write to the output.
	writeBufferBytes = 32 << 10
)

// Settings configures a Writer. The zero value is the default.
type Settings struct {
	// MaxQueuedLines is the maximum number of lines that wait for the output;
	// zero means DefaultMaxQueuedLines.
	MaxQueuedLines int
}

// Writer passes whole lines to a duty that writes them to the output. If the
// ring is full, the line is counted and discarded.
type Writer struct {
	lines   *tpring.Ring[[]byte]
	failed  atomic.Uint64
	dropped atomic.Uint64
}

// NewWriter starts the duty that writes to out. The clean-up function writes
// the waiting lines and ends the duty. NewWriter returns an error if r cannot
// start the duty.
func NewWriter(cfg Settings, out io.Writer, r *tpduty.Runner, rings *tpring.Group) (*Writer, func(), error) {
	if cfg.MaxQueuedLines <= 0 {
		cfg.MaxQueuedLines = DefaultMaxQueuedLines
	}
	w := &Writer{lines: tpring.New[[]byte](tpring.Settings{Capacity: cfg.MaxQueuedLines})}
	rings.Add("log", w.lines)
	wait, err := r.Go("log", func() { w.writeLines(out) })
	if err != nil {
		return nil, nil, err
	}
	return w, func() {
		w.lines.Close()
		wait()
	}, nil
}

// Write implements io.Writer. Line must be one whole line. Write never blocks
// and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if err := w.lines.TryPut(append([]byte(nil), line...)); err != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were discarded because the ring was
// full or closed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Failed returns the number of failed writes and flushes.
func (w *Writer) Failed() uint64 { return w.failed.Load() }

// writeLines is the duty. It combines the waiting lines into large writes and
// flushes them when no line waits.
func (w *Writer) writeLines(out io.Writer) {
	buf := bufio.NewWriterSize(out, writeBufferBytes)
	for {
		line, err := w.lines.Take()
		for err == nil {
			w.writeLine(buf, line)
			line, err = w.lines.TryTake()
		}
		if flushErr := buf.Flush(); flushErr != nil {
			w.failed.Add(1)
			buf.Reset(out)
		}
		if errors.Is(err, tpring.ErrClosed) {
			return
		}
	}
}

func (w *Writer) writeLine(buf *bufio.Writer, line []byte) {
	if _, err := buf.Write(line); err != nil {
		w.failed.Add(1)
	}
}
