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
	// lateAnswerWindow is how long an attempt stays open for a late answer after
	// its caller was answered.
	lateAnswerWindow = time.Minute
	// commandTimeout bounds one try to commit a ledger command.
	commandTimeout = 5 * time.Second
	// maxConcurrentAttempts bounds the attempts of one entry, those without a caller
	// included.
	maxConcurrentAttempts = 4096
	// minPollInterval and lastPoll bound the pauses between looks at a call that
	// another attempt runs.
	minPollInterval = 50 * time.Millisecond
	maxPollInterval = time.Second
)

// attempt is one caller's try to have a non-idempotent call run. Its goroutine
// outlives the caller, so that an outcome is stored even if the caller left.
type attempt struct {
	p      *Protocol
	call   *Call
	rule   settings.Call
	config *settings.Configuration
	id     string
	key    ledger.Key
	digest []byte
	// claimed tells that the old system's key memory gave the key to us.
	claimed bool
	// callerCtx ends when the callerCtx's time is over.
	callerCtx context.Context
	result    chan result
}

// result is what an attempt came to.
type result struct {
	answer Answer
	err    error
}

// Once runs a non-idempotent call at most once under its key. It returns when
// the outcome is known or ctx ends, whichever comes first. An error is a
// *refusal.Error.
func (p *Protocol) Once(ctx context.Context, call *Call, rule settings.Call) (Answer, error) {
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
		return Answer{}, &refusal.Error{Kind: refusal.Overloaded, Executed: refusal.Unknown, Detail: "too many calls wait for their outcome", RetryAfter: retryAfter}
	}
	select {
	case r := <-a.result:
		return r.answer, r.err
	case <-ctx.Done():
		return a.resultAtDeadline()
	}
}

// start starts an attempt in a goroutine of its own, unless there are too many.
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

// resultAtDeadline answers a caller whose time is over. A result that is already there
// still counts.
func (a *attempt) resultAtDeadline() (Answer, error) {
	select {
	case r := <-a.result:
		return r.answer, r.err
	default:
	}
	return Answer{}, &refusal.Error{
		Kind:       refusal.DeadlinePassed,
		Executed:   refusal.Unknown,
		Detail:     "the time for the call ran out; ask again with the same key",
		RetryAfter: retryAfter,
	}
}

func (a *attempt) run() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(a.callerCtx), a.rule.Timeout.Std()+lateAnswerWindow)
	defer cancel()
	a.report(a.execute(ctx))
}

// report hands the result to the caller, the first time only.
func (a *attempt) report(answer Answer, err error) {
	select {
	case a.result <- result{answer: answer, err: err}:
	default:
	}
}

// execute reserves the key and acts on the verdict.
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

// reserve commits the reservation. It submits the same attempt again while
// the caller waits, since an answer may be lost.
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

// settle commits an outcome. It keeps trying until ctx ends.
func (a *attempt) settle(ctx context.Context, outcome ledger.Outcome) (ledger.Result, error) {
	return a.submit(ctx, ctx, &store.Command{Settle: &ledger.Settle{
		Key:           a.key,
		Attempt:       a.id,
		Outcome:       outcome,
		RequestDigest: a.digest,
		AtUnixMilli:   a.p.Clock.Wall().UnixMilli(),
	}})
}

// submit commits a command; patience ends the tries.
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

// abandon gives up a call whose reservation was not answered. The caller is
// told at once; the cancellation follows, so that the key does not stay
// reserved by a call that was never sent.
func (a *attempt) abandon(ctx context.Context, cause error) (Answer, error) {
	a.report(Answer{}, &refusal.Error{
		Kind:       refusal.LedgerUnreachable,
		Executed:   refusal.Unknown,
		Detail:     "the idempotency ledger did not answer; ask again with the same key",
		RetryAfter: retryAfter,
		Cause:      cause,
	})
	_, err := a.settle(ctx, ledger.Outcome{State: ledger.Cancelled})
	return Answer{}, err
}

// refusalFor returns the refusal for a verdict that ends the call.
func (a *attempt) refusalFor(verdict ledger.Verdict) error {
	switch verdict {
	case ledger.Mismatch:
		return &refusal.Error{Kind: refusal.KeyReused, Executed: refusal.Unknown, Detail: "the key belongs to another request, which may have been run"}
	case ledger.TooOld:
		return &refusal.Error{Kind: refusal.KeyTooOld, Executed: refusal.Unknown, Detail: "the key is older than the retention of outcomes"}
	case ledger.Ahead:
		return &refusal.Error{Kind: refusal.Invalid, Executed: a.executedIfNotSent(), Detail: "the issue time of the key lies in the future"}
	case ledger.Full:
		return &refusal.Error{Kind: refusal.Overloaded, Executed: a.executedIfNotSent(), Detail: "the idempotency ledger is full", RetryAfter: time.Minute}
	}
	return &refusal.Error{Kind: refusal.OutcomeUnknown, Executed: refusal.Unknown, Detail: "the attempt was cancelled", RetryAfter: retryAfter}
}

func inProgress(record ledger.Record) error {
	return &refusal.Error{
		Kind:       refusal.InProgress,
		Executed:   refusal.Unknown,
		Detail:     "entry " + record.Reserve.Entry + " is still running the call; ask again with the same key",
		RetryAfter: retryAfter,
	}
}
