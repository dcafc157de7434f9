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
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// maxAttempts limits the attempts of one request.
	maxAttempts = 6
	// retryAfter is the Retry-After of refusals for which no backlog is known.
	retryAfter = time.Second
	// unreachableTimeout is how long a stream that has begun waits while no engine can
	// be reached: an engine that crashed is back within seconds.
	unreachableTimeout = 5 * time.Second
)

// backoff sets the delays between the attempts of one request.
var backoff = retry.Backoff{Base: 20 * time.Millisecond, Max: time.Second}

// unreachableBackoff sets the delays between attempts that reach no engine.
var unreachableBackoff = retry.Backoff{Base: 50 * time.Millisecond, Max: 400 * time.Millisecond}

// relay is the state of one request over all its attempts. It is not safe for
// concurrent use.
type relay struct {
	runner  *Runner
	call    *Call
	sink    Sink
	request routing.Request
	arrived clock.Instant
	// nextOffset is the offset of the next token for the caller. Every token
	// from the requested offset up to it has been written to the caller once.
	nextOffset int
	// digest covers the tokens from the requested offset up to nextOffset.
	digest *backend.Digest
	// attempts counts attempts. sent is true if any byte of one may have
	// reached an engine.
	attempts int
	sent     bool
	// retryPaid is set while a retry has been taken from the budget and not made.
	retryPaid bool
	// unreached counts the attempts since unreachedSince that reached no engine, while
	// no other one did.
	unreached      int
	unreachedSince clock.Instant
	gaps           tokenGaps
}

func newRelay(p *Runner, call *Call, class settings.Class, sink Sink) *relay {
	return &relay{
		runner:     p,
		call:       call,
		sink:       sink,
		request:    routingRequest(call, class, p.Zone),
		arrived:    p.Clock.Now(),
		nextOffset: call.ResumeFrom,
		digest:     backend.NewDigest(),
	}
}

// chooseEngine picks an engine and repeats the choice if the settings changed
// meanwhile.
func (s *relay) chooseEngine() (routing.Choice, error) {
	for {
		version := s.runner.Settings.Load().Version
		choice, err := s.pickEngine()
		if err != nil {
			return choice, err
		}
		err = s.runner.Gate.Check(version)
		if !errors.Is(err, lease.ErrSuperseded) {
			return choice, err
		}
	}
}

// pickEngine picks the engine for the next attempt.
func (s *relay) pickEngine() (routing.Choice, error) {
	request := s.request
	s.request.Retry = true
	return s.pick(request, s.begun())
}

// pick picks an engine. Ejected engines are used only if there is no other. A stream that
// has begun is never refused because of load: it falls back to the engine with the
// fewest requests. It uses nothing that an attempt in progress changes.
func (s *relay) pick(request routing.Request, begun bool) (routing.Choice, error) {
	snapshot := s.runner.Tracker.Snapshot()
	healthy := request
	healthy.Exclude = append(slices.Clip(request.Exclude), s.runner.Outliers.Ejected()...)
	choice, err := s.runner.Picker.Pick(snapshot, &healthy)
	if errors.Is(err, routing.ErrNoEngine) && len(healthy.Exclude) > len(request.Exclude) {
		choice, err = s.runner.Picker.Pick(snapshot, &request)
	}
	if err == nil || !begun {
		return choice, err
	}
	choice, err = routing.LeastRequests{}.Pick(snapshot, &healthy)
	if err != nil {
		choice, err = routing.LeastRequests{}.Pick(snapshot, &request)
	}
	return choice, err
}

// begun reports whether the caller has received a part of the answer, from
// this entry or before it resumed the stream here.
func (s *relay) begun() bool {
	return s.nextOffset > 0
}

// prepareRetry handles a failed attempt. It returns nil after the delay before
// the next attempt, or the request's final error if there must be none.
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
	if s.awaitsEngine(cause) {
		if !clock.Sleep(ctx, unreachableBackoff.Pause(s.unreached, s.runner.Random)) {
			return s.refuse(refusal.DeadlinePassed, "the time for the answer ran out", retryAfter, cause)
		}
		return nil
	}
	if refused, ok := s.refusedByRouting(cause); ok {
		return refused
	}
	if s.attempts >= maxAttempts || !errors.Is(cause, backend.ErrMoved) && !s.spendRetry() {
		return s.refuse(refusal.BackendFailed, "engines failed the request", retryAfter, cause)
	}
	if !clock.Sleep(ctx, s.retryDelay(cause)) {
		return s.refuse(refusal.DeadlinePassed, "the time for the answer ran out", retryAfter, cause)
	}
	return nil
}

// awaitsEngine reports whether a stream that has begun is to try again without a retry,
// because no engine could be reached: all those that may go on with it, such as those of
// its software version, can be down for a moment. It forgets the excluded engines once
// none is left.
func (s *relay) awaitsEngine(cause error) bool {
	notSent := errors.Is(cause, backend.ErrNotSent)
	noneLeft := s.unreached > 0 && errors.Is(cause, routing.ErrNoEngine)
	if !s.begun() || !notSent && !noneLeft {
		s.unreached = 0
		return false
	}
	now := s.runner.Clock.Now()
	if s.unreached == 0 {
		s.unreachedSince = now
	}
	if now.Sub(s.unreachedSince) >= unreachableTimeout {
		return false
	}
	if noneLeft {
		s.request.Exclude = nil
		return true
	}
	s.unreached++
	s.attempts--
	return true
}

// spendRetry takes a retry from the budget, unless one has been taken already.
func (s *relay) spendRetry() bool {
	if s.retryPaid {
		s.retryPaid = false
		return true
	}
	return s.runner.Budget.Spend()
}

// returnRetry gives back a retry that was taken and will not be made.
func (s *relay) returnRetry() {
	if s.retryPaid {
		s.retryPaid = false
		s.runner.Budget.Return()
	}
}

// refusedByRouting handles an error of the picker. It returns the refusal and
// true if the error ends the request. If no engine takes new work, a stream
// that has begun is retried with no engine excluded; any other request is
// refused at once.
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

// retryDelay returns the time before the next attempt. A moved stream is
// resumed without delay.
func (s *relay) retryDelay(cause error) time.Duration {
	if errors.Is(cause, backend.ErrMoved) {
		return 0
	}
	return backoff.Pause(s.attempts, s.runner.Random)
}

// refuse counts a refusal and returns it as an error.
func (s *relay) refuse(kind refusal.Kind, detail string, after time.Duration, cause error) error {
	s.runner.Observer.Refused(s.call.Labels, string(kind))
	executed := refusal.ExecutedNo
	if s.sent || s.begun() {
		executed = refusal.ExecutedUnknown
	}
	return &refusal.Error{Kind: kind, Executed: executed, Detail: detail, RetryAfter: after, Cause: cause}
}

// reportSuccess credits the retry budget and records the metrics of a complete
// answer.
func (s *relay) reportSuccess() {
	s.runner.Budget.Success()
	tokens := s.nextOffset - s.call.ResumeFrom
	s.runner.Observer.Completed(s.call.Labels, tokens, s.runner.Clock.Now().Sub(s.arrived))
	if tokens > 1 {
		s.runner.Observer.BetweenTokens(s.call.Labels, s.gaps.longest, s.gaps.mean(tokens))
	}
}

// callerError means that a write to the caller failed.
type callerError struct {
	cause error
}

// Error implements error.
func (e *callerError) Error() string { return fmt.Sprintf("write to caller: %v", e.cause) }

// Unwrap returns the cause.
func (e *callerError) Unwrap() error { return e.cause }
