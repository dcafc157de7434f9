package routing

import (
	"math"

	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
)

const (
	// inProgressPromptTokens is a prompt's mean length, in tokens: the one in
	// progress can't be put aside for a raised priority.
	inProgressPromptTokens = 2000
	// priorityPriorTokens is the weight, in tokens, of the assumption that half of the
	// foreign prompts have at least the request's priority.
	priorityPriorTokens = 4000
)

// Prediction is what a request would meet at an engine. Times are in seconds.
type Prediction struct {
	Engine *Engine
	Load   Work
	// CachedTokens is the part of the prompt that the engine seems to hold.
	CachedTokens float64
	// Prefill is the engine time for the rest of the prompt.
	Prefill float64
	// TimeToFirstToken and Whole are the times to the first token and to the end.
	TimeToFirstToken float64
	TotalTime        float64
	// OthersDelay is the sum of the delays of the requests already there.
	OthersDelay float64
}

// predict works out what a request would meet at an engine that holds the
// given number of leading pieces of its prompt.
func predict(table *speed.Table, e *Engine, r *Request, blocks int) Prediction {
	s := table.Of(e.Role)
	p := Prediction{Engine: e, Load: e.Load()}
	p.CachedTokens = math.Min(float64(blocks*PieceTokens), float64(r.PromptTokens))
	p.Prefill = s.Prefill(float64(r.PromptTokens) - p.CachedTokens)
	slowdown := max(e.Slowdown, 1)
	p.TimeToFirstToken = (slotWait(s, &p, r) + prefillWait(s, &p, r)) * slowdown
	p.TotalTime = p.TimeToFirstToken + decodeTime(s, &p, r)*slowdown
	p.OthersDelay = othersDelay(s, &p, r) * slowdown
	return p
}

// prefillWait is the time until the prompt is prefilled.
func prefillWait(s *speed.Speed, p *Prediction, r *Request) float64 {
	wait := s.Prefill(promptTokensAhead(p, r)) + p.Prefill
	if p.Load.Requests >= 1 {
		wait /= s.PrefillShare
	}
	return wait
}

// promptTokensAhead is the number of prompt tokens that are prefilled before the
// request. Its own entry's are known by priority; others' are taken to have
// the same composition.
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

// slotWait is the time until the batch has room.
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

// tokenTime is the time of one token of a sequence with the given number of
// requests at the engine. Prefill takes its share while prompts wait.
func tokenTime(s *speed.Speed, e *Engine, requests float64) float64 {
	batch := min(requests, float64(s.MaxSequences))
	return s.Step(batch) / (1 - s.PrefillShare*e.PrefillFraction)
}

// othersDelay is how much longer the requests already at the engine take in
// sum: each waits through the prefill and through the longer decode steps.
func othersDelay(s *speed.Speed, p *Prediction, r *Request) float64 {
	batch := min(p.Load.Requests, float64(s.MaxSequences))
	return batch * (p.Prefill + r.expectedOutputTokens()*s.StepPerSequence)
}

// BacklogSeconds is how long the model's accepting engines need for the prompts
// that wait there and for the requests that have no room in a batch, in
// seconds.
func (v *ModelView) BacklogSeconds() float64 {
	return v.meanOverAccepting(func(s *speed.Speed, _ *Engine, load Work) float64 {
		excess := max(load.Requests/float64(s.MaxSequences)-1, 0)
		return s.Prefill(load.PromptTokens)/s.PrefillShare + excess
	})
}

// Saturation tells how near the model's accepting engines are to full batches,
// or to a second's worth of waiting prompts if that is nearer: 1 is full. An
// engine that is slower than prefill beside decode explains fills sooner.
func (v *ModelView) Saturation() float64 {
	return v.meanOverAccepting(func(s *speed.Speed, e *Engine, load Work) float64 {
		fill := max(load.Requests/float64(s.MaxSequences), s.Prefill(load.PromptTokens))
		return min(fill*max(e.Slowdown/slowdownTolerance, 1), 1)
	})
}

// meanOverAccepting is the meanOverAccepting of a value over the accepting engines.
func (v *ModelView) meanOverAccepting(value func(s *speed.Speed, e *Engine, load Work) float64) float64 {
	sum, engines := 0.0, 0.0
	for i := range v.Engines {
		e := &v.Engines[i]
		if e.Accepting {
			sum += value(v.Speeds.Of(e.Role), e, e.Load())
			engines++
		}
	}
	return sum / max(engines, 1)
}
