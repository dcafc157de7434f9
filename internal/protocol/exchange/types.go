package exchange

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/quarantine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// Request holds what forwarding decisions need to know of a caller's request.
type Request struct {
	// ID identifies the request; backend servers echo it.
	ID    string
	Route *route.Route
	// Version is the version of the routing table that Route comes from.
	Version uint64
	Service route.Service
	// Workspace is the name of the caller's workspace, or empty.
	Workspace string
	// WorkspacePriority, if it is not nil, replaces the priority of the route.
	WorkspacePriority *int
	// FixedScores is set if placement is to follow fixed scores although costs are learned.
	FixedScores bool
	// Deadline is the earlier of the caller's deadline and the route's
	// timeout.
	Deadline time.Time
	// Prompt is nil for requests that declare none.
	Prompt *placement.Prompt
	// LastEventID is the ID of the last event that the caller has already
	// received, or empty.
	LastEventID string
	// Resumes is the ID of the caller's request whose response had the stream's first
	// event. It is empty for a new stream, or if the caller doesn't say.
	Resumes string
	// Forwarded is set if another entry has handed the request over. It doesn't wait here for
	// servers that are all gone: they are for the other entry too.
	Forwarded bool
	// Counted is set if another entry has counted the request for the retry budget.
	Counted bool
	// Fingerprint returns what a repeat of the request has in common with it. It is
	// called only after a server has failed. It is nil if there is none.
	Fingerprint func() quarantine.Fingerprint
	// MayBegin reports whether there is still time to run the request. It is called
	// right before each server gets it while none can have run it. It is nil if there
	// always is.
	MayBegin func() bool
}

// priority returns the request's rank; zero is the highest.
func (r *Request) priority() int {
	if r.WorkspacePriority != nil {
		return *r.WorkspacePriority
	}
	return r.Route.Priority
}

// streamName returns the name under which Origins know the stream of a caller's request, or
// "" for "". It includes the workspace, so that no other one can take the stream up. Neither
// a workspace nor a request ID contains the byte between them.
func (r *Request) streamName(request string) string {
	if request == "" || r.Workspace == "" {
		return request
	}
	return r.Workspace + "\x00" + request
}

// KVSource locates the KV cache of a prefilled prompt. The engine keeps it until
// it is fetched once or released.
type KVSource struct {
	Engine fleet.Engine
	Handle string
	// hold counts the KV cache as the engine's load, or is nil.
	hold *kvHold
}

// Attempt is one send to one backend server.
type Attempt struct {
	Engine fleet.Engine
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Priority orders the requests within an engine; zero is the most urgent.
	Priority int
	// KVSource is where a decode engine fetches the prompt's KV cache; nil if
	// it prefills the prompt itself.
	KVSource *KVSource
	// FetchFrom is the engine from which a prefill engine first fetches the
	// KV cache of the prompt's shared prefix, or nil.
	FetchFrom *fleet.Engine
	// LastEventID is the ID of the event after which the stream resumes, or
	// empty.
	LastEventID string
	// placedAt is when the engine was chosen.
	placedAt time.Time
	// waiter is the record of the attempt while it is in progress, or nil.
	waiter *waiter
}

// Response is what a backend server returned for an attempt.
type Response struct {
	// Success is true if the server fulfilled the request.
	Success bool
	// EventStream is true if the body is a stream of server-sent events.
	EventStream bool
	// UntilClose is true if neither a length nor chunks frame the body, so that
	// only the close of the connection ends it.
	UntilClose bool
	// ServerEnded reports whether nothing listens at the server's address any more, or in a
	// moment. It is called after the end of a body of a response with UntilClose, and takes no
	// longer than a connection attempt. If it is nil, that isn't known.
	ServerEnded func(ctx context.Context) bool
	Status      int
	// Header holds the headers in the Sender's own type; only the Sink reads
	// it.
	Header any
	// Body must be closed. Closing it early cancels the server's work.
	Body io.ReadCloser
}

var (
	// ErrNotRun means that the backend server has not run the request and
	// will not run it.
	ErrNotRun = errors.New("not run")
	// ErrNotSent means that no byte of the request reached a server. It
	// matches ErrNotRun.
	ErrNotSent = fmt.Errorf("not sent: %w", ErrNotRun)
	// ErrFull means that the server had no room for the request. It matches ErrNotRun.
	ErrFull = fmt.Errorf("server is full: %w", ErrNotRun)
	// ErrServerNotFound means that no server, or a different one, listens at the
	// address. It matches ErrNotRun.
	ErrServerNotFound = fmt.Errorf("server not found at its address: %w", ErrNotRun)
	// ErrUnusable means that the server has begun the request, but its response is none for
	// the caller.
	ErrUnusable = errors.New("unusable response")
	// ErrOriginUnknown means that a caller takes up a stream of which the software
	// version that began it isn't known.
	ErrOriginUnknown = errors.New("the version that began the stream is unknown")
	// ErrOverloaded means that the engines can't begin the request before its caller
	// leaves.
	ErrOverloaded = errors.New("the engines are overloaded")
	// ErrNoMemory means that no engine has room for the request in its KV cache. It matches
	// ErrOverloaded.
	ErrNoMemory = fmt.Errorf("%w: none has room in its KV cache", ErrOverloaded)
	// ErrStopping means that this entry stops before the request could be completed.
	ErrStopping = errors.New("the entry stops before the request could be completed")
	// ErrVersionGone means that no server of the software version that began the
	// stream takes the rest of it.
	ErrVersionGone = fmt.Errorf("%w: none of the version that began the stream", errNoServer)
)

// Sender sends one caller's request to backend servers.
type Sender interface {
	// Prefill has an engine compute the prompt's KV cache and returns its
	// handle. The error matches ErrNotRun if the engine did not accept the
	// request.
	Prefill(ctx context.Context, a Attempt) (handle string, err error)
	// Send sends the request. The error matches ErrNotRun only if the server
	// certainly has not run the request and will not run it.
	Send(ctx context.Context, a Attempt) (*Response, error)
	// Ended reports whether nothing listens at a server's address any more. It
	// takes no longer than a connection attempt.
	Ended(ctx context.Context, e fleet.Engine) bool
	// Reach connects to a server and sends nothing. The error matches
	// ErrServerNotFound if nothing listens at its address. It may be called beside
	// other calls and after the end of the request.
	Reach(ctx context.Context, e fleet.Engine) error
	// Release frees a KV cache that will not be fetched. It does not block.
	Release(s KVSource)
}

// Origins knows which software version of a service began each stream.
type Origins interface {
	// Began records that a server of the version began the stream of a caller's
	// request, by the stream's name. It is called before the caller gets the first event. It does not
	// block.
	Began(service, request, version string)
	// Find returns the version that began the stream of an earlier request, by the
	// stream's name. found is false if that can't be known. request is empty if the
	// caller doesn't name it.
	// It takes at most a round trip to a control replica and ends with ctx.
	Find(ctx context.Context, service, request string) (version string, found bool)
}

// Usage counts the requests of workspaces that servers began.
type Usage interface {
	// Began counts a request that a server has just begun: its first event has arrived, or
	// the headers of a response that is no stream of events. It is called once for each
	// request, whatever is retried. It does not block.
	Began(workspace string)
}

// Sink writes to the caller.
type Sink interface {
	// WriteResponse writes a response whose body has been read completely.
	WriteResponse(a *Response, body []byte) error
	// BeginStream writes the status and headers of an event stream.
	BeginStream(a *Response) error
	// WriteEvents writes one or more complete events.
	WriteEvents(events []byte) error
}

// Result is how an exchange ended.
type Result uint8

const (
	// Delivered means that the caller received a complete response, which may
	// be a backend server's error response.
	Delivered Result = iota
	// Refused means that no server has run the request or will run it.
	Refused
	// Failed means that a server may have run the request.
	Failed
	// Truncated means that a stream has begun and could not be completed.
	Truncated
	// CallerGone means that the caller disconnected.
	CallerGone
	// TimedOut means that the deadline passed after a server may have run the
	// request.
	TimedOut
)

var resultNames = []string{"delivered", "refused", "failed", "cut", "gone", "timed out"}

// String returns the result's name.
func (r Result) String() string {
	return resultNames[r]
}

// Outcome describes how an exchange ended and why.
type Outcome struct {
	Result Result
	// Err is the last failure, if any.
	Err error
	// RetryAfter is how long a refused caller should wait before it tries
	// again.
	RetryAfter time.Duration
	// Attempts counts sends, prefill calls not included.
	Attempts int
	// TimeToFirstByte is the time from the start of the exchange to the first byte of
	// the body that was written to the caller.
	TimeToFirstByte time.Duration
	// PredictedFirst is the prediction of TimeToFirstByte at the first choice of a server,
	// or zero.
	PredictedFirst time.Duration
	// Events counts the events that were written to the caller.
	Events int
	// LongestGap is the longest time between two writes of events to the
	// caller.
	LongestGap time.Duration
}
