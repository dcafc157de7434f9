package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// Request is a caller's request as far as decisions need it.
type Request struct {
	// ID names the caller's attempt; backend servers echo it.
	ID    string
	Route *route.Route
	// Version is that of the routes in force.
	Version uint64
	Service route.Service
	// Deadline is when the caller gives up or the route's timeout ends.
	Deadline time.Time
	// Prompt is nil for requests that declare none.
	Prompt *placement.Prompt
	// LastEvent is the event after which the caller goes on, or empty.
	LastEvent string
}

// Source is a prefilled prompt that an engine keeps to be fetched once.
type Source struct {
	Engine fleet.Engine
	Handle string
}

// Attempt is one send to one backend server.
type Attempt struct {
	Engine fleet.Engine
	// Remaining is the time that the server may take.
	Remaining time.Duration
	// Priority is the rank among an engine's requests; zero comes first.
	Priority int
	// Source is where the engine fetches the prompt's KV cache, or nil.
	Source *Source
	// FetchFrom is an engine from which this one first fetches what that
	// keeps of the prompt, or nil.
	FetchFrom *fleet.Engine
	// LastEvent is the event after which the stream is to go on, or empty.
	LastEvent string
}

// Answer is a backend server's answer.
type Answer struct {
	// Success is set for an answer that fulfils the request.
	Success bool
	// Events is set if the body is a stream of events.
	Events bool
	Status int
	// Head is what the sender needs to pass the answer on.
	Head any
	// Body must be closed; to close it early ends the server's work.
	Body io.ReadCloser
}

var (
	// ErrNotRun means that the backend server has not run the request and
	// won't.
	ErrNotRun = errors.New("not run")
	// ErrNotSent means that no byte of the request reached a server. It
	// matches ErrNotRun.
	ErrNotSent = fmt.Errorf("not sent: %w", ErrNotRun)
	// ErrNotThere means that no server, or another one, was found at the
	// address. It matches ErrNotRun.
	ErrNotThere = fmt.Errorf("server is not there: %w", ErrNotRun)
)

// Sender sends one caller's request to backend servers.
type Sender interface {
	// Prefill lets an engine read the prompt and returns the handle of its KV
	// cache. Its error matches ErrNotRun if the engine did not accept it.
	Prefill(ctx context.Context, a Attempt) (handle string, err error)
	// Send sends the request. Its error matches ErrNotRun if the server
	// certainly has not run it and won't; any other error leaves that open.
	Send(ctx context.Context, a Attempt) (*Answer, error)
	// Release frees a handle that won't be fetched. It returns at once.
	Release(s Source)
}

// Sink takes the answer to the caller.
type Sink interface {
	// Whole passes on an answer whose body has been read whole.
	Whole(a *Answer, body []byte) error
	// Begin passes on the head of a stream of events.
	Begin(a *Answer) error
	// Events passes on whole events.
	Events(events []byte) error
}

// Result is how an exchange ended.
type Result uint8

const (
	// Delivered means that the caller got a whole answer, good or bad.
	Delivered Result = iota
	// Refused means that nothing ran, nor will.
	Refused
	// Failed means that a server may have run the request.
	Failed
	// Cut means that a begun stream can't be ended.
	Cut
	// Gone means that the caller left.
	Gone
	// TimedOut means that time ran out after a server may have run it.
	TimedOut
)

var resultNames = []string{"delivered", "refused", "failed", "cut", "gone", "timed out"}

// String returns the result's name.
func (r Result) String() string {
	return resultNames[r]
}

// Outcome is how an exchange ended and why.
type Outcome struct {
	Result Result
	// Err is the last failure, if any.
	Err error
	// RetryAfter tells a refused caller when to come back.
	RetryAfter time.Duration
	// Attempts counts sends, and First is the time to the first byte passed on.
	Attempts int
	First    time.Duration
	// LongestGap is the longest pause between two passes of events.
	LongestGap time.Duration
}
