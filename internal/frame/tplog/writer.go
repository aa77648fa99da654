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
	// DefaultLines is the number of lines that wait for the output. At 20 lines
	// for a request and 400 requests a second it holds half a second.
	DefaultLines = 4096
	// bufferBytes is what one write to the output takes.
	bufferBytes = 32 << 10
)

// Settings configures a Writer. The zero value is the default.
type Settings struct {
	Lines int // that wait for the output
}

// Writer passes whole lines to a duty that writes them. A line that finds the
// ring full is counted and discarded.
type Writer struct {
	lines   *tpring.Ring[[]byte]
	failed  atomic.Uint64
	dropped atomic.Uint64
}

// NewWriter starts the duty. The clean-up function writes what is waiting.
func NewWriter(cfg Settings, out io.Writer, r *tpduty.Runner, rings *tpring.Group) (*Writer, func(), error) {
	if cfg.Lines <= 0 {
		cfg.Lines = DefaultLines
	}
	w := &Writer{lines: tpring.New[[]byte](tpring.Settings{Capacity: cfg.Lines})}
	rings.Add("log", w.lines)
	wait, err := r.Go("log", func() { w.run(out) })
	if err != nil {
		return nil, nil, err
	}
	return w, func() {
		w.lines.Close()
		wait()
	}, nil
}

// Write implements io.Writer for one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	if err := w.lines.TryPut(append([]byte(nil), line...)); err != nil {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were discarded.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// Failed returns the number of writes that the output refused.
func (w *Writer) Failed() uint64 { return w.failed.Load() }

// run writes the lines that wait together in one write.
func (w *Writer) run(out io.Writer) {
	buf := bufio.NewWriterSize(out, bufferBytes)
	for {
		line, err := w.lines.Take()
		for err == nil {
			w.write(buf, line)
			line, err = w.lines.TryTake()
		}
		if ferr := buf.Flush(); ferr != nil {
			w.failed.Add(1)
			buf.Reset(out)
		}
		if errors.Is(err, tpring.ErrClosed) {
			return
		}
	}
}

func (w *Writer) write(buf *bufio.Writer, line []byte) {
	if _, err := buf.Write(line); err != nil {
		w.failed.Add(1)
	}
}
