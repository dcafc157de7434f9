package routing

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// historyStep is the resolution of an engine's history of own work.
	historyStep = 100 * time.Millisecond
	// historySteps is its length.
	historySteps = 256
)

// ownWork is this entry's work at one engine, now and in the recent past. The
// current counts are read without a lock.
type ownWork struct {
	requests atomic.Int64
	prompt   atomic.Int64
	// levels holds the prompt tokens by level of priority.
	levels [priorityLevels]atomic.Int64

	mu      sync.Mutex // guards history
	history [historySteps]ownSample
}

// ownSample is the work at the end of one step of the history.
type ownSample struct {
	step     int32
	requests int32
	prompt   int32
}

// now returns the current work; a nil ownWork has none.
func (o *ownWork) now() Work {
	if o == nil {
		return Work{}
	}
	return Work{Requests: float64(o.requests.Load()), PromptTokens: float64(o.prompt.Load())}
}

// priorityLevels is the number of levels of priority that are told apart.
const priorityLevels = 8

// levelOf returns the level of a priority: 0 for none, then one for each power
// of two.
func levelOf(priority int) int {
	return min(bits.Len(uint(max(priority, 0))), priorityLevels-1)
}

// atOrAbove returns the prompt tokens at the level of a priority and above.
func (o *ownWork) atOrAbove(priority int) float64 {
	if o == nil {
		return 0
	}
	sum := int64(0)
	for level := levelOf(priority); level < priorityLevels; level++ {
		sum += o.levels[level].Load()
	}
	return float64(sum)
}

// add changes the counts at the instant at.
func (o *ownWork) add(at clock.Instant, priority, requests, prompt int) {
	o.levels[levelOf(priority)].Add(int64(prompt))
	r := o.requests.Add(int64(requests))
	p := o.prompt.Add(int64(prompt))
	step := stepOf(at)
	o.mu.Lock()
	o.history[step%historySteps] = ownSample{step: step, requests: int32(r), prompt: int32(p)}
	o.mu.Unlock()
}

// at returns the work at an instant of the recent past: the mean of the ends
// of the step in which the instant lies and of the step before.
func (o *ownWork) at(at clock.Instant) Work {
	step := stepOf(at)
	o.mu.Lock()
	defer o.mu.Unlock()
	after, before := o.endOf(step), o.endOf(step-1)
	return Work{
		Requests:     float64(after.requests+before.requests) / 2,
		PromptTokens: float64(after.prompt+before.prompt) / 2,
	}
}

// endOf returns the work at the end of a step. The caller holds mu.
func (o *ownWork) endOf(step int32) ownSample {
	for back := range int32(historySteps) {
		s := o.history[(step-back)&(historySteps-1)]
		if s.step == step-back && s.step > 0 {
			return s
		}
	}
	return ownSample{}
}

func stepOf(at clock.Instant) int32 {
	return int32(time.Duration(at)/historyStep) + 1
}
