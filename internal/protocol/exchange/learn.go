package exchange

import (
	"math"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// stepEvents is the number of events of a stream from one observation of its pace to the
// next. Many streams have only five to eight events, of several tokens each: with 8, the pace
// of most engines was never observed.
const stepEvents = 2

// newPolicy returns the policy that follows costs, or fixed scores if they are nil.
func newPolicy(costs *cost.Model, random func(n int) int) placement.Policy {
	if costs == nil {
		return placement.Scoring{Random: random}
	}
	return &placement.CostAware{Model: costs, Random: random}
}

// setPolicy sets the policy of the request.
func (x *exchange) setPolicy() {
	if !x.request.FixedScores && x.options.Costs != nil {
		x.costs = x.options.Costs
		x.costsFollowed.Store(true)
	}
	x.policy = newPolicy(x.costs, x.options.Random)
}

// work returns the description of the request for placement.
func (x *exchange) work() *placement.Work {
	r := x.request
	w := &placement.Work{
		Service: r.Service.Name, Route: r.Route.Name, Priority: r.priority(),
		Objective: r.Route.Objective, EventGap: r.Route.EventGap,
	}
	if r.Prompt != nil {
		w.Prompt = *r.Prompt
	}
	if x.costs == nil {
		return w
	}
	now := time.Now()
	w.Elapsed = now.Sub(x.started)
	w.Waiting, w.Staleness = x.options.Tracker.OthersWaiting(w.Service), x.options.Tracker.Staleness()
	if r.Prompt != nil {
		w.Output = x.costs.Output(now, w.Service, x.outputKind(), r.Prompt.ExpectedOutput, r.Prompt.Output)
	}
	return w
}

func (x *exchange) outputKind() cost.Kind {
	return cost.Kind{Route: x.request.Route.Name, Workspace: x.request.Workspace}
}

// estimated keeps the first prediction of the request's first event. It returns what the log
// line of a placement reports of its reasons.
func (x *exchange) estimated(e placement.Estimate) []any {
	if e == (placement.Estimate{}) {
		return nil
	}
	if x.predictedFirst == 0 {
		x.predictedFirst = time.Duration(e.FirstEventMs * float64(time.Millisecond))
	}
	return []any{"cost_ms", math.Round(10*e.CostMs) / 10, "next_cost_ms", math.Round(10*e.NextMs) / 10, "predicted_first_ms", math.Round(e.FirstEventMs)}
}

// learnPrefill learns from a prefill call that has succeeded.
func (x *exchange) learnPrefill(a Attempt, chosen placement.PrefillChoice, shared, left int) {
	if x.costs == nil {
		return
	}
	now := time.Now()
	call := cost.Prefill{Read: float64(chosen.Tokens), Pending: float64(chosen.Load.PromptTokens+left) / 2, Staleness: x.options.Tracker.Staleness()}
	if a.FetchFrom != nil {
		call.Fetched, call.CrossZone = float64(shared), a.FetchFrom.Zone != a.Engine.Zone
	}
	x.costs.ObservePrefill(now, x.request.Service.Name, a.Engine.ID, call, now.Sub(a.placedAt))
}

// pace is what the speed of an attempt's server is learned from.
type pace struct {
	// load is that of the server when it was chosen.
	load fleet.Load
	// events and at are the number of events written and the time at the last observation,
	// at first those of the first event.
	events int
	at     time.Time
}

// learnFirst learns from the first event of a stream. Streams that had to wait for a slot
// are no evidence of their server's speed.
func (x *exchange) learnFirst(s *startedAttempt) {
	s.pace.events, s.pace.at = x.events+1, time.Now()
	e, load := s.attempt.Engine, s.pace.load
	if x.costs == nil || x.request.Prompt == nil || e.Slots > 0 && load.Streams >= e.Slots {
		return
	}
	source := s.attempt.KVSource
	begin := cost.First{
		Local: source == nil, Tokens: float64(x.request.Prompt.Tokens), CrossZone: source != nil && source.Engine.Zone != e.Zone,
		Pending: float64(load.PromptTokens), Streams: float64(load.Streams),
		Staleness: x.options.Tracker.Staleness(),
	}
	x.costs.ObserveFirst(s.pace.at, x.request.Service.Name, e.ID, begin, s.pace.at.Sub(s.attempt.placedAt))
}

// learnStep learns from the pace of a stream's events.
func (x *exchange) learnStep(s *startedAttempt) {
	n := x.events - s.pace.events
	if x.costs == nil || x.request.Prompt == nil || n < stepEvents {
		return
	}
	load := x.options.Tracker.Load(s.attempt.Engine.ID)
	now := x.lastWrite
	x.costs.ObserveStep(now, x.request.Service.Name, s.attempt.Engine.ID, float64(load.Streams), float64(load.PromptTokens), x.options.Tracker.Staleness(), now.Sub(s.pace.at)/time.Duration(n))
	s.pace.events, s.pace.at = x.events, now
}

// learnOutput learns from a complete stream.
func (x *exchange) learnOutput(o Outcome) {
	r := x.request
	if x.costs == nil || r.Prompt == nil || o.Result != Delivered || !x.streamBegun || r.LastEventID != "" {
		return
	}
	now := time.Now()
	x.costs.ObserveOutput(now, r.Service.Name, x.outputKind(), r.Prompt.ExpectedOutput, x.events, now.Sub(x.sentAt))
}

// learnCall learns from the response of a plain server.
func (x *exchange) learnCall(s *startedAttempt) {
	if x.costs == nil || x.request.Prompt != nil {
		return
	}
	e, now := s.attempt.Engine, time.Now()
	excess := 0.0
	if e.Slots > 0 {
		excess = float64(s.pace.load.Calls+1-e.Slots) / float64(e.Slots)
	}
	x.costs.ObserveCall(now, x.request.Service.Name, e.ID, x.request.Route.Name, excess, now.Sub(s.attempt.placedAt))
}
