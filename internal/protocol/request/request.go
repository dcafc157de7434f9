// Package request runs completion requests: it chooses an engine, resumes a
// broken stream at another engine and verifies the answer.
package request

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// bytesPerToken is the mean length of a token of prompt text.
const bytesPerToken = 4

// Call is a caller's completion request.
type Call struct {
	Labels
	Prompt    string
	MaxTokens int
	// ResumeFrom is the offset of the first token that the caller wants. It is
	// above zero if the caller resumes a stream.
	ResumeFrom int
}

// Labels identify the team, the request class and the customer of a request.
type Labels struct {
	Team     string
	Class    string
	Customer string
}

// Sink writes the answer to the caller. An error ends the request.
type Sink interface {
	// Token writes the next token, possibly to a buffer. The event's data is
	// valid only during the call.
	Token(e *backend.Event) error
	// Flush sends everything written so far.
	Flush() error
	// Done writes the last event of a complete answer.
	Done(d backend.DoneEvent) error
}

// EngineClient starts completions at engines.
type EngineClient interface {
	// Complete starts a completion at the engine with the given base URL.
	// The error matches backend.ErrNotSent if no byte was sent.
	Complete(ctx context.Context, baseURL string, r *backend.CompletionRequest) (backend.Stream, error)
}

// Gate decides whether new work may be sent to an engine.
type Gate interface {
	// Check returns nil if work that was routed with the given settings
	// version may be sent now, lease.ErrSuperseded if it must be routed
	// again and lease.ErrLapsed if it may not be sent.
	Check(version uint64) error
}

// Observer records metrics of requests. Its methods must not block.
type Observer interface {
	// FirstToken records total, the time from the request's arrival to its first
	// token, and queue, the part of it before it was sent to an engine.
	FirstToken(l Labels, queue, total time.Duration)
	// BetweenTokens records the longest and the mean time between two tokens
	// of a complete answer.
	BetweenTokens(l Labels, longest, mean time.Duration)
	// Completed records the time from the request's arrival to its last token.
	Completed(l Labels, tokens int, d time.Duration)
	// Refused counts a refusal by kind.
	Refused(l Labels, kind string)
	// Dropped counts a message that belonged to another attempt or was a
	// duplicate.
	Dropped(l Labels)
	// Resumed counts a request that was sent to a further engine.
	Resumed(l Labels)
}

// Options configures a [Runner].
type Options struct {
	// Zone is the entry's availability zone.
	Zone     string
	Clock    clock.Clock
	Settings *atomic.Pointer[settings.Configuration]
	Gate     Gate
	Tracker  *routing.Tracker
	Picker   routing.Picker
	Engines  EngineClient
	Outliers *outlier.Set
	Budget   *retry.Budget
	// Random is the source of jitter.
	Random retry.Random
	// Observer may be nil.
	Observer Observer
	// NewAttempt returns a unique attempt ID; if nil, IDs are random.
	NewAttempt func() string
}

// Runner runs completion requests. It is safe for concurrent use.
type Runner struct {
	Options
}

// New returns a [Runner] and fills in the defaults of its options.
func New(o Options) *Runner {
	if o.NewAttempt == nil {
		o.NewAttempt = rand.Text
	}
	if o.Observer == nil {
		o.Observer = nopObserver{}
	}
	return &Runner{Options: o}
}

// Run answers a call through sink. It returns nil after a complete answer, a
// *refusal.Error if the system gave the request up, and an error that wraps
// sink's if the caller could not be written to. ctx carries the caller's
// deadline.
func (p *Runner) Run(ctx context.Context, call *Call, class settings.Class, sink Sink) error {
	s := newRelay(p, call, class, sink)
	defer s.returnRetry()
	for {
		choice, err := s.chooseEngine()
		if err == nil {
			err = ctx.Err()
		}
		if err == nil {
			err = s.attempt(ctx, choice)
		}
		if err == nil {
			s.reportSuccess()
			return nil
		}
		if err := s.prepareRetry(ctx, err); err != nil {
			return err
		}
	}
}

// routingRequest returns the description of a call that routing needs.
func routingRequest(call *Call, class settings.Class, zone string) routing.Request {
	return routing.Request{
		Model:        class.Model,
		Team:         call.Team,
		Class:        call.Class,
		Customer:     call.Customer,
		PromptTokens: len(call.Prompt) / bytesPerToken,
		PrefixHashes: routing.PrefixHashes(call.Prompt),
		OutputTokens: call.MaxTokens - call.ResumeFrom,
		Priority:     class.Priority,
		Worth:        class.Worth,
		ExpectedWait: class.ExpectedWait.Std(),
		Zone:         zone,
	}
}
