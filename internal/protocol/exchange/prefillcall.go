package exchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefillqueue"
)

// errPrefillFailed means that an engine failed a prefill call. The cause has
// been logged.
var errPrefillFailed = errors.New("prefill call failed")

// prefillCall is one call to an engine that prefills a prompt.
type prefillCall struct {
	prompt placement.Prompt
	// prefix is the key of the shared prefix, of which there are prefixTokens, and holders
	// are the engines that last prefilled it.
	prefix       string
	prefixTokens int
	holders      []fleet.Engine
	chosen       placement.PrefillChoice
	// hold is what the prompt needs of the engine's KV cache.
	hold    *kvHold
	attempt Attempt
	// silent is set once the guard has given the engine up, and handle once the call has
	// succeeded.
	guard  *silenceGuard
	silent bool
	handle string
}

// prefillOnce waits in the prefill queue and then has one engine prefill the
// prompt. It returns errPrefillFailed if that engine failed.
func (x *exchange) prefillOnce(ctx context.Context, prompt placement.Prompt) (*KVSource, error) {
	queuedAt := time.Now()
	grant, err := x.acquire(ctx, x.queueEntry(prompt))
	if err != nil {
		return nil, fmt.Errorf("wait for a prefill engine: %w", err)
	}
	p, err := x.choosePrefill(ctx, prompt)
	if p == nil {
		grant.Release()
		return nil, err
	}
	if err := x.payPrefill(); err != nil {
		p.hold.end()
		grant.Release()
		return nil, err
	}
	x.logPlaced("prefill", p.chosen.Candidate, append(x.estimated(p.chosen.Estimate), "prefix", p.prefix, "holders", engineIDs(p.holders), "tokens", p.chosen.Tokens,
		"fetch_from", engineID(p.chosen.FetchFrom), "queued_ms", time.Since(queuedAt).Milliseconds())...)
	err = x.callPrefill(ctx, p, grant)
	grant.Release()
	if err != nil {
		return nil, x.prefillFailed(ctx, p, err)
	}
	return x.prefilled(p), nil
}

// choosePrefill chooses an engine with room for the prompt. The call is nil if there is none;
// without an error the prompt isn't prefilled apart then.
func (x *exchange) choosePrefill(ctx context.Context, prompt placement.Prompt) (*prefillCall, error) {
	p := &prefillCall{prompt: prompt}
	p.prefix, p.prefixTokens = prompt.Shared()
	decode := x.decodeEngines()
	p.holders = x.holdersOf(p.prefix)
	inPhase, decodable, need := placement.InPhase(fleet.Prefill), placement.OfVersionAmong(decode), prompt.PrefillMemory()
	for {
		memory := x.memory(true)
		_, ok := x.admit(func(candidates []placement.Candidate) (placement.Candidate, bool) {
			choice, ok := x.policy.ForPrefill(x.work(), p.holders, candidates, decode)
			p.chosen = choice
			return choice.Candidate, ok
		}, inPhase, decodable, memory.HasRoom(need))
		if ok {
			if p.hold, ok = x.holdMemory(memory, p.chosen.Engine, need); ok {
				return p, nil
			}
			continue
		}
		if x.awaitMemory(ctx, memory, need, inPhase, decodable) {
			continue
		}
		if x.lacksMemory {
			return nil, ErrNoMemory
		}
		return nil, nil
	}
}

// payPrefill checks whether the call may be made and counts it. Only the first call that
// reaches an engine costs no retry.
func (x *exchange) payPrefill() error {
	if err := x.checkStart(); err != nil {
		return err
	}
	if (x.prefillCalls > 0 || x.arrivedSends() > 0) && !x.spendRetry() {
		return errRetryBudget
	}
	x.prefillCalls++
	return nil
}

// callPrefill makes the call and, if it succeeds, records what it shows of the engine.
func (x *exchange) callPrefill(ctx context.Context, p *prefillCall, grant *prefillqueue.Grant) error {
	chosen := p.chosen
	p.attempt = x.newAttempt(chosen.Engine)
	p.attempt.FetchFrom = chosen.FetchFrom
	finished := x.options.Tracker.AddWork(chosen.ID, fleet.Load{PromptTokens: chosen.Tokens})
	x.options.Outlier.AttemptStarted(chosen.ID)
	// The engine may have evicted the shared prefix, so the time limit covers the
	// whole prompt.
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.guard = guardSilence(ctx, prefillTimeout(chosen.Load.PromptTokens+p.prompt.Tokens), x.preparePrefill, cancel)
	p.attempt.waiter = x.waitAt(p.attempt)
	handle, err := x.sender.Prefill(callCtx, p.attempt)
	if err == nil {
		p.attempt.waiter.heard()
	}
	p.attempt.waiter.end()
	p.silent = p.guard.stop()
	finished()
	if err != nil {
		return err
	}
	p.handle = handle
	left := x.options.Tracker.Load(chosen.ID).PromptTokens
	grant.Prefilled(chosen.Load.PromptTokens, chosen.Tokens, left)
	x.learnPrefill(p.attempt, chosen, p.prefixTokens, left)
	x.demand().SetEngineRate(x.request.Service.Name, grant.EngineRate())
	return nil
}

// prefilled records a call that has succeeded and returns where the KV cache is.
func (x *exchange) prefilled(p *prefillCall) *KVSource {
	if p.silent {
		p.guard.undo()
	}
	x.options.Outlier.Success(p.chosen.ID)
	x.options.Prefixes.RecordPrefill(p.prefix, p.prefixTokens, p.chosen.Engine)
	return &KVSource{Engine: p.chosen.Engine, Handle: p.handle, hold: p.hold}
}

// prefillFailed records a call that has failed. It returns errPrefillFailed, or the error of
// ctx if that has ended.
func (x *exchange) prefillFailed(ctx context.Context, p *prefillCall, err error) error {
	if errors.Is(err, ErrNotRun) {
		p.hold.end()
	} else {
		p.hold.endWithin(x.request.Service.Engine) // the engine may still prefill the prompt
	}
	if errors.Is(err, ErrNotSent) {
		x.prefillCalls--
	}
	if p.silent {
		err = fmt.Errorf("%w: %w", errSilent, err)
	}
	if ctx.Err() != nil {
		x.checkCrash(ctx, p.attempt, err, false)
		return ctx.Err()
	}
	x.recordFailure(ctx, p.attempt, "prefill", err)
	x.checkCrash(ctx, p.attempt, err, false)
	return errPrefillFailed
}
