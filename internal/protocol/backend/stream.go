package backend

import (
	"errors"
)

var (
	// ErrTruncated means that a stream ended before its last event.
	ErrTruncated = errors.New("backend: stream ended early")
	// ErrMoved means that the engine asked to continue the stream at another
	// engine because it is about to leave service.
	ErrMoved = errors.New("backend: engine moved the stream away")
	// ErrRefused means that the engine currently takes no new work.
	ErrRefused = errors.New("backend: engine refused the request")
)

// EventKind is the kind of message that an Event holds.
type EventKind int

const (
	// KindToken is one token.
	KindToken EventKind = iota + 1
	// KindDone is the last message of a complete stream.
	KindDone
	// KindMoved asks to continue the stream at another engine.
	KindMoved
	// KindOther is a message of a kind that this version does not know.
	KindOther
)

// Event is one message of a completion stream. Kind determines which of Token,
// Done and Moved is set.
type Event struct {
	Kind  EventKind
	Token TokenEvent
	Done  DoneEvent
	Moved MovedEvent
	// Data is the encoded message. It is valid until the next message is read.
	Data []byte
}

// Attempt returns the ID of the attempt that the message belongs to, or "" for
// KindOther.
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

// MovedEvent asks to continue the stream at another engine.
type MovedEvent struct {
	Attempt string `json:"attempt"`
}

// Stream is a completion stream from an engine.
type Stream interface {
	// Next reads the next message into e. If the stream ends before its last
	// event, the error matches ErrTruncated.
	Next(e *Event) error
	// Pending reports whether the next message has already arrived completely.
	Pending() bool
	// Close ends the stream and cancels the request at the engine.
	Close()
}
