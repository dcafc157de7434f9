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
	// errDigest means that an answer is not the one that its engine made.
	errDigest = errors.New("request: answer does not match its digest")
	// errGap means that a message of the stream was lost.
	errGap = errors.New("request: gap in the stream")
	// errStalled means that an engine stopped sending.
	errStalled = errors.New("request: engine stalled")
)

// tokenTimeout bounds the time between two messages of a stream that has
// begun.
const tokenTimeout = 3 * time.Second

// attempt runs one attempt at the chosen engine. It returns nil after the
// whole answer was given to the caller.
func (s *relay) attempt(whole context.Context, choice routing.Choice) error {
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
	dog, ctx := newWatchdog(whole, s.request.ExpectedWait)
	defer dog.stop()
	stream, err := s.p.Engines.Complete(ctx, engine.URL, s.order(ctx, id))
	s.sent = s.sent || !errors.Is(err, backend.ErrNotSent)
	if err == nil {
		defer stream.Close()
		err = s.copy(stream, id, flight, dog, dispatched)
	}
	if err != nil {
		err = fmt.Errorf("attempt %d at engine %s: %w", s.attempts, engine.Name, dog.explain(err))
		s.request.Exclude = append(s.request.Exclude, engine.Name)
	}
	if whole.Err() == nil {
		s.judge(engine.Name, err)
	}
	return err
}

// order returns the message that starts an attempt.
func (s *relay) order(ctx context.Context, id string) *backend.CompletionRequest {
	order := &backend.CompletionRequest{
		Attempt:    id,
		Model:      s.request.Model,
		Prompt:     s.call.Prompt,
		MaxTokens:  s.call.MaxTokens,
		Priority:   s.request.Priority,
		ResumeFrom: s.next,
	}
	if deadline, ok := ctx.Deadline(); ok {
		order.TimeoutMillis = max(1, time.Until(deadline).Milliseconds())
	}
	return order
}

// judge tells the outlier set how an engine did, unless the caller's time ran
// out. An engine that moved its streams or refused work did nothing wrong.
func (s *relay) judge(engine string, err error) {
	var gone *callerError
	switch {
	case err == nil:
		s.p.Outliers.Success(engine)
	case errors.As(err, &gone):
	case errors.Is(err, backend.ErrMoved), errors.Is(err, backend.ErrRefused):
	default:
		s.p.Outliers.Failure(engine)
	}
}

// copy gives the stream's tokens to the caller, each offset once.
func (s *relay) copy(stream backend.Stream, id string, flight *routing.Flight, dog *watchdog, dispatched clock.Instant) error {
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
		dog.alive(now)
		switch e.Kind {
		case backend.KindToken:
			if s.next == s.call.From {
				s.first(flight, dispatched)
			}
			if err := s.token(&e, now, stream.Pending()); err != nil {
				return err
			}
		case backend.KindMoved:
			return backend.ErrMoved
		case backend.KindDone:
			s.finished(flight)
			return s.done(e.Done)
		}
	}
}

// first reports the first token.
func (s *relay) first(flight *routing.Flight, dispatched clock.Instant) {
	flight.FirstToken()
	s.p.Observer.FirstToken(s.call.Labels, dispatched.Sub(s.arrived), s.p.Clock.Now().Sub(s.arrived))
}

// finished tells the tracker of an answer that one engine gave whole.
func (s *relay) finished(flight *routing.Flight) {
	if s.attempts == 1 {
		flight.Finished(s.next - s.call.From)
	}
}

// token gives one token to the caller. More is true if the next message has
// already arrived, so that one write can carry both.
func (s *relay) token(e *backend.Event, now time.Time, more bool) error {
	switch {
	case e.Token.Offset < s.next:
		s.p.Observer.Dropped(s.call.Labels)
		return nil
	case e.Token.Offset > s.next:
		return fmt.Errorf("%w: token %d after %d", errGap, e.Token.Offset, s.next-1)
	}
	s.digest.Add(e.Token.Text)
	s.pace.token(now)
	if err := s.sink.Token(e); err != nil {
		return &callerError{cause: err}
	}
	s.next++
	if more {
		return nil
	}
	if err := s.sink.Flush(); err != nil {
		return &callerError{cause: err}
	}
	return nil
}

// done verifies the whole answer and ends it. If this entry saw the answer
// from its first token, it gives its own digest; on a stream that the caller
// resumed, the engine's digest covers the whole.
func (s *relay) done(d backend.DoneEvent) error {
	if d.Tokens != s.next {
		return fmt.Errorf("%w: %d tokens announced, %d seen", errGap, d.Tokens, s.next)
	}
	if s.call.From == 0 {
		own := s.digest.Hex()
		if own != d.Digest {
			return fmt.Errorf("%w: engine says %s, entry saw %s", errDigest, d.Digest, own)
		}
		d.Digest = own
	}
	if err := s.sink.Done(d); err != nil {
		return &callerError{cause: err}
	}
	return nil
}
