package routing

import (
	"math"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
)

const (
	// inProgressPromptTokens is the mean length of a prompt, in tokens: the
	// prompt whose prefill is in progress is not preempted by a request of
	// higher priority.
	inProgressPromptTokens = 2000
	// priorityPriorTokens is the weight, in tokens, of the prior assumption
	// that half of the external prompt tokens have at least the request's
	// priority.
	priorityPriorTokens = 4000
)

// Prediction is the expected outcome of sending a request to an engine. Times
// are in seconds.
type Prediction struct {
	Engine *Engine
	Load   Work
	// CachedTokens is the number of leading prompt tokens that the engine is
	// estimated to have in its prefix cache.
	CachedTokens float64
	// Prefill is the engine time that prefill of the uncached part of the
	// prompt takes.
	Prefill float64
	// TimeToFirstToken and TotalTime are the times to the first token and to
	// the end of the answer.
	TimeToFirstToken float64
	TotalTime        float64
	// OthersDelay is the delay that the request adds to the requests already at
	// the engine, summed over them.
	OthersDelay float64
}

// predict predicts the outcome at an engine that has the given number of
// leading blocks of the prompt in its prefix cache.
func predict(table *speed.Table, e *Engine, r *Request, blocks int) Prediction {
	s := table.ForRole(e.Role)
	p := Prediction{Engine: e, Load: e.Load()}
	p.CachedTokens = math.Min(float64(blocks*PrefixBlockTokens), float64(r.PromptTokens))
	p.Prefill = s.Prefill(float64(r.PromptTokens) - p.CachedTokens)
	slowdown := max(e.Slowdown, 1)
	p.TimeToFirstToken = (slotWait(s, &p, r) + prefillWait(s, &p, r)) * slowdown
	p.TotalTime = p.TimeToFirstToken + decodeTime(s, &p, r)*slowdown
	p.OthersDelay = othersDelay(s, &p, r) * slowdown
	return p
}

// prefillWait is the time until the request's prompt is prefilled, once it has
// a place in the batch.
func prefillWait(s *speed.Speed, p *Prediction, r *Request) float64 {
	wait := s.Prefill(promptTokensAhead(p, r)) + p.Prefill
	if p.Load.Requests >= 1 {
		wait /= s.PrefillShare
	}
	return wait
}

// promptTokensAhead is the number of prompt tokens that are prefilled before
// the request's. The priorities of this entry's own prompts are known; external
// prompts are assumed to have the same mix of priorities.
func promptTokensAhead(p *Prediction, r *Request) float64 {
	all := p.Load.PromptTokens
	if priorityLevel(r.Priority) == 0 {
		return all
	}
	own := p.Engine.own.current().PromptTokens
	ownAbove := p.Engine.own.promptTokensAtOrAbove(r.Priority)
	aboveFraction := (ownAbove + priorityPriorTokens/2) / (own + priorityPriorTokens)
	return min(ownAbove+p.Engine.ExternalWork.PromptTokens*aboveFraction+inProgressPromptTokens, all)
}

// slotWait is the time until the batch has a place for the request.
func slotWait(s *speed.Speed, p *Prediction, r *Request) float64 {
	slots := float64(s.MaxSequences)
	excess := p.Load.Requests + 1 - slots
	if excess <= 0 {
		return 0
	}
	return excess / slots * r.expectedOutputTokens() * s.Step(slots)
}

func decodeTime(s *speed.Speed, p *Prediction, r *Request) float64 {
	return r.expectedOutputTokens() * tokenTime(s, p.Engine, p.Load.Requests+1)
}

// tokenTime is the time of one token of a sequence while the engine has the
// given number of requests. While prompts wait, prefill takes its share of the
// time.
func tokenTime(s *speed.Speed, e *Engine, requests float64) float64 {
	batch := min(requests, float64(s.MaxSequences))
	return s.Step(batch) / (1 - s.PrefillShare*e.PrefillFraction)
}

// othersDelay is the sum of the delays that the request adds to those already
// at the engine: each waits for its prefill and runs with longer decode steps.
func othersDelay(s *speed.Speed, p *Prediction, r *Request) float64 {
	batch := min(p.Load.Requests, float64(s.MaxSequences))
	return batch * (p.Prefill + r.expectedOutputTokens()*s.StepPerSequence)
}

// BacklogSeconds is the mean time, in seconds, that the model's accepting
// engines need to work off the waiting prompts and the requests that have no
// place in a batch. A full batch of such requests counts as one second.
func (v *ModelView) BacklogSeconds() float64 {
	return v.meanOverAccepting(func(s *speed.Speed, _ *Engine, load Work) float64 {
		excess := max(load.Requests/float64(s.MaxSequences)-1, 0)
		return s.Prefill(load.PromptTokens)/s.PrefillShare + excess
	})
}

// Saturation is the mean fill of the model's accepting engines, from 0 to 1. An
// engine is full when its batch is full or one second's worth of prompts waits,
// whichever is nearer. An engine that is slower than prefill running beside
// decode explains, by more than slowdownTolerance, fills sooner in proportion.
func (v *ModelView) Saturation() float64 {
	return v.meanOverAccepting(func(s *speed.Speed, e *Engine, load Work) float64 {
		fill := max(load.Requests/float64(s.MaxSequences), s.Prefill(load.PromptTokens))
		return min(fill*max(e.Slowdown/slowdownTolerance, 1), 1)
	})
}

// meanOverAccepting is the mean of a value over the accepting engines; 0
// without any.
func (v *ModelView) meanOverAccepting(value func(s *speed.Speed, e *Engine, load Work) float64) float64 {
	sum, engines := 0.0, 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.Accepting {
			sum += value(v.Speeds.ForRole(e.Role), e, e.Load())
			engines++
		}
	}
	return sum / max(engines, 1)
}
