package servicecall

import (
	"context"
	"errors"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// maxAttempts limits the attempts of one idempotent call.
	maxAttempts = 3
	// retryAfter is the suggested delay before a retry when the backlog is
	// unknown.
	retryAfter = time.Second
)

// backoff is the delay between the attempts of one call or ledger command.
var backoff = retry.Backoff{Base: 20 * time.Millisecond, Max: 500 * time.Millisecond}

// RunIdempotent runs an idempotent call and retries it on other backend servers
// within the retry budget. An error is a *refusal.Error.
func (p *Protocol) RunIdempotent(ctx context.Context, call *Call, rule settings.Call) (Answer, error) {
	tried := make(map[string]bool)
	executed := refusal.ExecutedNo
	last := errNoBackend
	for try := range maxAttempts {
		if try > 0 && !p.waitForRetry(ctx, try-1) {
			break
		}
		targets, _, err := p.selectTargets(call.Service)
		if err != nil {
			return Answer{}, &refusal.Error{Kind: refusal.NoLease, Executed: executed, Detail: "this entry may not take new work; use another address", RetryAfter: retryAfter, Cause: err}
		}
		t, ok := firstUntried(targets, tried)
		if !ok {
			break
		}
		tried[t.name] = true
		answer, err := p.tryOnce(ctx, call, t, rule)
		if err == nil {
			p.Budget.Success()
			return Answer{ServiceResponse: answer}, nil
		}
		last = err
		if !errors.Is(err, backend.ErrNotSent) {
			executed = refusal.ExecutedUnknown
		}
		if ctx.Err() != nil {
			return Answer{}, &refusal.Error{Kind: refusal.DeadlinePassed, Executed: executed, Detail: "the time for the call ran out", RetryAfter: retryAfter, Cause: err}
		}
	}
	return Answer{}, &refusal.Error{Kind: refusal.Unavailable, Executed: executed, Detail: "no backend server of the service answered", RetryAfter: retryAfter, Cause: last}
}

// waitForRetry spends one retry of the budget and waits for the backoff. It
// reports false if the budget is used up or ctx is done.
func (p *Protocol) waitForRetry(ctx context.Context, retry int) bool {
	return p.Budget.Spend() && clock.Sleep(ctx, backoff.Pause(retry, p.Random))
}

func (p *Protocol) tryOnce(ctx context.Context, call *Call, t target, rule settings.Call) (backend.ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, rule.Timeout.Std())
	defer cancel()
	p.Outliers.AttemptStarted(t.name)
	answer, err := p.Services.Call(ctx, call.backendCall(t.url, p.NewAttempt()))
	p.recordResult(t, err)
	return answer, err
}

// recordResult reports the result of a call to outlier detection. Calls that
// were cancelled count neither as a success nor as a failure.
func (p *Protocol) recordResult(t target, err error) {
	switch {
	case err == nil:
		p.Outliers.Success(t.name)
	case errors.Is(err, context.Canceled):
	default:
		p.Outliers.Failure(t.name)
	}
}
