package servicecall

import (
	"context"
	"errors"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
)

// dispatch sends the call unless the caller's deadline has passed. The attempt
// holds the reservation, so no other attempt sends a call with this key.
func (a *attempt) dispatch(ctx context.Context) (Answer, error) {
	if a.callerCtx.Err() != nil {
		return a.cancelReservation(ctx, refusal.DeadlinePassed, a.callerCtx.Err())
	}
	return a.send(ctx)
}

// send sends the call to the first backend server that accepts a connection. If
// the current settings name an old system, the key is claimed there first.
func (a *attempt) send(ctx context.Context) (Answer, error) {
	tried := make(map[string]bool)
	last := errNoBackend
	for {
		targets, config, err := a.p.selectTargets(a.call.Service)
		if err != nil {
			return a.cancelReservation(ctx, refusal.NoLease, err)
		}
		if !a.claimed && len(config.System.OldSystem) > 0 {
			a.claimed, err = a.claim(ctx, config)
			switch {
			case err != nil:
				return a.cancelReservation(ctx, refusal.Unavailable, err)
			case !a.claimed:
				return a.deferToOldSystem(ctx)
			}
			continue
		}
		t, ok := firstUntried(targets, tried)
		if !ok {
			return a.cancelReservation(ctx, refusal.Unavailable, last)
		}
		tried[t.name] = true
		a.p.Outliers.AttemptStarted(t.name)
		answer, err := a.p.Services.CallOnce(ctx, a.call.backendCall(t.url, a.id))
		a.p.recordResult(t, err)
		if err == nil {
			return a.storeAnswer(ctx, answer)
		}
		if !errors.Is(err, backend.ErrNotSent) {
			return a.handleLostAnswer(ctx, t, err)
		}
		last = err
	}
}

// errNoBackend means that a service has no backend server that accepts new work.
var errNoBackend = errors.New("servicecall: no backend server takes new work")

// firstUntried returns the first target that has not been tried yet.
func firstUntried(targets []target, tried map[string]bool) (target, bool) {
	for _, t := range targets {
		if !tried[t.name] {
			return t, true
		}
	}
	return target{}, false
}

// storeAnswer commits the answer and returns it. If the caller's deadline passes
// first, the caller gets the answer, which is correct, and the commit continues.
func (a *attempt) storeAnswer(ctx context.Context, answer backend.ServiceResponse) (Answer, error) {
	stop := context.AfterFunc(a.callerCtx, func() { a.report(Answer{ServiceResponse: answer}, nil) })
	defer stop()
	if _, err := a.settle(ctx, settledOutcome(answer)); err != nil {
		return Answer{ServiceResponse: answer}, nil
	}
	return Answer{ServiceResponse: answer}, nil
}

func settledOutcome(answer backend.ServiceResponse) ledger.Outcome {
	outcome := ledger.Outcome{
		State:       ledger.Settled,
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
	if len(outcome.Body) > ledger.MaxResponseBytes {
		outcome.Body = nil
		outcome.Oversized = true
	}
	return outcome
}

// handleLostAnswer handles a call that was sent but not answered. It looks the
// outcome up if the service supports that; otherwise it records the outcome as
// unknown.
func (a *attempt) handleLostAnswer(ctx context.Context, t target, cause error) (Answer, error) {
	if answer, found := a.lookUpOutcome(ctx, t); found {
		return a.storeAnswer(ctx, answer)
	}
	unknown := &refusal.Error{
		Kind:     refusal.OutcomeUnknown,
		Executed: refusal.ExecutedUnknown,
		Detail:   "the call was sent and its answer lost; it is not sent again",
		Cause:    fmt.Errorf("call %s at backend server %s: %w", a.call.Path, t.name, cause),
	}
	a.report(Answer{}, unknown)
	_, _ = a.settle(ctx, ledger.Outcome{State: ledger.Unknown})
	return Answer{}, unknown
}

// cancelReservation releases the key of a call that was not sent. The caller is
// told that the call was not executed only if the cancellation was committed
// and, where an old system is configured, this system had claimed the key.
func (a *attempt) cancelReservation(ctx context.Context, kind refusal.Kind, cause error) (Answer, error) {
	stop := context.AfterFunc(a.callerCtx, func() { a.report(a.resultAtDeadline()) })
	defer stop()
	refused := &refusal.Error{Kind: kind, Executed: refusal.ExecutedUnknown, Detail: "the call was not sent", RetryAfter: retryAfter, Cause: cause}
	result, err := a.settle(ctx, ledger.Outcome{State: ledger.Cancelled})
	if err == nil && result.Verdict == ledger.Stored {
		refused.Executed = a.executedIfNotSent()
	}
	return Answer{}, refused
}

// executedIfNotSent returns the execution status of a call that this system has
// not sent. The old system may have run a call whose key was not claimed.
func (a *attempt) executedIfNotSent() refusal.Executed {
	if len(a.p.Settings.Load().System.OldSystem) > 0 && !a.claimed {
		return refusal.ExecutedUnknown
	}
	return refusal.ExecutedNo
}

// lookUpOutcome asks the service for the outcome of the key. Only a found outcome
// is conclusive: if the service does not know the key, the call may still be in
// flight.
func (a *attempt) lookUpOutcome(ctx context.Context, t target) (backend.ServiceResponse, bool) {
	if a.rule.Lookup == "" {
		return backend.ServiceResponse{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, a.rule.Timeout.Std())
	defer cancel()
	call := a.call.backendCall(t.url, a.id)
	call.URL = t.url + "/" + a.rule.Lookup
	answer, found, err := a.p.Services.Lookup(ctx, call)
	return answer, found && err == nil
}
