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
	"github.com/lagoonshift/lagoonshift/internal/coordination/lease"
	"github.com/lagoonshift/lagoonshift/internal/fake/fakeengine"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/health/outlier"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

var (
	errBroken     = errors.New("fake: connection broken")
	errCallerGone = errors.New("fake: caller disconnected")
)

const tokenInterval = 10 * time.Millisecond

var testClass = settings.Class{Model: "drafting", ExpectedWait: strictjson.Duration(20 * time.Second)}

// fault is what an engine does wrong at one token of an attempt.
type fault int

const (
	noFault fault = iota
	refusesConnection
	refusesRequest
	crashes
	truncates
	stalls
	skips
	corrupts
	duplicates
	mixesAttempts
	moves
	pauses
	faultKinds
)

// fakeEngines is a set of fake engines. It implements EngineClient.
type fakeEngines struct {
	// faultFor returns the fault of an attempt, counted from 1, and the number
	// of the token at which it comes.
	faultFor func(attempt int) (fault, int)

	// software holds the versions that the engines report, by engine; empty if they
	// report none.
	software []string

	mu          sync.Mutex // guards the fields below
	urls        []string   // of the attempts in order
	attempts    int
	openStreams int
}

// Complete implements EngineClient.
func (f *fakeEngines) Complete(ctx context.Context, url string, r *backend.CompletionRequest) (backend.Stream, error) {
	f.mu.Lock()
	f.attempts++
	f.urls = append(f.urls, url)
	kind, at := f.faultFor(f.attempts)
	f.mu.Unlock()
	switch kind {
	case refusesConnection:
		return nil, fmt.Errorf("dial %s: %w", url, backend.ErrNotSent)
	case refusesRequest:
		return nil, fmt.Errorf("complete at %s: %w", url, backend.ErrRefused)
	}
	f.count(1)
	return &fakeStream{engines: f, ctx: ctx, request: *r, kind: kind, faultAt: at, nextOffset: r.ResumeFrom}, nil
}

func (f *fakeEngines) count(by int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openStreams += by
}

// fakeStream is the stream of one attempt. It implements backend.Stream.
type fakeStream struct {
	engines    *fakeEngines
	ctx        context.Context
	request    backend.CompletionRequest
	kind       fault
	faultAt    int
	nextOffset int
	sent       int
	queue      []backend.Event
}

// Next implements backend.Stream.
func (s *fakeStream) Next(e *backend.Event) error {
	if len(s.queue) == 0 {
		if err := s.produce(); err != nil {
			return err
		}
	}
	*e = s.queue[0]
	s.queue = s.queue[1:]
	return nil
}

// produce queues the next message, and injects the fault if it is due.
func (s *fakeStream) produce() error {
	if err := s.wait(tokenInterval); err != nil {
		return err
	}
	if s.nextOffset >= s.request.MaxTokens {
		s.queue = append(s.queue, backend.Event{Kind: backend.KindDone, Done: finalEvent(s.request)})
		return nil
	}
	e := s.token(s.nextOffset, fakeengine.Token(s.request.Prompt, s.nextOffset))
	s.nextOffset++
	s.sent++
	if s.sent != s.faultAt {
		s.queue = append(s.queue, e)
		return nil
	}
	return s.injectFault(e)
}

func (s *fakeStream) injectFault(e backend.Event) error {
	switch s.kind {
	case crashes:
		return errBroken
	case truncates:
		return backend.ErrTruncated
	case stalls:
		return s.wait(time.Hour)
	case pauses:
		if err := s.wait(tokenTimeout + time.Second); err != nil {
			return err
		}
	case skips:
		return s.produce()
	case corrupts:
		e.Token.Text = "wrong "
	case duplicates:
		s.queue = append(s.queue, e)
	case mixesAttempts:
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

func (s *fakeStream) wait(d time.Duration) error {
	if !clock.Sleep(s.ctx, d) {
		return s.ctx.Err()
	}
	return nil
}

func (s *fakeStream) token(offset int, text string) backend.Event {
	return backend.Event{Kind: backend.KindToken, Token: backend.TokenEvent{Attempt: s.request.Attempt, Offset: offset, Text: text}}
}

// finalEvent returns the last event of the complete answer to a request.
func finalEvent(r backend.CompletionRequest) backend.DoneEvent {
	digest := backend.NewDigest()
	digest.Add(fakeengine.Answer(r.Prompt, r.MaxTokens))
	return backend.DoneEvent{Attempt: r.Attempt, Tokens: r.MaxTokens, Digest: digest.Hex()}
}

// Pending implements backend.Stream.
func (s *fakeStream) Pending() bool { return len(s.queue) > 0 }

// Close implements backend.Stream.
func (s *fakeStream) Close() { s.engines.count(-1) }

// openGate is a Gate that lets all work pass.
type openGate struct{}

// Check implements Gate.
func (openGate) Check(uint64) error { return nil }

// lapsingGate is a Gate that lets the first work pass only.
type lapsingGate struct{ passed atomic.Bool }

// Check implements Gate.
func (g *lapsingGate) Check(uint64) error {
	if g.passed.Swap(true) {
		return lease.ErrLapsed
	}
	return nil
}

// newRunner returns a [Runner] for one entry with count fake engines.
func (f *fakeEngines) newRunner(count int) *Runner {
	c := clock.NewRuntime()
	tracker := routing.NewTracker(c)
	config := &settings.Configuration{Models: map[string]settings.Model{"drafting": {Engines: make(map[string]settings.Engine)}}}
	for i := range count {
		config.Models["drafting"].Engines[fmt.Sprintf("engine-%d", i)] = settings.Engine{URL: fmt.Sprintf("http://engine-%d", i)}
	}
	tracker.Configure(config)
	for i, version := range f.software {
		tracker.ApplyReport(fmt.Sprintf("engine-%d", i), backend.LoadReport{Role: settings.RoleMixed, Software: version}, c.Now())
	}
	inForce := &atomic.Pointer[settings.Configuration]{}
	inForce.Store(config)
	return New(Options{
		Settings: inForce,
		Gate:     openGate{},
		Clock:    c,
		Tracker:  tracker,
		Picker:   routing.LeastRequests{},
		Engines:  f,
		Outliers: outlier.NewSet(c),
		Budget:   retry.NewBudget(retry.DefaultShare, retry.DefaultReserve),
		Random:   rand.Float64,
	})
}

// fakeCaller collects an answer, over several connections if need be. It
// implements Sink.
type fakeCaller struct {
	// disconnectAfter is how many more tokens the connection carries; if
	// negative, it carries all.
	disconnectAfter int
	injected        injectedFault
	offsets         []int
	text            string
	done            *backend.DoneEvent
}

type injectedFault string

const (
	duplicatesToken injectedFault = "a token is delivered twice"
	dropsToken      injectedFault = "a token is lost"
	endsTruncated   injectedFault = "a truncated answer is ended like a complete one"
)

// Token implements Sink.
func (c *fakeCaller) Token(e *backend.Event) error {
	if c.disconnectAfter == 0 {
		return errCallerGone
	}
	c.disconnectAfter--
	c.take(e)
	if c.injected == duplicatesToken {
		c.take(e)
	}
	return nil
}

func (c *fakeCaller) take(e *backend.Event) {
	if c.injected == dropsToken && e.Token.Offset == 1 {
		return
	}
	c.offsets = append(c.offsets, e.Token.Offset)
	c.text += e.Token.Text
}

// Flush implements Sink.
func (c *fakeCaller) Flush() error { return nil }

// Done implements Sink.
func (c *fakeCaller) Done(d backend.DoneEvent) error {
	c.done = &d
	return nil
}

// next returns the offset at which the caller resumes.
func (c *fakeCaller) next() int {
	if len(c.offsets) == 0 {
		return 0
	}
	return c.offsets[len(c.offsets)-1] + 1
}

// check returns an error if a guarantee was broken. A caller compares the
// digest with its text, so an answer with a wrong digest is visibly incomplete
// and not an error here.
func (c *fakeCaller) check(call *Call) error {
	for i, offset := range c.offsets {
		if offset != i {
			return fmt.Errorf("got token %d at position %d", offset, i)
		}
	}
	if c.done == nil {
		return nil
	}
	if c.done.Tokens != len(c.offsets) {
		return fmt.Errorf("answer ended as complete with %d of %d tokens", len(c.offsets), c.done.Tokens)
	}
	digest := backend.NewDigest()
	digest.Add(c.text)
	if digest.Hex() == c.done.Digest && c.text != fakeengine.Answer(call.Prompt, call.MaxTokens) {
		return errors.New("wrong answer with a matching digest")
	}
	return nil
}
