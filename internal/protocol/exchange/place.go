package exchange

import (
	"context"
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/retry"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// placedAttempt is an attempt whose server is chosen, whose prompt is prefilled where
// that is another server's work, and whose retry is paid.
type placedAttempt struct {
	attempt Attempt
	// work is the load that the attempt adds to the engine, and load that of the engine
	// when it was chosen.
	work, load fleet.Load
	// memory is what it needs of the engine's KV cache, or nil.
	memory *kvHold
	// retry is zero if the attempt is the first one.
	retry retry.Retry
}

// attempt makes the next attempt, which may have begun already. done is true if the
// caller has its response.
func (x *exchange) attempt(ctx context.Context) (done bool, err error) {
	s := x.next
	x.next = nil
	if s == nil {
		placed, err := x.place(ctx)
		if err != nil {
			return false, err
		}
		if s, err = x.start(ctx, ctx, placed, true); err != nil {
			return false, err
		}
	}
	defer s.end()
	return x.relay(ctx, s)
}

// place chooses the server of the next attempt and pays for it. Its error matches
// errIsolated if this entry reaches no server, also if that begins during the call.
func (x *exchange) place(ctx context.Context) (*placedAttempt, error) {
	if err := x.checkStart(); err != nil {
		return nil, err
	}
	reaching, stop := x.whileReaching(ctx)
	defer stop()
	p, err := x.placeReaching(reaching)
	if err != nil && reaching.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", errIsolated, err)
	}
	return p, err
}

// placeReaching implements place.
func (x *exchange) placeReaching(ctx context.Context) (*placedAttempt, error) {
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err := x.awaitServer(ctx); err != nil {
		return nil, err
	}
	var paid retry.Retry
	if x.arrivedSends() > 0 {
		var ok bool
		if paid, ok = x.takeRetry(); !ok {
			return nil, errRetryBudget
		}
	}
	choose := x.placeCall
	if x.request.Prompt != nil {
		choose = x.placePrompt
	}
	p, err := choose(ctx)
	if err != nil {
		paid.Return()
		return nil, err
	}
	p.retry = paid
	return p, nil
}

// placeCall places an attempt of a request without a declared prompt.
func (x *exchange) placeCall(ctx context.Context) (*placedAttempt, error) {
	var estimate placement.Estimate
	chosen, ok := x.choose(ctx, func(candidates []placement.Candidate) (placement.Candidate, bool) {
		choice, ok := x.policy.ForCall(x.work(), x.options.Zone, candidates)
		estimate = choice.Estimate
		return choice.Candidate, ok
	})
	if !ok {
		return nil, x.noServer()
	}
	x.logPlaced("call", chosen, x.estimated(estimate)...)
	return &placedAttempt{attempt: x.newAttempt(chosen.Engine), work: fleet.Load{Calls: 1}, load: chosen.Load}, nil
}

// discard gives back what a placed attempt holds.
func (x *exchange) discard(p *placedAttempt) {
	x.release(p.attempt.KVSource)
	p.memory.end()
	p.retry.Return()
}

// discardNext ends the attempt that has begun in place of a silent one, if there is one.
func (x *exchange) discardNext() {
	if x.next != nil {
		x.next.end()
		x.next = nil
	}
}

// takeRetry takes one retry, which may have been paid before.
func (x *exchange) takeRetry() (r retry.Retry, ok bool) {
	if n := len(x.paidRetries); n > 0 {
		r, x.paidRetries = x.paidRetries[n-1], x.paidRetries[:n-1]
		return r, true
	}
	return x.options.Budget(x.request.Service.Name).Take()
}

// spendRetry is like takeRetry, for a retry that is made at once.
func (x *exchange) spendRetry() bool {
	r, ok := x.takeRetry()
	r.Made()
	return ok
}

// returnPaidRetries gives back the retries that were paid and not made.
func (x *exchange) returnPaidRetries() {
	for _, r := range x.paidRetries {
		r.Return()
	}
	x.paidRetries = nil
}
