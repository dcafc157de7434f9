package servicecall

import (
	"context"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
)

// answerFromRecord answers a call whose key is reserved by another attempt. It
// reports false if that attempt may still produce an outcome.
func (a *attempt) answerFromRecord(ctx context.Context, record ledger.Record) (Answer, bool, error) {
	switch record.Outcome.State {
	case ledger.Settled:
		answer, err := storedAnswer(record.Outcome)
		return answer, true, err
	case ledger.OldSystem:
		answer, err := a.forward(ctx)
		return answer, true, err
	case ledger.Unknown:
		return a.resolveLostOutcome(ctx, record)
	}
	if a.p.Holders != nil && a.p.Holders.Gone(record.Reserve.Entry, record.Reserve.Incarnation) {
		return a.resolveLostOutcome(ctx, record)
	}
	return Answer{}, false, nil
}

// storedAnswer returns the answer that is stored in a settled outcome.
func storedAnswer(outcome ledger.Outcome) (Answer, error) {
	if outcome.Oversized {
		return Answer{}, &refusal.Error{Kind: refusal.AnswerNotKept, Executed: refusal.ExecutedYes, Detail: "the call was run; its answer was too large to be kept"}
	}
	answer := backend.ServiceResponse{Status: outcome.Status, ContentType: outcome.ContentType, Body: outcome.Body}
	return Answer{ServiceResponse: answer, Repeated: true}, nil
}

// resolveLostOutcome looks up the outcome of a call whose reserving attempt has
// ended without one, and settles the reservation with it.
func (a *attempt) resolveLostOutcome(ctx context.Context, record ledger.Record) (Answer, bool, error) {
	reservationOwner := *a
	reservationOwner.id = record.Reserve.Attempt
	for _, t := range a.p.orderTargets(a.p.Settings.Load(), a.call.Service) {
		answer, found := a.lookUpOutcome(ctx, t)
		if !found {
			continue
		}
		result, err := reservationOwner.settle(a.callerCtx, settledOutcome(answer))
		if err == nil && result.Verdict == ledger.Stored {
			answer, err := storedAnswer(result.Record.Outcome)
			return answer, true, err
		}
		break
	}
	return Answer{}, true, &refusal.Error{
		Kind:     refusal.OutcomeUnknown,
		Executed: refusal.ExecutedUnknown,
		Detail:   "the call may have been run and its answer is lost; it is not sent again",
	}
}
