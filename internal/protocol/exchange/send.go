package exchange

import (
	"context"
	"errors"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// startedAttempt is an attempt whose response has begun.
type startedAttempt struct {
	attempt  Attempt
	response *Response
	// guard watches for a silent server until the response is complete, or is nil.
	guard *silenceGuard
	pace  pace
	// promptPrefilled removes the prompt from the engine's load. It is called at the
	// engine's first event.
	promptPrefilled func()
	// end closes the response and removes the attempt from the engine's load.
	end func()
}

// newAttempt returns an attempt at an engine that starts now.
func (x *exchange) newAttempt(e fleet.Engine) Attempt {
	return Attempt{Engine: e, placedAt: time.Now(), Remaining: x.remaining(), Priority: x.request.priority(), LastEventID: x.lastEventID}
}

// start sends a placed attempt. Its response lasts as long as ctx; until the response
// has begun, the attempt ends with waiting too. guarded is set unless the attempt is to
// replace another one, whose guard is at work.
func (x *exchange) start(ctx, waiting context.Context, p *placedAttempt, guarded bool) (*startedAttempt, error) {
	a, id := p.attempt, p.attempt.Engine.ID
	// The request may have waited since its last check.
	if err := x.checkStart(); err != nil {
		x.discard(p)
		return nil, err
	}
	p.retry.Made()
	x.sends++
	x.runs++ // unless the server proves otherwise
	x.options.Outlier.AttemptStarted(id)
	finished := x.options.Tracker.AddWork(id, fleet.Load{Streams: p.work.Streams, Calls: p.work.Calls})
	demandEnded := x.demand().Begin(x.request.Service.Name)
	x.endReservation()
	a.waiter = x.waitAt(a)
	x.sentAt = time.Now()
	prefilled := x.options.Tracker.AddWork(id, fleet.Load{PromptTokens: p.work.PromptTokens})
	s := &startedAttempt{attempt: a, pace: pace{load: p.load}, promptPrefilled: func() { prefilled(); a.KVSource.fetched() }}
	attemptCtx, cancel := context.WithCancel(ctx)
	s.end = func() {
		s.guard.stop()
		if s.response != nil {
			_ = s.response.Body.Close()
		}
		cancel()
		a.waiter.end()
		prefilled()
		a.KVSource.fetchedWithin(x.request.Service.Engine)
		p.memory.end()
		finished()
		demandEnded()
	}
	stopWaiting := context.AfterFunc(waiting, cancel)
	if guarded {
		s.guard = x.guardCall(ctx, a, cancel)
	}
	var err error
	s.response, err = x.sender.Send(attemptCtx, a)
	stopWaiting()
	if errors.Is(err, ErrUnusable) {
		x.countUsage()
	}
	if err = s.guard.stopAfter(err); err != nil {
		s.end()
		return nil, x.sendFailed(waiting, a, err)
	}
	a.waiter.heard()
	if !s.response.Success || !s.response.EventStream {
		x.countUsage()
	}
	a.waiter.begun.Store(s.response.Success && s.response.EventStream)
	s.response.Body = &heardBody{s.response.Body, a.waiter}
	if s.response.Success {
		x.answered(a.Engine)
	}
	return s, nil
}

// sendFailed handles an attempt without a response and returns its error.
func (x *exchange) sendFailed(ctx context.Context, a Attempt, err error) error {
	if errors.Is(err, ErrNotSent) {
		x.unsentSends++
	}
	if !errors.Is(err, ErrNotRun) {
		x.recordFailure(ctx, a, "no answer", err)
		x.checkCrash(ctx, a, err, false)
		return err
	}
	x.runs--
	x.recordFailure(ctx, a, "not run", err)
	if errors.Is(err, ErrServerNotFound) || errors.Is(err, ErrNotSent) {
		x.kvSource = a.KVSource // no engine has been asked to fetch it yet
	} else {
		x.release(a.KVSource)
	}
	return err
}

// recordFailure logs a failed attempt and reports it to outlier detection. An
// attempt that ended because its context did, such as by a disconnect of the
// caller, is not counted against the engine.
func (x *exchange) recordFailure(ctx context.Context, a Attempt, step string, err error) {
	x.failedEngines = append(x.failedEngines, a.Engine.ID)
	if linkFailed(err) {
		x.options.Isolation.Failed(a.Engine)
	}
	if errors.Is(err, ErrNotRun) {
		x.crashWatch.withdraw(a)
	}
	if errors.Is(err, ErrNotSent) {
		x.unsentAttempts++
		x.unreached = append(x.unreached, a.Engine.ID)
		x.returns.unreached(a.Engine)
	}
	if errors.Is(err, ErrServerNotFound) {
		x.confirmEnd(ctx, a.Engine, endSign{at: time.Now(), replaced: !errors.Is(err, ErrNotSent)})
		if !errors.Is(err, ErrNotSent) {
			x.returns.end(a.Engine)
		}
	}
	switch {
	case errors.Is(err, ErrServerNotFound):
		x.options.Outlier.Unreachable(a.Engine.ID)
	case errors.Is(err, errSilent):
		x.options.Outlier.Unanswered(a.Engine.ID)
	case ctx.Err() != nil:
	case errors.Is(err, ErrNotSent):
		x.options.Outlier.Unconnected(a.Engine.ID)
	case errors.Is(err, ErrFull):
		x.options.Outlier.Rejected(a.Engine.ID)
	case errors.Is(err, ErrNotRun):
		x.options.Outlier.NotRun(a.Engine.ID)
	default:
		x.options.Outlier.Failure(a.Engine.ID)
	}
	x.options.Log.Info("attempt failed", "request", x.request.ID, "route", x.request.Route.Name, "engine", a.Engine.ID,
		"peer", a.Engine.Address, "step", step, "sends", x.sends, "runs", x.runs, "left_ms", x.remaining().Milliseconds(),
		"shared_parts", x.sharedParts, "fingerprint", x.fingerprint().String(), "last_event", x.lastEventID, "error", err)
}
