package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait for a slow reader.
	maxQueuedLines = 4096
	// closeTimeout bounds the wait for the queue at the end of a process.
	closeTimeout = 500 * time.Millisecond
)

// BoundedWriter writes lines in the background. While its reader is too slow
// it drops lines rather than make the process wait, and tells how many.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBoundedWriter returns a writer to out. Close ends it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer; it takes one line and never blocks.
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

// Close writes what is queued, for a bounded time. No line may follow.
func (w *BoundedWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *BoundedWriter) run() {
	defer close(w.done)
	reported := int64(0)
	for line := range w.lines {
		if dropped := w.dropped.Load(); dropped > reported {
			_, _ = fmt.Fprintf(w.out, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"dropped\":%d}\n", dropped-reported)
			reported = dropped
		}
		// There is nowhere to report that a line can't be written.
		_, _ = w.out.Write(line)
	}
}
