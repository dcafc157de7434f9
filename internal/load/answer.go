package load

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

var (
	// errCut means that a stream ended without its last event.
	errTruncated = errors.New("load: stream ended early")
	// errWrong means that a stream's content breaks the API's promise.
	errInvalid = errors.New("load: stream is not the request's own whole answer")
)

// maxLine bounds one line of a stream, in bytes.
const maxLineBytes = 1 << 20

// answer collects a stream over several tries and checks it.
type streamReader struct {
	prompt string
	verify bool
	// next is the offset of the next token.
	nextOffset  int
	digest      *backend.Digest
	done        bool
	lastTokenAt time.Time
}

func newStreamReader(prompt string, verify bool) *streamReader {
	return &streamReader{prompt: prompt, verify: verify, digest: backend.NewDigest()}
}

// read reads one try's stream to its end and calls token for each token with
// the time since the one before.
func (a *streamReader) read(body io.Reader, token func(gap time.Duration)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	kind := ""
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ": ")
		switch field {
		case "event":
			kind = value
		case "data":
			if err := a.handleEvent(kind, value, token); err != nil || a.done {
				return err
			}
		}
	}
	return errors.Join(errTruncated, scanner.Err())
}

func (a *streamReader) handleEvent(kind, data string, token func(gap time.Duration)) error {
	switch kind {
	case backend.EventToken:
		return a.handleToken(data, token)
	case backend.EventDone:
		return a.handleDone(data)
	}
	return fmt.Errorf("%w: event %q: %s", errTruncated, kind, data)
}

func (a *streamReader) handleToken(data string, token func(gap time.Duration)) error {
	var event backend.TokenEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("%w: decode token: %w", errInvalid, err)
	}
	if event.Offset != a.nextOffset {
		return fmt.Errorf("%w: offset %d where %d was due", errInvalid, event.Offset, a.nextOffset)
	}
	if a.verify && event.Text != fakeengine.Token(a.prompt, event.Offset) {
		return fmt.Errorf("%w: token %d belongs to another request", errInvalid, event.Offset)
	}
	a.nextOffset++
	a.digest.Add(event.Text)
	now := time.Now()
	token(now.Sub(a.lastTokenAt))
	a.lastTokenAt = now
	return nil
}

func (a *streamReader) handleDone(data string) error {
	var event backend.DoneEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("%w: decode last event: %w", errInvalid, err)
	}
	if event.Tokens != a.nextOffset {
		return fmt.Errorf("%w: %d tokens came of %d", errInvalid, a.nextOffset, event.Tokens)
	}
	if event.Digest != a.digest.Hex() {
		return fmt.Errorf("%w: digest differs", errInvalid)
	}
	a.done = true
	return nil
}

// kind judges a try that ended with err.
func (a *streamReader) outcome(err error, tokens int) Outcome {
	switch {
	case errors.Is(err, errInvalid):
		return Invalid
	case err != nil:
		return Truncated
	case a.nextOffset != tokens:
		return Invalid
	}
	return Complete
}
