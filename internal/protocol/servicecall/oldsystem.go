package servicecall

import (
	"context"
	"errors"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// errNoOldSystemClient means that the settings name an old system but this
// process has no client for it.
var errNoOldSystemClient = errors.New("servicecall: no client for the old system")

// oldSystemCall returns the request that is sent to the old system, whose caller
// API has the same paths. Its URL lacks the base URL.
func (a *attempt) oldSystemCall() backend.ServiceCall {
	return a.call.backendCall("/v1/services/"+a.call.Service, a.id)
}

// claim claims the key in the old system's key registry before the first send.
// While both systems run, a key belongs to the system that claimed it first, so
// a call whose claim is not answered is not sent.
func (a *attempt) claim(ctx context.Context, config *settings.Configuration) (bool, error) {
	if a.p.OldSystem == nil {
		return false, errNoOldSystemClient
	}
	ctx, cancel := context.WithTimeout(ctx, a.rule.Timeout.Std())
	defer cancel()
	owned, err := a.p.OldSystem.Claim(ctx, config.System.OldSystem, a.call.Service, a.oldSystemCall())
	if err != nil {
		return false, fmt.Errorf("claim key at the old system: %w", err)
	}
	return owned, nil
}

// deferToOldSystem records that the old system owns the key and returns the old
// system's answer.
func (a *attempt) deferToOldSystem(ctx context.Context) (Answer, error) {
	if _, err := a.settle(ctx, ledger.Outcome{State: ledger.OldSystem}); err != nil {
		return Answer{}, &refusal.Error{Kind: refusal.LedgerUnreachable, Executed: refusal.ExecutedUnknown, Detail: "the old system has the key", RetryAfter: retryAfter, Cause: err}
	}
	return a.forward(ctx)
}

// forward asks the old system for the answer to a call whose key it owns.
func (a *attempt) forward(ctx context.Context) (Answer, error) {
	if a.p.OldSystem == nil {
		return Answer{}, &refusal.Error{Kind: refusal.OutcomeUnknown, Executed: refusal.ExecutedUnknown, Detail: "the old system has the key", Cause: errNoOldSystemClient}
	}
	ctx, cancel := context.WithTimeout(ctx, a.rule.Timeout.Std())
	defer cancel()
	answer, err := a.p.OldSystem.Forward(ctx, a.p.Settings.Load().System.OldSystem, a.oldSystemCall())
	if err != nil {
		return Answer{}, &refusal.Error{Kind: refusal.OutcomeUnknown, Executed: refusal.ExecutedUnknown, Detail: "the old system has the key and did not answer", RetryAfter: retryAfter, Cause: err}
	}
	return Answer{ServiceResponse: answer, Repeated: true}, nil
}
