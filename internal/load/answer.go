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
	errCut = errors.New("load: stream ended early")
	// errWrong means that a stream's content breaks the API's promise.
	errWrong = errors.New("load: stream is not the request's own whole answer")
)

// maxLine bounds one line of a stream, in bytes.
const maxLine = 1 << 20

// answer collects a stream over several tries and checks it.
type answer struct {
	prompt string
	verify bool
	// next is the offset of the next token.
	next   int
	digest *backend.Digest
	done   bool
	last   time.Time
}

func newAnswer(prompt string, verify bool) *answer {
	return &answer{prompt: prompt, verify: verify, digest: backend.NewDigest()}
}

// read reads one try's stream to its end and calls token for each token with
// the time since the one before.
func (a *answer) read(body io.Reader, token func(gap time.Duration)) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLine)
	kind := ""
	for scanner.Scan() {
		field, value, _ := strings.Cut(scanner.Text(), ": ")
		switch field {
		case "event":
			kind = value
		case "data":
			if err := a.event(kind, value, token); err != nil || a.done {
				return err
			}
		}
	}
	return errors.Join(errCut, scanner.Err())
}

func (a *answer) event(kind, data string, token func(gap time.Duration)) error {
	switch kind {
	case backend.EventToken:
		return a.token(data, token)
	case backend.EventDone:
		return a.finish(data)
	}
	return fmt.Errorf("%w: event %q: %s", errCut, kind, data)
}

func (a *answer) token(data string, token func(gap time.Duration)) error {
	var event backend.TokenEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("%w: decode token: %w", errWrong, err)
	}
	if event.Offset != a.next {
		return fmt.Errorf("%w: offset %d where %d was due", errWrong, event.Offset, a.next)
	}
	if a.verify && event.Text != fakeengine.Token(a.prompt, event.Offset) {
		return fmt.Errorf("%w: token %d belongs to another request", errWrong, event.Offset)
	}
	a.next++
	a.digest.Add(event.Text)
	now := time.Now()
	token(now.Sub(a.last))
	a.last = now
	return nil
}

func (a *answer) finish(data string) error {
	var event backend.DoneEvent
	if err := json.Unmarshal([]byte(data), &event); err != nil {
		return fmt.Errorf("%w: decode last event: %w", errWrong, err)
	}
	if event.Tokens != a.next {
		return fmt.Errorf("%w: %d tokens came of %d", errWrong, a.next, event.Tokens)
	}
	if event.Digest != a.digest.Hex() {
		return fmt.Errorf("%w: digest differs", errWrong)
	}
	a.done = true
	return nil
}

// kind judges a try that ended with err.
func (a *answer) kind(err error, tokens int) Kind {
	switch {
	case errors.Is(err, errWrong):
		return Wrong
	case err != nil:
		return Cut
	case a.next != tokens:
		return Wrong
	}
	return Whole
}
