package callerhttp

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

// deadlineRefreshInterval is the minimum time between two updates of the write
// deadline. Setting the deadline for each token would cost too much.
const deadlineRefreshInterval = time.Second

// sink writes an answer to a caller as server-sent events. It implements
// request.Sink and is not safe for concurrent use.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	// started is true once an event has been written, after which the status
	// can't be changed.
	started bool
	// deadline is the current write deadline.
	deadline time.Time
	// buffer is reused to encode events.
	buffer []byte
}

func newSink(w http.ResponseWriter) *sink {
	return &sink{w: w, control: http.NewResponseController(w)}
}

// Token implements request.Sink. It passes on the engine's encoding of the token
// unchanged.
func (s *sink) Token(e *backend.Event) error {
	return s.write(backend.EventToken, e.Token.Offset, e.Data)
}

// Done implements request.Sink.
func (s *sink) Done(d backend.DoneEvent) error {
	encoded, err := json.Marshal(d)
	if err != nil {
		return fmt.Errorf("encode last event: %w", err)
	}
	if err := s.write(backend.EventDone, d.Tokens, encoded); err != nil {
		return err
	}
	return s.Flush()
}

// Flush implements request.Sink.
func (s *sink) Flush() error {
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flush: %w", err)
	}
	return nil
}

// write writes one event and extends the write deadline. It does not flush.
func (s *sink) write(kind string, id int, data []byte) error {
	s.setHeaders()
	s.extendDeadline()
	b := append(s.buffer[:0], "id: "...)
	b = strconv.AppendInt(b, int64(id), 10)
	b = append(b, "\nevent: "...)
	b = append(b, kind...)
	b = append(b, "\ndata: "...)
	b = append(b, data...)
	b = append(b, "\n\n"...)
	s.buffer = b
	if _, err := s.w.Write(b); err != nil {
		return fmt.Errorf("write %s event: %w", kind, err)
	}
	return nil
}

// setHeaders sets the response headers before the first event.
func (s *sink) setHeaders() {
	if s.started {
		return
	}
	s.started = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-store")
}

// extendDeadline sets the write deadline to writeTimeout from now, unless it was
// set within the last deadlineRefreshInterval.
func (s *sink) extendDeadline() {
	now := time.Now()
	if s.deadline.Sub(now) > writeTimeout-deadlineRefreshInterval {
		return
	}
	s.deadline = now.Add(writeTimeout)
	_ = s.control.SetWriteDeadline(s.deadline)
}

// fail ends an incomplete answer: with problem details if nothing was written
// yet, else with an error event, which shows the caller that the answer is
// truncated. An error that is no refusal, such as a failed write, aborts the
// connection once the answer has begun: it must not look complete.
func (s *sink) fail(err error) {
	if !s.started {
		refuse(s.w, err)
		return
	}
	var refused *refusal.Error
	if !errors.As(err, &refused) {
		panic(http.ErrAbortHandler)
	}
	encoded, err := json.Marshal(newProblem(refused))
	if err != nil {
		return
	}
	s.extendDeadline()
	if _, err := fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", backend.EventError, encoded); err == nil {
		_ = s.Flush()
	}
}
