package request

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/protocol/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 6
	// retryAfter is what a caller is told when no backlog is known.
	retryAfter = time.Second
)

// backoff spaces the attempts of one request.
var backoff = retry.Backoff{Base: 20 * time.Millisecond, Max: time.Second}

// relay is one request on its way. One goroutine uses it.
type relay struct {
	p       *Protocol
	call    *Call
	sink    Sink
	request routing.Request
	arrived clock.Instant
	// nextOffset is the offset of the nextOffset token for the caller; every token
	// below it, from call.From on, was given to the caller once.
	nextOffset int
	// digest covers the tokens from call.From to next.
	digest *backend.Digest
	// attempts counts attempts; sent tells whether any byte of one may have
	// reached an engine.
	attempts int
	sent     bool
	gaps     tokenGaps
}

func newRelay(p *Protocol, call *Call, class settings.Class, sink Sink) *relay {
	return &relay{
		p:          p,
		call:       call,
		sink:       sink,
		request:    routingRequest(call, class, p.Zone),
		arrived:    p.Clock.Now(),
		nextOffset: call.From,
		digest:     backend.NewDigest(),
	}
}

// chooseEngine chooses an engine on the settings in force.
func (s *relay) chooseEngine() (routing.Choice, error) {
	for {
		version := s.p.Settings.Load().Version
		choice, err := s.pickEngine()
		if err != nil {
			return choice, err
		}
		err = s.p.Gate.Check(version)
		if !errors.Is(err, lease.ErrSuperseded) {
			return choice, err
		}
	}
}

// pickEngine chooses an engine. Engines that failed lately are passed over unless
// there is no other; a stream that has begun is never refused for load.
func (s *relay) pickEngine() (routing.Choice, error) {
	snapshot := s.p.Tracker.Snapshot()
	request := s.request
	request.Exclude = append(slices.Clip(s.request.Exclude), s.p.Outliers.Ejected()...)
	request.Retry = s.request.Retry
	s.request.Retry = true
	choice, err := s.p.Picker.Pick(snapshot, &request)
	if errors.Is(err, routing.ErrNoEngine) && len(request.Exclude) > len(s.request.Exclude) {
		choice, err = s.p.Picker.Pick(snapshot, &s.request)
	}
	if err == nil || !s.begun() {
		return choice, err
	}
	choice, err = routing.LeastRequests{}.Pick(snapshot, &request)
	if err != nil {
		choice, err = routing.LeastRequests{}.Pick(snapshot, &s.request)
	}
	return choice, err
}

// begun reports whether the caller has got a part of the answer.
func (s *relay) begun() bool {
	return s.nextOffset > 0
}

// prepareRetry decides what follows a failed attempt: it returns nil if there
// is to be another one, and else the request's final error.
func (s *relay) prepareRetry(ctx context.Context, cause error) error {
	var callerGone *callerError
	if errors.As(cause, &callerGone) {
		return callerGone
	}
	if ctx.Err() != nil {
		return s.refuse(refusal.DeadlinePassed, "the time for the answer ran out", retryAfter, cause)
	}
	if errors.Is(cause, errDigestMismatch) {
		return s.refuse(refusal.Corrupt, "the answer does not match its digest", retryAfter, cause)
	}
	if errors.Is(cause, lease.ErrLapsed) {
		return s.refuse(refusal.NoLease, "this entry may not take new work; use another address", retryAfter, cause)
	}
	if refused, ok := s.refusedByRouting(cause); ok {
		return refused
	}
	if s.attempts >= maxAttempts || !errors.Is(cause, backend.ErrMoved) && !s.p.Budget.Spend() {
		return s.refuse(refusal.BackendFailed, "engines failed the request", retryAfter, cause)
	}
	if !clock.Sleep(ctx, s.retryDelay(cause)) {
		return s.refuse(refusal.DeadlinePassed, "the time for the answer ran out", retryAfter, cause)
	}
	return nil
}

// refusedByRouting handles a refusal by the picker. A stream that has begun
// waits for an engine; any other request is given up at once.
func (s *relay) refusedByRouting(cause error) (error, bool) {
	var overloaded *routing.OverloadedError
	switch {
	case errors.As(cause, &overloaded):
		return s.refuse(refusal.Overloaded, "no engine would answer in time", overloaded.RetryAfter, cause), true
	case !errors.Is(cause, routing.ErrNoEngine):
		return nil, false
	case s.begun():
		s.request.Exclude = nil
		s.attempts++
		return nil, false
	}
	return s.refuse(refusal.Unavailable, "no engine takes new work", retryAfter, cause), true
}

// retryDelay returns the time before the next attempt. A moved stream does not
// wait.
func (s *relay) retryDelay(cause error) time.Duration {
	if errors.Is(cause, backend.ErrMoved) {
		return 0
	}
	return backoff.Pause(s.attempts, s.p.Random)
}

// refuse returns the request's refusal and counts it.
func (s *relay) refuse(kind refusal.Kind, detail string, after time.Duration, cause error) error {
	s.p.Observer.Refused(s.call.Labels, string(kind))
	executed := refusal.No
	if s.sent || s.begun() {
		executed = refusal.Unknown
	}
	return &refusal.Error{Kind: kind, Executed: executed, Detail: detail, RetryAfter: after, Cause: cause}
}

// reportSuccess reports a whole answer.
func (s *relay) reportSuccess() {
	s.p.Budget.Success()
	tokens := s.nextOffset - s.call.From
	s.p.Observer.Whole(s.call.Labels, tokens, s.p.Clock.Now().Sub(s.arrived))
	if tokens > 1 {
		s.p.Observer.BetweenTokens(s.call.Labels, s.gaps.longest, s.gaps.mean(tokens))
	}
}

// callerError means that the caller could not be written to.
type callerError struct {
	cause error
}

// Error implements error.
func (e *callerError) Error() string { return fmt.Sprintf("answer caller: %v", e.cause) }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }
