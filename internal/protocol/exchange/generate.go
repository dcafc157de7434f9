package exchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/prefillqueue"
)

const (
	// minPrefillTimeout is the least time that an engine gets to read a prompt; a
	// silent one is given up before callers leave.
	minPrefillTimeout = 900 * time.Millisecond
	// minTokensPerMs is a reading speed that even a slow engine keeps, in
	// tokens a millisecond: a third of the slowest model met so far.
	minTokensPerMs = 19
)

// prefillTimeout is how long an engine may take to read tokens, those queued
// before included.
func prefillTimeout(tokens int) time.Duration {
	return minPrefillTimeout + time.Duration(tokens/minTokensPerMs)*time.Millisecond
}

// generate sends a request with a declared prompt: long prompts are read by a
// prefill engine first, all others by the decode engine itself.
func (x *exchange) generate(ctx context.Context) (done bool, err error) {
	prompt := *x.request.Prompt
	source := x.kvSource
	x.kvSource = nil
	if source == nil {
		if source, err = x.prefill(ctx, prompt); err != nil {
			return false, err
		}
	}
	zone := x.options.Zone
	if source != nil {
		zone = source.Engine.Zone
	}
	chosen, ok := placement.ForDecode(zone, x.candidates(placement.Decodes), x.options.Random)
	if !ok {
		x.release(source)
		return false, errNoServer
	}
	a := x.newAttempt(chosen.Engine)
	a.Source = source
	x.logPlaced("decode", chosen, "prefilled", source != nil, "last_event", x.lastEventID)
	work := fleet.Load{Streams: 1}
	if source == nil {
		work.PromptTokens = prompt.Tokens
	}
	runsBefore := x.runs
	done, err = x.send(ctx, a, work)
	switch {
	case errors.Is(err, ErrNotThere), errors.Is(err, ErrNotSent):
		x.kvSource = source // nobody has asked for it yet
	case !done && x.runs == runsBefore:
		x.release(source)
	}
	return done, err
}

// engineID returns the id of an engine, or nothing.
func engineID(e *fleet.Engine) string {
	if e == nil {
		return ""
	}
	return e.ID
}

func (x *exchange) release(s *Source) {
	if s != nil {
		x.sender.Release(*s)
	}
}

// prefill lets an engine read the prompt. Without a result and without an
// error the decode engine is to read it.
func (x *exchange) prefill(ctx context.Context, prompt placement.Prompt) (*Source, error) {
	if placement.ReadWhole(prompt, x.candidates(placement.InPhase(fleet.Prefill))) {
		return nil, nil
	}
	for ctx.Err() == nil && len(x.failedEngines)-x.unsentAttempts <= maxRefusedSends && x.unsentAttempts <= maxUnsentAttempts {
		source, err := x.prefillOnce(ctx, prompt)
		if !errors.Is(err, errPrefillFailed) {
			return source, err
		}
	}
	return nil, ctx.Err()
}

// errPrefillFailed means that an engine failed to read a prompt, which was logged.
var errPrefillFailed = errors.New("engine has not read the prompt")

// prefillOnce waits for the prompt's turn and lets one engine read it. It
// returns errNotRead if that engine failed.
func (x *exchange) prefillOnce(ctx context.Context, prompt placement.Prompt) (*Source, error) {
	queuedAt := time.Now()
	grant, err := x.prefills.Enter(ctx, x.queueEntry(prompt))
	if err != nil {
		return nil, fmt.Errorf("wait for a prefill engine: %w", err)
	}
	prefix, prefixTokens := prompt.Shared()
	holder, _ := x.options.Prefixes.Holder(prefix)
	chosen, ok := placement.ForPrefill(prompt, holder, x.candidates(placement.InPhase(fleet.Prefill)), x.options.Random)
	if !ok {
		grant.End(0, false)
		return nil, nil
	}
	// Only the first call that reaches an engine is free of charge.
	if (x.prefillCalls > 0 || x.arrivedSends() > 0) && !x.spendRetry() {
		grant.End(0, false)
		return nil, errRetryBudget
	}
	x.prefillCalls++
	x.logPlaced("prefill", chosen.Candidate, "tokens", chosen.Tokens, "fetch_from", engineID(chosen.FetchFrom),
		"queued_ms", time.Since(queuedAt).Milliseconds())
	a := x.newAttempt(chosen.Engine)
	a.FetchFrom = chosen.FetchFrom
	finished := x.options.Tracker.Start(chosen.ID, fleet.Load{PromptTokens: chosen.Tokens})
	x.options.Outlier.Start(chosen.ID)
	prefillCtx, cancel := context.WithTimeout(ctx, prefillTimeout(chosen.Load.PromptTokens+chosen.Tokens))
	defer cancel()
	handle, err := x.sender.Prefill(prefillCtx, a)
	finished()
	grant.End(chosen.Load.PromptTokens, err == nil)
	if err == nil {
		x.options.Outlier.Success(chosen.ID)
		x.options.Prefixes.Read(prefix, prefixTokens, chosen.Engine)
		return &Source{Engine: chosen.Engine, Handle: handle}, nil
	}
	if errors.Is(err, ErrNotSent) {
		x.prefillCalls--
	}
	if prefillCtx.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", errSilent, err)
	}
	x.recordFailure(ctx, a, "prefill", err)
	return nil, errPrefillFailed
}

// queueEntry describes the prompt to the queue before the prefill engines.
func (x *exchange) queueEntry(prompt placement.Prompt) prefillqueue.Prompt {
	return prefillqueue.Prompt{
		Service:   x.request.Service.Name,
		Tokens:    prompt.Unshared(),
		Arrived:   x.started,
		Objective: x.request.Route.Objective,
		Resumes:   x.lastEventID != "",
	}
}
