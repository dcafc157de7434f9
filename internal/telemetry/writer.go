package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the maximum number of lines that wait to be written.
	maxQueuedLines = 4096
	// closeTimeout is the maximum time that Close waits for queued lines to be
	// written.
	closeTimeout = 500 * time.Millisecond
)

// BoundedWriter writes log lines in the background. If the output is too slow, it
// drops lines instead of blocking the process, and writes a line with the number
// of dropped lines.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBoundedWriter returns a writer to out and starts its goroutine. Close stops
// it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It queues or drops one line and never blocks or
// fails.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (w *BoundedWriter) Dropped() int64 {
	return w.dropped.Load()
}

// Close writes the queued lines, for at most closeTimeout. Write must not be called
// afterwards.
func (w *BoundedWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// run writes the queued lines until Close.
func (w *BoundedWriter) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"dropped\":%d}\n", dropped-reported)
			reported = dropped
		}
		// An error is ignored: there is nowhere else to report it.
		_, _ = w.out.Write(line)
	}
}
