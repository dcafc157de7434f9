package servicecall

import (
	"context"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/refusal"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

const (
	// lateAnswerWindow is how long an attempt continues beyond the call's
	// timeout to record a late answer.
	lateAnswerWindow = time.Minute
	// commandTimeout bounds one attempt to commit a ledger command.
	commandTimeout = 5 * time.Second
	// maxConcurrentAttempts limits the attempts that one entry runs at a time,
	// including those whose caller has disconnected.
	maxConcurrentAttempts = 4096
	// minPollInterval and maxPollInterval bound the interval at which the
	// ledger is polled for the outcome of another attempt's call.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// attempt is one caller's attempt to run a non-idempotent call. Its goroutine
// may outlive the caller, so that an outcome is stored even if the caller has
// disconnected.
type attempt struct {
	p      *Protocol
	call   *Call
	rule   settings.Call
	config *settings.Configuration
	id     string
	key    ledger.Key
	digest []byte
	// claimed reports whether this system claimed the key in the old system's
	// key registry.
	claimed bool
	// callerCtx is done when the caller's deadline has passed or the caller
	// has disconnected.
	callerCtx context.Context
	result    chan result
}

// result is the result of an attempt.
type result struct {
	answer Answer
	err    error
}

// RunAtMostOnce runs a non-idempotent call at most once for its key. It returns when the
// outcome is known or ctx is done, whichever comes first. An error is a
// *refusal.Error.
func (p *Protocol) RunAtMostOnce(ctx context.Context, call *Call, rule settings.Call) (Answer, error) {
	a := &attempt{
		p:         p,
		call:      call,
		rule:      rule,
		config:    p.Settings.Load(),
		id:        p.NewAttempt(),
		key:       ledger.Key{Service: call.Service, Customer: call.Customer, IdempotencyKey: call.Key},
		digest:    call.Digest(),
		callerCtx: ctx,
		result:    make(chan result, 1),
	}
	if !p.start(a) {
		return Answer{}, &refusal.Error{Kind: refusal.Overloaded, Executed: refusal.ExecutedUnknown, Detail: "too many calls wait for their outcome", RetryAfter: retryAfter}
	}
	select {
	case r := <-a.result:
		return r.answer, r.err
	case <-ctx.Done():
		return a.resultAtDeadline()
	}
}

// start starts an attempt in its own goroutine. It reports false if too many
// attempts are running.
func (p *Protocol) start(a *attempt) bool {
	if p.activeAttempts.Add(1) > maxConcurrentAttempts {
		p.activeAttempts.Add(-1)
		return false
	}
	p.running.Go(func() {
		defer p.activeAttempts.Add(-1)
		a.run()
	})
	return true
}

// resultAtDeadline returns the result for a caller whose context is done: the
// attempt's result if it is available, and a refusal otherwise.
func (a *attempt) resultAtDeadline() (Answer, error) {
	select {
	case r := <-a.result:
		return r.answer, r.err
	default:
	}
	return Answer{}, &refusal.Error{
		Kind:       refusal.DeadlinePassed,
		Executed:   refusal.ExecutedUnknown,
		Detail:     "the time for the call ran out; ask again with the same key",
		RetryAfter: retryAfter,
	}
}

func (a *attempt) run() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.callerCtx), a.rule.Timeout.Std()+lateAnswerWindow)
	defer cancel()
	a.report(a.execute(ctx))
}

// report delivers the result to the caller. Only the first result counts.
func (a *attempt) report(answer Answer, err error) {
	select {
	case a.result <- result{answer: answer, err: err}:
	default:
	}
}

// execute reserves the key and then sends the call, waits for the attempt that
// holds the key or refuses the call.
func (a *attempt) execute(ctx context.Context) (Answer, error) {
	for pause := minPollInterval; ; pause = min(2*pause, maxPollInterval) {
		reserved, err := a.reserve(ctx)
		if err != nil {
			return a.abandon(ctx, err)
		}
		switch reserved.Verdict {
		case ledger.Granted:
			return a.dispatch(ctx)
		case ledger.Taken:
			answer, finished, err := a.answerFromRecord(ctx, reserved.Record)
			if finished {
				return answer, err
			}
		default:
			return Answer{}, a.refusalFor(reserved.Verdict)
		}
		if !clock.Sleep(a.callerCtx, pause) {
			return Answer{}, inProgress(reserved.Record)
		}
	}
}

// reserve commits the reservation. The ledger's answer may be lost, so it submits
// the same attempt again for as long as the caller waits.
func (a *attempt) reserve(ctx context.Context) (ledger.Result, error) {
	return a.submit(ctx, a.callerCtx, &store.Command{Reserve: &ledger.Reserve{
		Key:            a.key,
		RequestDigest:  a.digest,
		Entry:          a.p.Entry,
		Incarnation:    a.p.Incarnation,
		Attempt:        a.id,
		AtUnixMilli:    a.p.Clock.Wall().UnixMilli(),
		RetentionMilli: a.config.System.LedgerRetention.Std().Milliseconds(),
		Call:           a.call.Path,
	}})
}

// settle commits an outcome. It retries until ctx is done.
func (a *attempt) settle(ctx context.Context, outcome ledger.Outcome) (ledger.Result, error) {
	return a.submit(ctx, ctx, &store.Command{Settle: &ledger.Settle{
		Key:           a.key,
		Attempt:       a.id,
		Outcome:       outcome,
		RequestDigest: a.digest,
		AtUnixMilli:   a.p.Clock.Wall().UnixMilli(),
	}})
}

// submit commits a command. It retries until retryCtx is done.
func (a *attempt) submit(ctx, retryCtx context.Context, command *store.Command) (ledger.Result, error) {
	for try := 0; ; try++ {
		limited, cancel := context.WithTimeout(ctx, commandTimeout)
		result, err := a.p.Ledger.Submit(limited, command)
		cancel()
		if err == nil {
			return *result.Ledger, nil
		}
		if !clock.Sleep(retryCtx, backoff.Pause(try, a.p.Random)) {
			return ledger.Result{}, err
		}
	}
}

// abandon gives up a call whose reservation was not confirmed. It answers the
// caller immediately and then cancels the reservation, so that the key does not
// stay reserved for a call that was never sent.
func (a *attempt) abandon(ctx context.Context, cause error) (Answer, error) {
	a.report(Answer{}, &refusal.Error{
		Kind:       refusal.LedgerUnreachable,
		Executed:   refusal.ExecutedUnknown,
		Detail:     "the idempotency ledger did not answer; ask again with the same key",
		RetryAfter: retryAfter,
		Cause:      cause,
	})
	_, err := a.settle(ctx, ledger.Outcome{State: ledger.Cancelled})
	return Answer{}, err
}

// refusalFor returns the refusal for a ledger verdict that ends the call.
func (a *attempt) refusalFor(verdict ledger.Verdict) error {
	switch verdict {
	case ledger.Mismatch:
		return &refusal.Error{Kind: refusal.KeyReused, Executed: refusal.ExecutedUnknown, Detail: "the key belongs to another request, which may have been run"}
	case ledger.TooOld:
		return &refusal.Error{Kind: refusal.KeyTooOld, Executed: refusal.ExecutedUnknown, Detail: "the key is older than the retention of outcomes"}
	case ledger.Ahead:
		return &refusal.Error{Kind: refusal.Invalid, Executed: a.executedIfNotSent(), Detail: "the issue time of the key lies in the future"}
	case ledger.Full:
		return &refusal.Error{Kind: refusal.Overloaded, Executed: a.executedIfNotSent(), Detail: "the idempotency ledger is full", RetryAfter: time.Minute}
	}
	return &refusal.Error{Kind: refusal.OutcomeUnknown, Executed: refusal.ExecutedUnknown, Detail: "the attempt was cancelled", RetryAfter: retryAfter}
}

func inProgress(record ledger.Record) error {
	return &refusal.Error{
		Kind:       refusal.InProgress,
		Executed:   refusal.ExecutedUnknown,
		Detail:     "entry " + record.Reserve.Entry + " is still running the call; ask again with the same key",
		RetryAfter: retryAfter,
	}
}
