// Package request runs the life cycle of a completion request: choice of an
// engine, attempts, resume at another engine and verification of the answer.
package request

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// bytesPerToken is the mean length of a token of prompt text.
const bytesPerToken = 4

// Call is a caller's completion request.
type Call struct {
	Labels
	Prompt    string
	MaxTokens int
	// From is the offset of the first token that the caller wants; above
	// zero on a resumed stream.
	From int
}

// Labels name whom a request belongs to.
type Labels struct {
	Team     string
	Class    string
	Customer string
}

// Sink takes the answer on its way to the caller. An error ends the request.
type Sink interface {
	// Token takes the next token; its data is valid during the call only.
	Token(e *backend.Event) error
	// Flush sends what was taken so far.
	Flush() error
	// Done takes the last event of a whole answer.
	Done(d backend.DoneEvent) error
}

// EngineClient starts completions.
type EngineClient interface {
	// Complete starts a completion at the engine with the given base URL.
	// An error matches backend.ErrNotSent if no byte went out.
	Complete(ctx context.Context, baseURL string, r *backend.CompletionRequest) (backend.Stream, error)
}

// Gate is what new work passes right before it is sent to an engine.
type Gate interface {
	// Check returns nil if work that was decided on the given settings
	// version may be sent now, lease.ErrSuperseded if it must be decided
	// again and lease.ErrLapsed if it may not be sent.
	Check(version uint64) error
}

// Observer is told how requests fare. Its methods must not block.
type Observer interface {
	// FirstToken gives the time from the request's arrival to its first
	// token, and how much of it went by before it was sent to an engine.
	FirstToken(l Labels, queue, whole time.Duration)
	// BetweenTokens gives the longest and the mean time between two tokens
	// of a whole answer.
	BetweenTokens(l Labels, longest, mean time.Duration)
	// Whole gives the time from the request's arrival to its last token.
	Whole(l Labels, tokens int, d time.Duration)
	// Refused counts a refusal, by kind.
	Refused(l Labels, kind string)
	// Dropped counts a message that belonged to another attempt or came
	// twice.
	Dropped(l Labels)
	// Resumed counts a stream that went on at another engine.
	Resumed(l Labels)
}

// Options holds what a Protocol needs.
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
	// Random returns numbers for jitter.
	Random retry.Random
	// Observer may be nil.
	Observer Observer
	// NewAttempt returns a unique attempt id; nil takes random ones.
	NewAttempt func() string
}

// Protocol runs completion requests. It is safe for concurrent use.
type Protocol struct {
	Options
}

// New returns a protocol.
func New(o Options) *Protocol {
	if o.NewAttempt == nil {
		o.NewAttempt = rand.Text
	}
	if o.Observer == nil {
		o.Observer = nopObserver{}
	}
	return &Protocol{Options: o}
}

// Run answers a call through sink. It returns nil after a whole answer, a
// *refusal.Error if the system gave the request up, and sink's error if the
// caller went away. The context carries the caller's deadline.
func (p *Protocol) Run(ctx context.Context, call *Call, class settings.Class, sink Sink) error {
	s := newRelay(p, call, class, sink)
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

// routingRequest returns the request as routing sees it.
func routingRequest(call *Call, class settings.Class, zone string) routing.Request {
	return routing.Request{
		Model:        class.Model,
		Team:         call.Team,
		Class:        call.Class,
		Customer:     call.Customer,
		PromptTokens: len(call.Prompt) / bytesPerToken,
		Prefix:       routing.PrefixHashes(call.Prompt),
		OutputTokens: call.MaxTokens - call.From,
		Priority:     class.Priority,
		Worth:        class.Worth,
		ExpectedWait: class.ExpectedWait.Std(),
		Zone:         zone,
	}
}
