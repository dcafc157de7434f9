package experiment

import (
	"math/rand/v2"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// roundRobin picks the engines in turn.
type roundRobin struct {
	next int
}

// Pick implements routing.Picker.
func (p *roundRobin) Pick(s *routing.Snapshot, r *routing.Request) (routing.Choice, error) {
	engines := acceptingEngines(s, r)
	if len(engines) == 0 {
		return routing.Choice{}, routing.ErrNoEngine
	}
	p.next++
	return routing.Choice{Engine: engines[p.next%len(engines)]}, nil
}

// leastReported picks the engine with the lowest load in its last report.
type leastReported struct{}

// Pick implements routing.Picker.
func (leastReported) Pick(s *routing.Snapshot, r *routing.Request) (routing.Choice, error) {
	var best *routing.Engine
	for _, e := range acceptingEngines(s, r) {
		if best == nil || reportedLoad(e) < reportedLoad(best) {
			best = e
		}
	}
	if best == nil {
		return routing.Choice{}, routing.ErrNoEngine
	}
	return routing.Choice{Engine: best}, nil
}

func reportedLoad(e *routing.Engine) int {
	return e.Report.Queued + e.Report.Running
}

// twoChoices picks two random engines and takes the one with fewer requests,
// counting both the reported ones and those of this entry.
type twoChoices struct {
	random *rand.Rand
}

// Pick implements routing.Picker.
func (p *twoChoices) Pick(s *routing.Snapshot, r *routing.Request) (routing.Choice, error) {
	engines := acceptingEngines(s, r)
	if len(engines) == 0 {
		return routing.Choice{}, routing.ErrNoEngine
	}
	a := engines[p.random.IntN(len(engines))]
	b := engines[p.random.IntN(len(engines))]
	if b.Load().Requests < a.Load().Requests {
		a = b
	}
	return routing.Choice{Engine: a}, nil
}

func acceptingEngines(s *routing.Snapshot, r *routing.Request) []*routing.Engine {
	var out []*routing.Engine
	engines := s.Model(r.Model).Engines
	for i := range engines {
		if (routing.Accepting{}).Keep(&engines[i], r) && (routing.NotExcluded{}).Keep(&engines[i], r) {
			out = append(out, &engines[i])
		}
	}
	return out
}

const (
	// reactiveInterval is the interval between checks of the queues and
	// reactiveCooldown the minimum time between two role changes, in seconds.
	reactiveInterval = 5
	reactiveCooldown = 15
	// prefillQueueHigh and prefillQueueLow are thresholds for the queued prefill
	// work per prefill engine, in seconds; batchHigh and batchLow for the filled
	// fraction of the batches of decode engines.
	prefillQueueHigh = 0.5
	prefillQueueLow  = 0.1
	batchHigh        = 0.8
	batchLow         = 0.5
)

// reactive changes the role of an engine when the load of one role is above its
// high threshold and that of the other below its low one.
type reactive struct {
	last float64
}

// plan implements rolePolicy.
func (p *reactive) plan(s *simulation) {
	now := s.clock.now
	if now-p.last < reactiveCooldown || s.anyRoleChanging() {
		return
	}
	prefill, decode := s.byRole(settings.RolePrefill), s.byRole(settings.RoleDecode)
	waiting, batch := s.queuedPrefillSeconds(prefill), s.batchFill(decode)
	switch {
	case waiting > prefillQueueHigh && batch < batchLow && len(decode) > 1:
		s.changeRole(decode[0], settings.RolePrefill)
		p.last = now
	case batch > batchHigh && waiting < prefillQueueLow && len(prefill) > 1:
		s.changeRole(prefill[0], settings.RoleDecode)
		p.last = now
	}
}

// interval implements rolePolicy.
func (p *reactive) interval() float64 { return reactiveInterval }

func (s *simulation) byRole(role settings.Role) []int {
	var out []int
	for i, e := range s.engines {
		if e.model.Up() && e.model.Role() == role {
			out = append(out, i)
		}
	}
	return out
}

func (s *simulation) queuedPrefillSeconds(engines []int) float64 {
	total := 0.0
	for _, i := range engines {
		report := s.engines[i].model.Report(modelName)
		total += speed.Default.Prefill.Prefill(float64(report.QueuedPromptTokens))
	}
	return total / max(float64(len(engines)), 1)
}

func (s *simulation) batchFill(engines []int) float64 {
	total := 0.0
	for _, i := range engines {
		report := s.engines[i].model.Report(modelName)
		total += float64(report.Running+report.Queued) / float64(speed.Default.Decode.MaxSequences)
	}
	return total / max(float64(len(engines)), 1)
}
