package request

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
)

var (
	// errDigestMismatch means that the text received differs from the text
	// that the engine produced.
	errDigestMismatch = errors.New("request: answer does not match its digest")
	// errTokenGap means that a token of the stream was lost.
	errTokenGap = errors.New("request: gap in the stream")
	// errStalled means that an engine stopped sending.
	errStalled = errors.New("request: engine stalled")
)

// tokenTimeout limits the time between two messages of a stream.
const tokenTimeout = 3 * time.Second

// attempt runs one attempt at the chosen engine. It returns nil once the
// complete answer has been written to the caller.
func (s *relay) attempt(requestCtx context.Context, choice routing.Choice) error {
	engine := choice.Engine
	s.attempts++
	if s.attempts > 1 {
		s.runner.Observer.Resumed(s.call.Labels)
	}
	flight := s.runner.Tracker.Start(engine.Name, &s.request)
	defer flight.Done()
	s.runner.Outliers.AttemptStarted(engine.Name)
	id := s.runner.NewAttempt()
	dispatched := s.runner.Clock.Now()
	begun := s.begun()
	dog, ctx := newWatchdog(requestCtx, s.request.ExpectedWait, func(received bool) bool { return s.secureRetry(engine.Name, begun || received) })
	stream, err := s.runner.Engines.Complete(ctx, engine.URL, s.completionRequest(ctx, id))
	s.sent = s.sent || !errors.Is(err, backend.ErrNotSent)
	if err == nil {
		defer stream.Close()
		err = s.copyTokens(stream, id, engine.Report.Software, flight, dog, dispatched)
	}
	s.retryPaid = dog.stop() || s.retryPaid
	if err != nil {
		err = fmt.Errorf("attempt %d at engine %s: %w", s.attempts, engine.Name, dog.explain(err))
		s.request.Exclude = append(s.request.Exclude, engine.Name)
	}
	if requestCtx.Err() == nil {
		s.reportOutcome(engine.Name, err)
	}
	return err
}

// secureRetry takes a retry from the budget if another engine may continue the request
// in place of a silent one. begun is set if the caller has a part of the answer.
func (s *relay) secureRetry(silent string, begun bool) bool {
	if s.attempts >= maxAttempts {
		return false
	}
	version := s.runner.Settings.Load().Version
	request := s.request
	request.Exclude = append(slices.Clone(s.request.Exclude), silent)
	if _, err := s.pick(request, begun); err != nil || s.runner.Gate.Check(version) != nil {
		return false
	}
	return s.retryPaid || s.runner.Budget.Spend()
}

// completionRequest returns the request to the engine for one attempt.
func (s *relay) completionRequest(ctx context.Context, id string) *backend.CompletionRequest {
	r := &backend.CompletionRequest{
		Attempt:    id,
		Model:      s.request.Model,
		Prompt:     s.call.Prompt,
		MaxTokens:  s.call.MaxTokens,
		Priority:   s.request.Priority,
		ResumeFrom: s.nextOffset,
	}
	if deadline, ok := ctx.Deadline(); ok {
		r.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	return r
}

// reportOutcome reports an attempt to outlier detection. A caller that
// disconnected and an engine that moved the stream or refused the request do
// not count as failures of the engine. It must not be called after the
// caller's deadline.
func (s *relay) reportOutcome(engine string, err error) {
	var callerGone *callerError
	switch {
	case err == nil:
		s.runner.Outliers.Success(engine)
	case errors.As(err, &callerGone):
	case errors.Is(err, backend.ErrMoved), errors.Is(err, backend.ErrRefused):
	default:
		s.runner.Outliers.Failure(engine)
	}
}

// copyTokens writes the stream's tokens to the caller, each offset once. software is
// the version of the engine's software.
func (s *relay) copyTokens(stream backend.Stream, id, software string, flight *routing.InFlightRequest, dog *watchdog, dispatched clock.Instant) error {
	var e backend.Event
	for {
		if err := stream.Next(&e); err != nil {
			return err
		}
		if e.Attempt() != id {
			s.runner.Observer.Dropped(s.call.Labels)
			continue
		}
		now := time.Now()
		dog.messageReceived(now)
		switch e.Kind {
		case backend.KindToken:
			if s.nextOffset == s.call.ResumeFrom {
				s.reportFirstToken(flight, dispatched)
				s.request.Software = &software
			}
			if err := s.writeToken(&e, now, stream.Pending()); err != nil {
				return err
			}
		case backend.KindMoved:
			return backend.ErrMoved
		case backend.KindDone:
			s.reportOutputTokens(flight)
			return s.finish(e.Done)
		}
	}
}

func (s *relay) reportFirstToken(flight *routing.InFlightRequest, dispatched clock.Instant) {
	flight.RecordFirstToken()
	s.runner.Observer.FirstToken(s.call.Labels, dispatched.Sub(s.arrived), s.runner.Clock.Now().Sub(s.arrived))
}

// reportOutputTokens reports the length of the answer to the tracker, if one
// engine produced all of it.
func (s *relay) reportOutputTokens(flight *routing.InFlightRequest) {
	if s.attempts == 1 {
		flight.RecordCompletion(s.nextOffset - s.call.ResumeFrom)
	}
}

// writeToken writes one token to the caller and drops it if the caller already
// has it. It flushes unless more is true: then the next message has already
// arrived, and one write can carry both.
func (s *relay) writeToken(e *backend.Event, now time.Time, more bool) error {
	switch {
	case e.Token.Offset < s.nextOffset:
		s.runner.Observer.Dropped(s.call.Labels)
		return nil
	case e.Token.Offset > s.nextOffset:
		return fmt.Errorf("%w: got token %d after token %d", errTokenGap, e.Token.Offset, s.nextOffset-1)
	}
	s.digest.Add(e.Token.Text)
	s.gaps.add(now)
	if err := s.sink.Token(e); err != nil {
		return &callerError{cause: err}
	}
	s.nextOffset++
	if more {
		return nil
	}
	if err := s.sink.Flush(); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// finish checks the answer's token count and digest and writes the last event
// to the caller. The digest is checked only if this entry relayed the answer
// from its first token. For a stream that the caller resumed it passes on the
// engine's digest, which covers the complete answer.
func (s *relay) finish(d backend.DoneEvent) error {
	if d.Tokens != s.nextOffset {
		return fmt.Errorf("%w: engine reported %d tokens, got %d", errTokenGap, d.Tokens, s.nextOffset)
	}
	if s.call.ResumeFrom == 0 {
		computed := s.digest.Hex()
		if computed != d.Digest {
			return fmt.Errorf("%w: engine reported %s, computed %s", errDigestMismatch, d.Digest, computed)
		}
		d.Digest = computed
	}
	if err := s.sink.Done(d); err != nil {
		return &callerError{cause: err}
	}
	return nil
}
