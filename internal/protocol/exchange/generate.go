package exchange

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefillqueue"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/prefixdir"
)

const (
	// minPrefillTimeout is the time that an engine gets even for the shortest
	// prompt. It is short enough to replace a silent engine before callers
	// disconnect.
	minPrefillTimeout = 1300 * time.Millisecond
	// minTokensPerMs is a prefill speed that even a slow engine reaches while it
	// interleaves the prompt with others.
	minTokensPerMs = 12
	// patienceSpread is the part of a route's timeout by which callers' own time limits
	// may be shorter: one that has more time left has not come back after a refusal.
	patienceSpread = 0.2
)

// prefillTimeout returns the time limit for a prefill call. tokens includes
// the prompts that are queued at the engine before it.
func prefillTimeout(tokens int) time.Duration {
	return minPrefillTimeout + time.Duration(tokens/minTokensPerMs)*time.Millisecond
}

// placePrompt places an attempt of a request with a declared prompt. A prefill engine
// prefills long prompts first; the decode engine prefills all others itself.
func (x *exchange) placePrompt(ctx context.Context) (*placedAttempt, error) {
	prompt := *x.request.Prompt
	source := x.kvSource
	x.kvSource = nil
	if source == nil {
		var err error
		if source, err = x.prefill(ctx, prompt); err != nil {
			return nil, err
		}
	}
	if x.endStream == nil {
		x.endStream = x.prefills.Begin(x.request.Service.Name, x.request.Route.Name, source == nil)
	}
	// The rejected prefill calls have arrived, so this send is a retry.
	if source == nil && x.prefillCalls > 0 && x.arrivedSends() == 0 && !x.spendRetry() {
		return nil, errRetryBudget
	}
	// The engines that decode may have ended meanwhile.
	if err := x.awaitServer(ctx); err != nil {
		x.release(source)
		return nil, err
	}
	chosen, source, memory, ok := x.chooseDecode(ctx, source)
	if !ok {
		return nil, x.noServer()
	}
	p := &placedAttempt{attempt: x.newAttempt(chosen.Engine), work: fleet.Load{Streams: 1}, load: chosen.Load, memory: memory}
	p.attempt.KVSource = source
	if source == nil {
		p.work.PromptTokens = prompt.Tokens
	}
	x.logPlaced("decode", chosen.Candidate, append(x.estimated(chosen.Estimate), "prefilled", source != nil, "last_event", x.lastEventID)...)
	return p, nil
}

// chooseDecode chooses the engine that decodes. If a prompt was prefilled at a
// software version that has no such engine any more, its KV cache is released, and
// an engine of another version is to prefill it again. usable is source, or nil if
// it was released. hold is what the request needs of the engine's KV cache.
func (x *exchange) chooseDecode(ctx context.Context, source *KVSource) (chosen placement.Choice, usable *KVSource, hold *kvHold, ok bool) {
	need := x.request.Prompt.DecodeMemory()
	choose := func(zone string, local bool, filter placement.Filter) (placement.Choice, bool) {
		for {
			memory := x.memory(false)
			var estimate placement.Estimate
			chosen, ok := x.choose(ctx, func(candidates []placement.Candidate) (placement.Candidate, bool) {
				choice, ok := x.policy.ForDecode(x.work(), zone, local, candidates)
				estimate = choice.Estimate
				return choice.Candidate, ok
			}, placement.CanDecode, filter, memory.HasRoom(need))
			if ok {
				if hold, ok = x.holdMemory(memory, chosen.Engine, need); ok {
					return placement.Choice{Candidate: chosen, Estimate: estimate}, true
				}
				continue
			}
			if !x.awaitMemory(ctx, memory, need, placement.CanDecode, filter) {
				return placement.Choice{}, false
			}
		}
	}
	if source == nil {
		chosen, ok = choose(x.options.Zone, true, x.origin.allows)
		return chosen, nil, hold, ok
	}
	same := placement.OfVersion(source.Engine.Version)
	if chosen, ok = choose(source.Engine.Zone, false, same); ok {
		return chosen, source, hold, true
	}
	x.release(source)
	if x.lacksMemory {
		return placement.Choice{}, nil, nil, false
	}
	chosen, ok = choose(x.options.Zone, true, func(e fleet.Engine) bool { return !same(e) })
	return chosen, nil, hold, ok
}

// engineIDs returns the IDs of engines.
func engineIDs(engines []fleet.Engine) []string {
	var ids []string
	for _, e := range engines {
		ids = append(ids, e.ID)
	}
	return ids
}

// engineID returns the ID of an engine, or "" for nil.
func engineID(e *fleet.Engine) string {
	if e == nil {
		return ""
	}
	return e.ID
}

func (x *exchange) release(s *KVSource) {
	if s != nil {
		x.sender.Release(*s)
		s.fetched()
	}
}

// prefill has a prefill engine prefill the prompt and retries on other engines
// if one fails. If both results are nil, the decode engine must prefill the
// prompt itself.
func (x *exchange) prefill(ctx context.Context, prompt placement.Prompt) (*KVSource, error) {
	decode := x.decodeEngines()
	inPhase, decodable := placement.InPhase(fleet.Prefill), placement.OfVersionAmong(decode)
	spared := func() bool { return x.policy.SparesPrefill(x.work(), x.candidates(inPhase, decodable), decode) }
	if x.policy.PrefillLocally(x.work(), x.candidates(inPhase, decodable), decode) || len(x.openServers(inPhase, decodable)) == 0 || spared() {
		return nil, x.awaitSlot(ctx, prompt)
	}
	for ctx.Err() == nil && len(x.failedEngines)-x.unsentAttempts <= maxRefusedSends && x.unsentAttempts <= maxUnsentAttempts {
		source, err := x.prefillOnce(ctx, prompt)
		if !errors.Is(err, errPrefillFailed) {
			return source, err
		}
		if x.crashes >= maxCrashes {
			return nil, errServersEnded
		}
		if spared() {
			break
		}
	}
	return nil, ctx.Err()
}

// acquire waits in the prefill queue. Its error matches ErrOverloaded if the engines can't
// begin the request before its caller leaves.
func (x *exchange) acquire(ctx context.Context, p prefillqueue.Prompt) (*prefillqueue.Grant, error) {
	x.endReservation()
	p.Again, x.queued = x.queued, true
	grant, err := x.prefills.Acquire(ctx, p)
	if full := (*prefillqueue.NoRoomError)(nil); errors.As(err, &full) {
		x.roomAfter = full.RetryAfter
		return nil, fmt.Errorf("%w: %w", ErrOverloaded, err)
	}
	x.slot = grant
	return grant, err
}

// awaitSlot waits until an engine has a slot for a stream whose prompt it prefills itself.
func (x *exchange) awaitSlot(ctx context.Context, prompt placement.Prompt) error {
	entry := x.queueEntry(prompt)
	entry.Tokens, entry.Local = prompt.Tokens, true
	if engines := x.prefillBacklog(x.request.Service.Name); !engines.SlotsShort() && engines.Memory.Fits(entry, 0) {
		return nil
	}
	grant, err := x.acquire(ctx, entry)
	if err != nil {
		return fmt.Errorf("wait for a slot: %w", err)
	}
	grant.Release()
	return nil
}

// endReservation gives up the reservation of a slot.
func (x *exchange) endReservation() {
	if x.slot != nil {
		x.slot.Sent()
		x.slot = nil
	}
}

// decodeEngines returns the engines that may decode the prompt, which must be of the
// software version that prefills it.
func (x *exchange) decodeEngines() []placement.Candidate {
	if found := x.candidates(placement.CanDecode); len(found) > 0 {
		return found
	}
	return x.openServers(placement.CanDecode)
}

// holdersOf returns the engines that last prefilled a shared prefix, one of each
// software version. It leaves out those that have restarted since or were not found
// at their addresses. A holder may have failed this request or run another phase by
// now: its KV cache can still be fetched.
func (x *exchange) holdersOf(prefix string) []fleet.Engine {
	var holders []fleet.Engine
	known := make(map[string]prefixdir.Holding) // by version
	for _, e := range x.options.View().Engines(x.request.Service.Name) {
		holding, seen := known[e.Version]
		if !seen {
			holding, _ = x.options.Prefixes.Holder(prefix, e.Version)
			known[e.Version] = holding
		}
		if e.ID == holding.Engine && e.StartedMs == holding.EngineStartedMs && x.options.Tracker.Load(e.ID).MissingEntries == 0 {
			holders = append(holders, e)
		}
	}
	return holders
}

// queueEntry returns the prompt as the prefill queue orders it.
func (x *exchange) queueEntry(prompt placement.Prompt) prefillqueue.Prompt {
	return prefillqueue.Prompt{
		Service:   x.request.Service.Name,
		Route:     x.request.Route.Name,
		Workspace: x.request.Workspace,
		Priority:  x.request.priority(),
		Tokens:    prompt.Unshared(),
		Output:    prompt.Output,

		DecodeMemory:  prompt.DecodeMemory(),
		PrefillMemory: prompt.PrefillMemory(),

		Key:       prompt.Key(),
		Arrived:   x.started,
		Objective: x.request.Route.Objective,
		Asked:     x.firstAsked(),
		GiveUp:    x.patienceEnd(),
		Resumed:   x.lastEventID != "" || x.runs > 0,
	}
}

// firstAsked returns when the caller first sent the request: before it arrived if much of the
// route's timeout is used up.
func (x *exchange) firstAsked() time.Time {
	timeout := x.request.Route.Timeout
	asked := x.request.Deadline.Add(-timeout)
	if x.started.Sub(asked) <= time.Duration(patienceSpread*float64(timeout)) {
		return x.started
	}
	return asked
}
