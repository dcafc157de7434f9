package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// blockedWriter blocks writes until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return w.Buffer.Write(p)
}

func TestSlowReaderDropsLinesWithoutBlocking(t *testing.T) {
	out := &blockedWriter{unblock: make(chan struct{})}
	w := NewBoundedWriter(out)
	start := time.Now()
	for i := range maxQueuedLines + 100 {
		_, _ = fmt.Fprintf(w, "line %d\n", i)
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("writing with a blocked output took %v, want at most 1s", took)
	}
	if w.Dropped() < 99 {
		t.Errorf("%d lines dropped, want at least 99", w.Dropped())
	}
	close(out.unblock)
	w.Close()
	if text := out.String(); !strings.Contains(text, "line 0\n") || !strings.Contains(text, "log lines dropped") {
		t.Errorf("output lacks the first line or the report of dropped lines")
	}
}
