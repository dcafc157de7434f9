package callerhttp

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
)

const (
	// maxBodyBytes bounds a request's body, in bytes.
	maxBodyBytes = 4 << 20
	// maxTotalBodyBytes bounds the bodies of all requests in progress, in bytes.
	maxTotalBodyBytes = 256 << 20
	// bodyTimeout bounds the time to read a request's body.
	bodyTimeout = 30 * time.Second
)

// errBodyLimit means that the bodies of other requests take all the room.
var errBodyLimit = errors.New("callerhttp: no room for the body")

// bodyLimiter counts the bytes of bodyLimiter that are held. What counts is what was
// read, so callers that promise much and send little take no room.
type bodyLimiter struct {
	held  atomic.Int64
	limit int64
}

// countingReader is a body that is counted while it is read.
type countingReader struct {
	io.Reader
	bodies  *bodyLimiter
	counted int64
}

// Read implements io.Reader.
func (m *countingReader) Read(p []byte) (int, error) {
	n, err := m.Reader.Read(p)
	m.counted += int64(n)
	if m.bodies.held.Add(int64(n)) > m.bodies.limit {
		return n, errBodyLimit
	}
	return n, err
}

func (m *countingReader) release() {
	m.bodies.held.Add(-m.counted)
}

// read reads a request's body, bounded in size and time. The caller calls
// release when it is done with it. Reading it to its end lets net/http notice
// a caller that goes away.
func (b *bodyLimiter) read(w http.ResponseWriter, r *http.Request, executed refusal.Executed) (content []byte, release func(), err error) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body := &countingReader{Reader: http.MaxBytesReader(w, r.Body, maxBodyBytes), bodies: b}
	content, err = io.ReadAll(body)
	if err != nil {
		body.release()
		return nil, nil, bodyRefusal(r, executed, err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return content, body.release, nil
}

func bodyRefusal(r *http.Request, executed refusal.Executed, err error) error {
	if errors.Is(err, errBodyLimit) {
		return &refusal.Error{Kind: refusal.Overloaded, Executed: executed, Detail: "too many large requests in progress", RetryAfter: time.Second, Cause: err}
	}
	refused := invalid("read body: "+err.Error(), executed)
	refused.Cause = fmt.Errorf("from %s: %w", r.RemoteAddr, err)
	return refused
}
