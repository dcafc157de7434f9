package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
)

var (
	// errDigestMismatch means that an answer is not the one that its engine made.
	errDigestMismatch = errors.New("request: answer does not match its digest")
	// errTokenGap means that a message of the stream was lost.
	errTokenGap = errors.New("request: gap in the stream")
	// errStalled means that an engine stopped sending.
	errStalled = errors.New("request: engine stalled")
)

// tokenTimeout bounds the time between two messages of a stream that has
// begun.
const tokenTimeout = 3 * time.Second

// attempt runs one attempt at the chosen engine. It returns nil after the
// whole answer was given to the caller.
func (s *relay) attempt(requestCtx context.Context, choice routing.Choice) error {
	engine := choice.Engine
	s.attempts++
	if s.attempts > 1 {
		s.p.Observer.Resumed(s.call.Labels)
	}
	flight := s.p.Tracker.Start(engine.Name, &s.request)
	defer flight.Done()
	s.p.Outliers.Start(engine.Name)
	id := s.p.NewAttempt()
	dispatched := s.p.Clock.Now()
	dog, ctx := newWatchdog(requestCtx, s.request.ExpectedWait)
	defer dog.stop()
	stream, err := s.p.Engines.Complete(ctx, engine.URL, s.completionRequest(ctx, id))
	s.sent = s.sent || !errors.Is(err, backend.ErrNotSent)
	if err == nil {
		defer stream.Close()
		err = s.copyTokens(stream, id, flight, dog, dispatched)
	}
	if err != nil {
		err = fmt.Errorf("attempt %d at engine %s: %w", s.attempts, engine.Name, dog.explain(err))
		s.request.Exclude = append(s.request.Exclude, engine.Name)
	}
	if requestCtx.Err() == nil {
		s.reportOutcome(engine.Name, err)
	}
	return err
}

// completionRequest returns the message that starts an attempt.
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

// reportOutcome tells the outlier set how an engine did, unless the caller's time ran
// out. An engine that moved its streams or refused work did nothing wrong.
func (s *relay) reportOutcome(engine string, err error) {
	var callerGone *callerError
	switch {
	case err == nil:
		s.p.Outliers.Success(engine)
	case errors.As(err, &callerGone):
	case errors.Is(err, backend.ErrMoved), errors.Is(err, backend.ErrRefused):
	default:
		s.p.Outliers.Failure(engine)
	}
}

// copyTokens gives the stream's tokens to the caller, each offset once.
func (s *relay) copyTokens(stream backend.Stream, id string, flight *routing.Flight, dog *watchdog, dispatched clock.Instant) error {
	var e backend.Event
	for {
		if err := stream.Next(&e); err != nil {
			return err
		}
		if e.Attempt() != id {
			s.p.Observer.Dropped(s.call.Labels)
			continue
		}
		now := time.Now()
		dog.messageReceived(now)
		switch e.Kind {
		case backend.KindToken:
			if s.nextOffset == s.call.From {
				s.reportFirstToken(flight, dispatched)
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

// reportFirstToken reports the reportFirstToken token.
func (s *relay) reportFirstToken(flight *routing.Flight, dispatched clock.Instant) {
	flight.FirstToken()
	s.p.Observer.FirstToken(s.call.Labels, dispatched.Sub(s.arrived), s.p.Clock.Now().Sub(s.arrived))
}

// reportOutputTokens tells the tracker of an answer that one engine gave whole.
func (s *relay) reportOutputTokens(flight *routing.Flight) {
	if s.attempts == 1 {
		flight.Finished(s.nextOffset - s.call.From)
	}
}

// writeToken gives one writeToken to the caller. More is true if the next message has
// already arrived, so that one write can carry both.
func (s *relay) writeToken(e *backend.Event, now time.Time, more bool) error {
	switch {
	case e.Token.Offset < s.nextOffset:
		s.p.Observer.Dropped(s.call.Labels)
		return nil
	case e.Token.Offset > s.nextOffset:
		return fmt.Errorf("%w: token %d after %d", errTokenGap, e.Token.Offset, s.nextOffset-1)
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

// finish verifies the whole answer and ends it. If this entry saw the answer
// from its first token, it gives its own digest; on a stream that the caller
// resumed, the engine's digest covers the whole.
func (s *relay) finish(d backend.DoneEvent) error {
	if d.Tokens != s.nextOffset {
		return fmt.Errorf("%w: %d tokens announced, %d seen", errTokenGap, d.Tokens, s.nextOffset)
	}
	if s.call.From == 0 {
		computed := s.digest.Hex()
		if computed != d.Digest {
			return fmt.Errorf("%w: engine says %s, entry saw %s", errDigestMismatch, d.Digest, computed)
		}
		d.Digest = computed
	}
	if err := s.sink.Done(d); err != nil {
		return &callerError{cause: err}
	}
	return nil
}
