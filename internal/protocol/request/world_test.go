package request

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

var (
	errBroken = errors.New("fake: connection broken")
	errGone   = errors.New("fake: caller gone")
)

const tokenInterval = 10 * time.Millisecond

var testClass = settings.Class{Model: "drafting", ExpectedWait: strictjson.Duration(20 * time.Second)}

// fault is what an engine does wrong in one attempt, at one token.
type fault int

const (
	none fault = iota
	refusesConnection
	refusesRequest
	crashes
	cuts
	stalls
	skips
	corrupts
	doubles
	crosses
	moves
	faultKinds
)

// engines is a set of fake engines. It implements Engines.
type engines struct {
	// draw returns the fault of an attempt and the token at which it comes.
	draw func(attempt int) (fault, int)

	mu       sync.Mutex // guards attempts and open
	attempts int
	open     int
}

// Complete implements Engines.
func (f *engines) Complete(ctx context.Context, url string, r *backend.CompletionRequest) (backend.Stream, error) {
	f.mu.Lock()
	f.attempts++
	kind, at := f.draw(f.attempts)
	f.mu.Unlock()
	switch kind {
	case refusesConnection:
		return nil, fmt.Errorf("dial %s: %w", url, backend.ErrNotSent)
	case refusesRequest:
		return nil, fmt.Errorf("complete at %s: %w", url, backend.ErrRefused)
	}
	f.count(1)
	return &script{engines: f, ctx: ctx, request: *r, kind: kind, at: at, next: r.ResumeFrom}, nil
}

func (f *engines) count(by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += by
}

// script is one fake stream. It implements backend.Stream.
type script struct {
	engines *engines
	ctx     context.Context
	request backend.CompletionRequest
	kind    fault
	at      int
	next    int
	sent    int
	queue   []backend.Event
}

// Next implements backend.Stream.
func (s *script) Next(e *backend.Event) error {
	if len(s.queue) == 0 {
		if err := s.produce(); err != nil {
			return err
		}
	}
	*e = s.queue[0]
	s.queue = s.queue[1:]
	return nil
}

// produce queues the next messages.
func (s *script) produce() error {
	if err := s.wait(tokenInterval); err != nil {
		return err
	}
	if s.next >= s.request.MaxTokens {
		s.queue = append(s.queue, backend.Event{Kind: backend.KindDone, Done: whole(s.request)})
		return nil
	}
	e := s.token(s.next, fakeengine.Token(s.request.Prompt, s.next))
	s.next++
	s.sent++
	if s.sent != s.at {
		s.queue = append(s.queue, e)
		return nil
	}
	return s.misbehave(e)
}

func (s *script) misbehave(e backend.Event) error {
	switch s.kind {
	case crashes:
		return errBroken
	case cuts:
		return backend.ErrTruncated
	case stalls:
		return s.wait(time.Hour)
	case skips:
		return s.produce()
	case corrupts:
		e.Token.Text = "wrong "
	case doubles:
		s.queue = append(s.queue, e)
	case crosses:
		other := e
		other.Token.Attempt = "another"
		other.Token.Text = "crossed "
		s.queue = append(s.queue, other)
	case moves:
		e = backend.Event{Kind: backend.KindMoved, Moved: backend.MovedEvent{Attempt: s.request.Attempt}}
	}
	s.queue = append(s.queue, e)
	return nil
}

func (s *script) wait(d time.Duration) error {
	if !clock.Sleep(s.ctx, d) {
		return s.ctx.Err()
	}
	return nil
}

func (s *script) token(offset int, text string) backend.Event {
	return backend.Event{Kind: backend.KindToken, Token: backend.TokenEvent{Attempt: s.request.Attempt, Offset: offset, Text: text}}
}

// whole returns the last event of the whole answer to a request.
func whole(r backend.CompletionRequest) backend.DoneEvent {
	digest := backend.NewDigest()
	digest.Add(fakeengine.Answer(r.Prompt, r.MaxTokens))
	return backend.DoneEvent{Attempt: r.Attempt, Tokens: r.MaxTokens, Digest: digest.Hex()}
}

// Pending implements backend.Stream.
func (s *script) Pending() bool { return len(s.queue) > 0 }

// Close implements backend.Stream.
func (s *script) Close() { s.engines.count(-1) }

// open is a gate that lets everything pass.
type open struct{}

// Check implements Gate.
func (open) Check(uint64) error { return nil }

// entry returns an entry's protocol over the fake engines.
func (f *engines) entry(count int) *Protocol {
	c := clock.NewRuntime()
	tracker := routing.NewTracker(c)
	config := &settings.Configuration{Models: map[string]settings.Model{"drafting": {Engines: make(map[string]settings.Engine)}}}
	for i := range count {
		config.Models["drafting"].Engines[fmt.Sprintf("engine-%d", i)] = settings.Engine{URL: fmt.Sprintf("http://engine-%d", i)}
	}
	tracker.Configure(config)
	inForce := &atomic.Pointer[settings.Configuration]{}
	inForce.Store(config)
	return New(Options{
		Settings: inForce,
		Gate:     open{},
		Clock:    c,
		Tracker:  tracker,
		Picker:   routing.LeastRequests{},
		Engines:  f,
		Outliers: outlier.NewSet(c),
		Budget:   retry.NewBudget(retry.DefaultShare, retry.DefaultReserve),
		Random:   rand.Float64,
	})
}

// caller takes an answer, over several requests if need be. It implements
// Sink.
type caller struct {
	// leaveAfter is how many tokens this connection still carries; below
	// zero it carries all.
	leaveAfter int
	planted    plantedFault
	offsets    []int
	text       string
	done       *backend.DoneEvent
}

type plantedFault string

const (
	repeatsToken plantedFault = "a token is given twice"
	losesToken   plantedFault = "a token is lost on the way"
	endsCut      plantedFault = "a cut answer is ended like a whole one"
)

// Token implements Sink.
func (c *caller) Token(e *backend.Event) error {
	if c.leaveAfter == 0 {
		return errGone
	}
	c.leaveAfter--
	c.take(e)
	if c.planted == repeatsToken {
		c.take(e)
	}
	return nil
}

func (c *caller) take(e *backend.Event) {
	if c.planted == losesToken && e.Token.Offset == 1 {
		return
	}
	c.offsets = append(c.offsets, e.Token.Offset)
	c.text += e.Token.Text
}

// Flush implements Sink.
func (c *caller) Flush() error { return nil }

// Done implements Sink.
func (c *caller) Done(d backend.DoneEvent) error {
	c.done = &d
	return nil
}

// next returns the offset from which the caller resumes.
func (c *caller) next() int {
	if len(c.offsets) == 0 {
		return 0
	}
	return c.offsets[len(c.offsets)-1] + 1
}

// check judges what the caller has at the end. A caller compares the digest
// with its text, so an answer that fails there is visibly not whole.
func (c *caller) check(call *Call) error {
	for i, offset := range c.offsets {
		if offset != i {
			return fmt.Errorf("token %d came at place %d", offset, i)
		}
	}
	if c.done == nil {
		return nil
	}
	if c.done.Tokens != len(c.offsets) {
		return fmt.Errorf("ended as whole with %d of %d tokens", len(c.offsets), c.done.Tokens)
	}
	digest := backend.NewDigest()
	digest.Add(c.text)
	if digest.Hex() == c.done.Digest && c.text != fakeengine.Answer(call.Prompt, call.MaxTokens) {
		return errors.New("a wrong answer passes for whole")
	}
	return nil
}
