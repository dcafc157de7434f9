package backend

import (
	"errors"
)

var (
	// ErrTruncated means that a stream ended without its last event.
	ErrTruncated = errors.New("backend: stream ended early")
	// ErrMoved means that the engine gave a stream back because it is leaving.
	ErrMoved = errors.New("backend: engine moved the stream away")
	// ErrRefused means that the engine takes no work now.
	ErrRefused = errors.New("backend: engine refused the request")
)

// EventKind tells which kind of message an Event is.
type EventKind int

const (
	// KindToken is one token.
	KindToken EventKind = iota + 1
	// KindDone ends a whole stream.
	KindDone
	// KindMoved gives the stream back for another engine.
	KindMoved
	// KindOther is a message that this version does not know.
	KindOther
)

// Event is one message of a completion stream. Which of its fields are set
// depends on Kind.
type Event struct {
	Kind  EventKind
	Token TokenEvent
	Done  DoneEvent
	Moved MovedEvent
	// Data is the message's encoded form, valid until the next message is
	// read.
	Data []byte
}

// Attempt returns the attempt that the message belongs to.
func (e *Event) Attempt() string {
	switch e.Kind {
	case KindToken:
		return e.Token.Attempt
	case KindDone:
		return e.Done.Attempt
	case KindMoved:
		return e.Moved.Attempt
	}
	return ""
}

// MovedEvent asks to continue a stream at another engine.
type MovedEvent struct {
	Attempt string `json:"attempt"`
}

// Stream is a completion stream from an engine.
type Stream interface {
	// Next reads the next message into e. At the end of a stream that was
	// cut it returns an error that matches ErrTruncated.
	Next(e *Event) error
	// Pending reports whether a whole further message has already arrived.
	Pending() bool
	// Close ends the stream; the engine sees the request cancelled.
	Close()
}
