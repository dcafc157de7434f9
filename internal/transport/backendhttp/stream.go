package backendhttp

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

const (
	// maxLineBytes limits one line of a stream.
	maxLineBytes = 64 << 10
	// readBufferBytes is the size of each stream's read buffer.
	readBufferBytes = 2 << 10
)

// errLineTooLong means that an engine sent a line longer than maxLineBytes.
var errLineTooLong = errors.New("backendhttp: line of the event stream exceeds the size limit")

var (
	fieldEvent = []byte("event: ")
	fieldData  = []byte("data: ")
	eventEnd   = []byte("\n\n")
)

// stream is a completion stream in server-sent events.
type stream struct {
	url    string
	body   io.ReadCloser
	reader *bufio.Reader
	// done is true once the last message of a complete answer was read.
	done bool
}

func newStream(url string, body io.ReadCloser) *stream {
	return &stream{url: url, body: body, reader: bufio.NewReaderSize(body, readBufferBytes)}
}

// Next implements backend.Stream.
func (s *stream) Next(e *backend.Event) error {
	e.Kind = backend.KindOther
	for {
		line, err := s.line()
		if err != nil {
			return fmt.Errorf("read stream of %s: %w", s.url, errors.Join(backend.ErrTruncated, err))
		}
		line = bytes.TrimSuffix(line, eventEnd[:1])
		if kind, ok := bytes.CutPrefix(line, fieldEvent); ok {
			e.Kind = kindOf(kind)
		} else if data, ok := bytes.CutPrefix(line, fieldData); ok {
			return s.decode(e, data)
		}
	}
}

// line returns the next line, which is valid until the next read.
func (s *stream) line() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxLineBytes {
			return nil, errLineTooLong
		}
		line, err = s.reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}

func kindOf(name []byte) backend.EventKind {
	switch string(name) {
	case backend.EventToken:
		return backend.KindToken
	case backend.EventDone:
		return backend.KindDone
	case backend.EventMoved:
		return backend.KindMoved
	}
	return backend.KindOther
}

func (s *stream) decode(e *backend.Event, data []byte) error {
	e.Data = data
	var err error
	switch e.Kind {
	case backend.KindToken:
		err = decodeToken(data, &e.Token)
	case backend.KindDone:
		s.done = true
		err = json.Unmarshal(data, &e.Done)
	case backend.KindMoved:
		err = json.Unmarshal(data, &e.Moved)
	}
	if err != nil {
		return fmt.Errorf("decode event of %s: %w", s.url, err)
	}
	return nil
}

// Pending implements backend.Stream.
func (s *stream) Pending() bool {
	buffered, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.Contains(bytes.TrimPrefix(buffered, eventEnd[:1]), eventEnd)
}

// Close implements backend.Stream. If the answer is complete, it reads to the end
// of the stream, so that the connection can be reused.
func (s *stream) Close() {
	if s.done {
		_, _ = io.CopyN(io.Discard, s.reader, maxLineBytes)
	}
	_ = s.body.Close()
}
