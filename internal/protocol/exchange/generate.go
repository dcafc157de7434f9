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
	// prefillFloor is the least time that an engine gets to read a prompt; a
	// silent one is given up before callers leave.
	prefillFloor = 900 * time.Millisecond
	// slowestPrefill is a reading speed that even a slow engine keeps, in
	// tokens a millisecond: a third of the slowest model met so far.
	slowestPrefill = 19
)

// prefillPatience is how long an engine may take to read tokens, those queued
// before included.
func prefillPatience(tokens int) time.Duration {
	return prefillFloor + time.Duration(tokens/slowestPrefill)*time.Millisecond
}

// generate sends a request with a declared prompt: long prompts are read by a
// prefill engine first, all others by the decode engine itself.
func (x *run) generate(ctx context.Context) (done bool, err error) {
	prompt := *x.request.Prompt
	source := x.source
	x.source = nil
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
	a := x.attemptAt(chosen.Engine)
	a.Source = source
	x.logPlaced("decode", chosen, "prefilled", source != nil, "last_event", x.lastEvent)
	work := fleet.Load{Streams: 1}
	if source == nil {
		work.PromptTokens = prompt.Tokens
	}
	before := x.runs
	done, err = x.send(ctx, a, work)
	switch {
	case errors.Is(err, ErrNotThere), errors.Is(err, ErrNotSent):
		x.source = source // nobody has asked for it yet
	case !done && x.runs == before:
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

func (x *run) release(s *Source) {
	if s != nil {
		x.sender.Release(*s)
	}
}

// prefill lets an engine read the prompt. Without a result and without an
// error the decode engine is to read it.
func (x *run) prefill(ctx context.Context, prompt placement.Prompt) (*Source, error) {
	if placement.ReadWhole(prompt, x.candidates(placement.InPhase(fleet.Prefill))) {
		return nil, nil
	}
	for ctx.Err() == nil && len(x.tried)-x.unsent <= refusedSends && x.unsent <= unsentTries {
		source, err := x.prefillInTurn(ctx, prompt)
		if !errors.Is(err, errNotRead) {
			return source, err
		}
	}
	return nil, ctx.Err()
}

// errNotRead means that an engine failed to read a prompt, which was logged.
var errNotRead = errors.New("engine has not read the prompt")

// prefillInTurn waits for the prompt's turn and lets one engine read it. It
// returns errNotRead if that engine failed.
func (x *run) prefillInTurn(ctx context.Context, prompt placement.Prompt) (*Source, error) {
	entered := time.Now()
	turn, err := x.prefills.Enter(ctx, x.queued(prompt))
	if err != nil {
		return nil, fmt.Errorf("wait for a prefill engine: %w", err)
	}
	part, shared := prompt.Shared()
	holder, _ := x.options.Prefixes.Holder(part)
	chosen, ok := placement.ForPrefill(prompt, holder, x.candidates(placement.InPhase(fleet.Prefill)), x.options.Random)
	if !ok {
		turn.End(0, false)
		return nil, nil
	}
	// Only the first call that reaches an engine is free of charge.
	if (x.prefillCalls > 0 || x.arrivals() > 0) && !x.spend() {
		turn.End(0, false)
		return nil, errBudget
	}
	x.prefillCalls++
	x.logPlaced("prefill", chosen.Candidate, "tokens", chosen.Tokens, "fetch_from", engineID(chosen.FetchFrom),
		"queued_ms", time.Since(entered).Milliseconds())
	a := x.attemptAt(chosen.Engine)
	a.FetchFrom = chosen.FetchFrom
	finished := x.options.Tracker.Start(chosen.ID, fleet.Load{PromptTokens: chosen.Tokens})
	x.options.Outlier.Start(chosen.ID)
	patience, cancel := context.WithTimeout(ctx, prefillPatience(chosen.Load.PromptTokens+chosen.Tokens))
	defer cancel()
	handle, err := x.sender.Prefill(patience, a)
	finished()
	turn.End(chosen.Load.PromptTokens, err == nil)
	if err == nil {
		x.options.Outlier.Success(chosen.ID)
		x.options.Prefixes.Read(part, shared, chosen.Engine)
		return &Source{Engine: chosen.Engine, Handle: handle}, nil
	}
	if errors.Is(err, ErrNotSent) {
		x.prefillCalls--
	}
	if patience.Err() != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", errSilent, err)
	}
	x.failed(ctx, a, "prefill", err)
	return nil, errNotRead
}

// queued describes the prompt to the queue before the prefill engines.
func (x *run) queued(prompt placement.Prompt) prefillqueue.Prompt {
	return prefillqueue.Prompt{
		Service:   x.request.Service.Name,
		Tokens:    prompt.Unshared(),
		Arrived:   x.started,
		Objective: x.request.Route.Objective,
		Resumes:   x.lastEvent != "",
	}
}
