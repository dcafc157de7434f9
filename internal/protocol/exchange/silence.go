package exchange

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

const (
	// For a repeatable stream whose server sends no event another server is looked for
	// after minStallTimeout or stallTimeoutGaps times the route's event gap,
	// whichever is longer. Callers disconnect after two seconds or eight times that
	// gap, and the next server needs part of that time.
	minStallTimeout  = 1100 * time.Millisecond
	stallTimeoutGaps = 5
	// replacementRetryInterval is the time between two tries to find another server
	// for an attempt whose server is silent.
	replacementRetryInterval = 250 * time.Millisecond
)

// silenceGuard ends an attempt whose server is silent, but only once another server has
// begun to answer: a silent server may go on, and until then it is the only one that
// does. A nil *silenceGuard is valid and does nothing.
//
// prepare runs in a goroutine of its own and uses the state of the exchange. The
// goroutine of the exchange must not, from the start of a blocking call to the server
// until stop or fail has returned.
type silenceGuard struct {
	parent  context.Context
	timeout time.Duration
	// prepare obtains a replacement and returns a function that gives it up again, or
	// nil if there is none.
	prepare func(ctx context.Context) (undo func())
	// abandon ends the attempt, so that the blocking call returns.
	abandon func()

	mu    sync.Mutex // guards the fields below
	timer *time.Timer
	armed bool
	// due is when the timer is to fire: a run of fire that was overtaken by a restart
	// may come before it, or later.
	due time.Time
	// cancel and done belong to the preparation that is running, if any. failed is set
	// if the attempt has failed meanwhile.
	cancel context.CancelFunc
	done   chan struct{}
	failed bool
	// undo is set once there is a replacement, and panicked to the reason if prepare
	// panicked. abandoned is set once the attempt has been ended.
	undo      func()
	panicked  any
	abandoned bool
}

// guardSilence starts a guard.
func guardSilence(parent context.Context, timeout time.Duration, prepare func(ctx context.Context) (undo func()), abandon func()) *silenceGuard {
	g := &silenceGuard{parent: parent, timeout: timeout, prepare: prepare, abandon: abandon, armed: true}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.due = time.Now().Add(timeout)
	g.timer = time.AfterFunc(timeout, g.fire)
	return g
}

// fire prepares a replacement and abandons the attempt for it. Without one it tries
// again later.
func (g *silenceGuard) fire() {
	ctx := g.beginPreparation()
	if ctx == nil {
		return
	}
	undo, panicked := g.tryPrepare(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case panicked != nil:
		g.armed, g.panicked = false, panicked
		g.abandon()
	case undo != nil && g.armed:
		g.armed, g.undo, g.abandoned = false, undo, true
		g.abandon()
	case undo != nil && g.failed:
		g.undo = undo
	case undo != nil:
		undo()
	case g.armed:
		g.schedule(replacementRetryInterval)
	}
	g.cancel()
	g.cancel = nil
	close(g.done)
}

// tryPrepare calls prepare and returns the reason if that panics, which end passes on:
// a panic in the goroutine of a timer would end the process.
func (g *silenceGuard) tryPrepare(ctx context.Context) (undo func(), panicked any) {
	defer func() { panicked = recover() }()
	return g.prepare(ctx), nil
}

// schedule sets the timer. g.mu must be held.
func (g *silenceGuard) schedule(after time.Duration) {
	g.due = time.Now().Add(after)
	g.timer.Reset(after)
}

// beginPreparation returns the context of a new preparation, or nil if the guard has
// been stopped or restarted, or another preparation is running.
func (g *silenceGuard) beginPreparation() context.Context {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.armed || g.cancel != nil || time.Now().Before(g.due) {
		return nil
	}
	var ctx context.Context
	ctx, g.cancel = context.WithCancel(g.parent)
	g.done = make(chan struct{})
	return ctx
}

// stop ends the guard and waits for a preparation that is running. It reports whether
// the attempt has been abandoned for a replacement.
func (g *silenceGuard) stop() bool {
	return g.end(false)
}

// fail ends the guard of an attempt that has failed with err. A preparation that is
// running goes on and is waited for: its replacement may follow. If the attempt was
// abandoned, the error returned matches errSilent.
func (g *silenceGuard) fail(err error) error {
	if g.end(true) {
		return fmt.Errorf("%w: %w", errSilent, err)
	}
	return err
}

// end implements stop and fail.
func (g *silenceGuard) end(failed bool) (abandoned bool) {
	if g == nil {
		return false
	}
	g.mu.Lock()
	g.armed, g.failed = false, failed
	g.timer.Stop()
	cancel, done := g.cancel, g.done
	g.mu.Unlock()
	if cancel != nil {
		if !failed {
			cancel()
		}
		<-done
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.panicked != nil {
		panic(g.panicked)
	}
	return g.abandoned
}

// replaced reports whether there is a replacement. It may be called once the guard has
// ended.
func (g *silenceGuard) replaced() bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.undo != nil
}

// stopAfter ends the guard after a call that returned err.
func (g *silenceGuard) stopAfter(err error) error {
	if err != nil {
		return g.fail(err)
	}
	g.stop()
	return nil
}

// restart starts a guard again that was stopped, unless there is a replacement.
func (g *silenceGuard) restart() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.undo == nil {
		g.armed = true
		g.schedule(g.timeout)
	}
}

// guardStream returns a guard for a stream, or nil if it can't go on at another server.
func (x *exchange) guardStream(ctx context.Context, s *startedAttempt) *silenceGuard {
	if !x.mayReplace() {
		return nil
	}
	timeout := max(minStallTimeout, stallTimeoutGaps*x.request.Route.EventGap)
	return guardSilence(ctx, timeout, x.replacing(ctx, s.attempt, timeout), func() { _ = s.response.Body.Close() })
}

// guardCall returns a guard for a safe call that is being sent, or nil if it must not be
// sent again or has no objective.
func (x *exchange) guardCall(ctx context.Context, a Attempt, abandon func()) *silenceGuard {
	r := x.request.Route
	if r.Kind != route.Safe || r.Objective <= 0 || !x.mayReplace() {
		return nil
	}
	timeout := attemptTimeoutObjectives * r.Objective
	return guardSilence(ctx, timeout, x.replacing(ctx, a, timeout), abandon)
}

// mayReplace reports whether another attempt may follow the one in progress.
func (x *exchange) mayReplace() bool {
	return x.request.Route.Repeatable() && x.mayRetry()
}

// replacing returns a function that starts the next attempt while the server of another
// one is silent. ctx is that of the exchange. While a third attempt could follow, the next
// one gets no more time than timeout to begin its response.
func (x *exchange) replacing(ctx context.Context, silent Attempt, timeout time.Duration) func(preparing context.Context) (undo func()) {
	return func(preparing context.Context) (undo func()) {
		x.silentEngine = silent.Engine.ID
		defer func() { x.silentEngine = "" }()
		next, err := x.startElsewhere(ctx, preparing, timeout)
		if err != nil {
			if preparing.Err() == nil { // else the server has gone on, or the request has ended
				x.keepSilent(silent.Engine.ID, err)
			}
			return nil
		}
		x.next = next
		return x.discardNext
	}
}

// startElsewhere starts an attempt at another server than the silent one. It has no prompt
// prefilled that no server can decode.
func (x *exchange) startElsewhere(ctx, preparing context.Context, timeout time.Duration) (*startedAttempt, error) {
	if !x.mayReplace() || x.request.Prompt != nil && len(x.candidates(placement.CanDecode)) == 0 {
		return nil, errNoServer
	}
	placed, err := x.place(preparing)
	if err != nil {
		return nil, err
	}
	if !x.mayReplace() { // prefill calls may have failed meanwhile
		x.discard(placed)
		return nil, errNoServer
	}
	if x.runs+1 < x.request.Route.MaxAttempts {
		var cancel context.CancelFunc
		preparing, cancel = context.WithTimeout(preparing, timeout)
		defer cancel()
	}
	s, err := x.start(ctx, preparing, placed, false)
	if err != nil {
		return nil, err
	}
	if err := x.checkReplacement(s); err != nil {
		s.end()
		x.recordFailure(preparing, s.attempt, "server error", err)
		return nil, err
	}
	return s, nil
}

// checkReplacement returns an error unless the response can take the place of a silent
// one.
func (x *exchange) checkReplacement(s *startedAttempt) error {
	switch {
	case !s.response.Success:
		return &ServerError{Status: s.response.Status, Engine: s.attempt.Engine.ID}
	case x.streamBegun && !s.response.EventStream:
		return errPlainResponse
	}
	return nil
}

// keepSilent reports, once for each attempt, that its server is silent and stays.
func (x *exchange) keepSilent(engine string, err error) {
	if x.notReplaced == engine {
		return
	}
	x.notReplaced = engine
	x.options.Outlier.Unanswered(engine)
	x.options.Log.Info("silent server not replaced", "request", x.request.ID, "engine", engine, "left_ms", x.remaining().Milliseconds(), "error", err)
}

// preparePrefill pays for the call that replaces a silent prefill call.
func (x *exchange) preparePrefill(context.Context) (undo func()) {
	r, ok := x.takeRetry()
	if !ok {
		return nil
	}
	x.paidRetries = append(x.paidRetries, r)
	return x.returnPaidRetries
}
