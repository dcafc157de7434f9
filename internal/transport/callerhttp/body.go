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
	// maxBodyBytes limits the size of one request body.
	maxBodyBytes = 4 << 20
	// maxTotalBodyBytes limits the total size of the bodies of all requests in
	// progress.
	maxTotalBodyBytes = 256 << 20
	// bodyTimeout limits the time for reading one request body.
	bodyTimeout = 30 * time.Second
)

// errBodyLimit means that the total size of request bodies in memory exceeds
// the limit.
var errBodyLimit = errors.New("callerhttp: request bodies in memory exceed the limit")

// bodyLimiter limits the memory for the bodies of requests in progress. It
// counts the bytes read, not the declared Content-Length, so a caller that
// declares a large body and sends little does not use up the limit.
type bodyLimiter struct {
	// held is the number of bytes read and not yet released.
	held  atomic.Int64
	limit int64
}

// countingReader reads a body and counts its bytes towards the limit.
type countingReader struct {
	io.Reader
	bodies *bodyLimiter
	// counted is the number of bytes to release.
	counted int64
}

// Read implements io.Reader. It fails with errBodyLimit if the limit is
// exceeded.
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

// read reads a request's whole body within the limits of size and time. The
// caller must call release when it no longer needs the content. net/http detects
// a caller's disconnect only after the body has been read to its end. executed
// is stated in the refusal if reading fails.
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

// bodyRefusal returns the refusal for an error of reading a body.
func bodyRefusal(r *http.Request, executed refusal.Executed, err error) error {
	if errors.Is(err, errBodyLimit) {
		return &refusal.Error{Kind: refusal.Overloaded, Executed: executed, Detail: "too many large requests in progress", RetryAfter: time.Second, Cause: err}
	}
	refused := invalid("read body: "+err.Error(), executed)
	refused.Cause = fmt.Errorf("from %s: %w", r.RemoteAddr, err)
	return refused
}
