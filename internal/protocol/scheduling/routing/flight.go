package routing

import (
	"math"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// slowdownWeight is the weight of one answer in the moving average of an
	// engine's slowdown.
	slowdownWeight = 0.05
	// minSlowdown and maxSlowdown bound the ratio taken from one answer.
	minSlowdown = 0.5
	maxSlowdown = 10
	// minSampleTokens is the length of the shortest answer that updates the
	// slowdown.
	minSampleTokens = 16
)

// InFlightRequest is one request in progress at an engine. Its methods are safe for
// concurrent use.
type InFlightRequest struct {
	tracker  *Tracker
	engine   *trackedEngine
	started  clock.Instant
	priority int
	// tokenTime is the predicted time of one token, in seconds, at the start of
	// the request.
	tokenTime float64
	// pendingPrompt is the number of prompt tokens still counted as not
	// prefilled.
	pendingPrompt atomic.Int64
	// firstTokenAt is the instant of the first token; 0 before it.
	firstTokenAt atomic.Int64
	done         atomic.Bool
	// completed is true once an answer long enough to update the slowdown has
	// arrived completely.
	completed atomic.Bool
	// team, class and maxOutput are the request's; they update the class's
	// output ratio.
	team      string
	class     string
	maxOutput int
	// expectedOutput is the expected length of the answer, in tokens.
	expectedOutput float64
	// customer counts the customer's requests in progress.
	customer *atomic.Int64
}

// Start counts a dispatched request as work at the engine and records that the
// engine will have the prompt's prefix in its cache.
func (t *Tracker) Start(engine string, r *Request) *InFlightRequest {
	f := &InFlightRequest{tracker: t, started: t.clock.Now()}
	e, ok := (*t.engines.Load())[engine]
	if !ok {
		return f
	}
	f.engine = e
	f.team, f.class, f.maxOutput = r.Team, r.Class, r.OutputTokens
	f.expectedOutput = r.expectedOutputTokens()
	f.pendingPrompt.Store(int64(r.PromptTokens))
	f.tokenTime = t.predictTokenTime(e)
	f.customer = t.inFlightCounter(r.Team, r.Customer)
	f.customer.Add(1)
	f.priority = r.Priority
	e.own.add(f.started, f.priority, 1, r.PromptTokens)
	for _, hash := range r.PrefixHashes {
		e.prefixes.add(hash, e.position)
	}
	return f
}

// RecordFirstToken records that the request's prompt has been prefilled. Only the
// first call counts.
func (f *InFlightRequest) RecordFirstToken() {
	prompt := f.pendingPrompt.Swap(0)
	if prompt == 0 || f.engine == nil {
		return
	}
	now := f.tracker.clock.Now()
	f.firstTokenAt.Store(int64(now))
	f.engine.own.add(now, f.priority, 0, -int(prompt))
}

// RecordCompletion records that the complete answer arrived, with the given number of
// tokens. It updates the class's output ratio and the engine's slowdown.
func (f *InFlightRequest) RecordCompletion(tokens int) {
	first := f.firstTokenAt.Load()
	if f.engine == nil || first == 0 {
		return
	}
	if f.maxOutput > 0 {
		f.tracker.outputRatios.update(f.team, f.class, float64(tokens)/float64(f.maxOutput))
	}
	if tokens < minSampleTokens {
		return
	}
	f.completed.Store(true)
	f.engine.updateSlowdown(f.secondsSinceFirstToken(first) / (float64(tokens) * f.tokenTime))
}

// secondsSinceFirstToken returns the seconds since the given instant of the
// first token.
func (f *InFlightRequest) secondsSinceFirstToken(first int64) float64 {
	return f.tracker.clock.Now().Sub(clock.Instant(first)).Seconds()
}

// Done records that the request left the engine. Only the first call counts. An
// answer that was abandoned after more than its expected time also raises the
// engine's slowdown; otherwise a slow engine that finishes nothing in time
// would count as a fast one.
func (f *InFlightRequest) Done() {
	if f.done.Swap(true) || f.engine == nil {
		return
	}
	f.recordUnfinished()
	f.customer.Add(-1)
	f.engine.own.add(f.tracker.clock.Now(), f.priority, -1, -int(f.pendingPrompt.Swap(0)))
}

func (f *InFlightRequest) recordUnfinished() {
	first := f.firstTokenAt.Load()
	if first == 0 || f.completed.Load() || f.expectedOutput < minSampleTokens {
		return
	}
	ratio := f.secondsSinceFirstToken(first) / (f.expectedOutput * f.tokenTime)
	if ratio > math.Float64frombits(f.engine.slowdown.Load()) {
		f.engine.updateSlowdown(ratio)
	}
}

// predictTokenTime returns the predicted time of one token, in seconds, at the
// engine's current load plus one request.
func (t *Tracker) predictTokenTime(e *trackedEngine) float64 {
	view := &Engine{own: e.own}
	s := t.snapshot.Load()
	if n := int(e.position); n < len(s.Engines) && s.Engines[n].Name == e.Name {
		view = &s.Engines[n]
	}
	rates := e.table.ForRole(view.Role)
	return tokenTime(rates, view, view.Load().Requests+1)
}

func (e *trackedEngine) updateSlowdown(ratio float64) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	for {
		old := e.slowdown.Load()
		next := math.Float64frombits(old)*(1-slowdownWeight) + ratio*slowdownWeight
		if e.slowdown.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}
