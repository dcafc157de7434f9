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
	// errTruncated reports a stream that ended without its done event.
	errTruncated = errors.New("load: stream ended before its done event")
	// errInvalid reports a stream whose content is not the complete answer to
	// its request: tokens are missing, repeated or of another request, or the
	// count or digest does not match.
	errInvalid = errors.New("load: stream content does not match the request")
)

// maxLineBytes is the maximum length of one line of an event stream.
const maxLineBytes = 1 << 20

// streamReader reads and verifies the event stream of one completion, across
// the attempts that resume it.
type streamReader struct {
	prompt string
	verify bool
	// nextOffset is the offset expected of the next token.
	nextOffset  int
	digest      *backend.Digest
	done        bool
	lastTokenAt time.Time
}

func newStreamReader(prompt string, verify bool) *streamReader {
	return &streamReader{prompt: prompt, verify: verify, digest: backend.NewDigest()}
}

// read reads the stream of one attempt to its end. It calls token for each
// token with the time since the previous one.
func (r *streamReader) read(body io.Reader, token func(gap time.Duration)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	kind := ""
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ": ")
		switch field {
		case "event":
			kind = value
		case "data":
			if err := r.handleEvent(kind, value, token); err != nil || r.done {
				return err
			}
		}
	}
	return errors.Join(errTruncated, scanner.Err())
}

func (r *streamReader) handleEvent(kind, data string, token func(gap time.Duration)) error {
	switch kind {
	case backend.EventToken:
		return r.handleToken(data, token)
	case backend.EventDone:
		return r.handleDone(data)
	}
	return fmt.Errorf("%w: event %q: %s", errTruncated, kind, data)
}

func (r *streamReader) handleToken(data string, token func(gap time.Duration)) error {
	var event backend.TokenEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("%w: decode token event: %w", errInvalid, err)
	}
	if event.Offset != r.nextOffset {
		return fmt.Errorf("%w: got token offset %d, want %d", errInvalid, event.Offset, r.nextOffset)
	}
	if r.verify && event.Text != fakeengine.Token(r.prompt, event.Offset) {
		return fmt.Errorf("%w: text of token %d is not that of this prompt", errInvalid, event.Offset)
	}
	r.nextOffset++
	r.digest.Add(event.Text)
	now := time.Now()
	token(now.Sub(r.lastTokenAt))
	r.lastTokenAt = now
	return nil
}

func (r *streamReader) handleDone(data string) error {
	var event backend.DoneEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("%w: decode done event: %w", errInvalid, err)
	}
	if event.Tokens != r.nextOffset {
		return fmt.Errorf("%w: received %d tokens, done event says %d", errInvalid, r.nextOffset, event.Tokens)
	}
	if event.Digest != r.digest.Hex() {
		return fmt.Errorf("%w: digest of the received tokens differs from the done event", errInvalid)
	}
	r.done = true
	return nil
}

// outcome classifies an attempt whose read returned err; tokens is the number
// of tokens requested.
func (r *streamReader) outcome(err error, tokens int) Outcome {
	switch {
	case errors.Is(err, errInvalid):
		return Invalid
	case err != nil:
		return Truncated
	case r.nextOffset != tokens:
		return Invalid
	}
	return Complete
}
