package routing

import (
	"math/bits"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// historyStep is the resolution of the history of an engine's own work.
	historyStep = 100 * time.Millisecond
	// historySteps is the length of the history, in steps; a power of two.
	historySteps = 256
)

// ownWork is this entry's work at one engine, now and in the recent past. The
// current counts are read without a lock.
type ownWork struct {
	requests     atomic.Int64
	promptTokens atomic.Int64
	// promptTokensByLevel splits promptTokens by priority level.
	promptTokensByLevel [priorityLevels]atomic.Int64

	mu      sync.Mutex // guards history
	history [historySteps]workSample
}

// workSample is the work at the end of one step of the history.
type workSample struct {
	step         int32
	requests     int32
	promptTokens int32
}

// current returns the current work; a nil ownWork has none.
func (o *ownWork) current() Work {
	if o == nil {
		return Work{}
	}
	return Work{Requests: float64(o.requests.Load()), PromptTokens: float64(o.promptTokens.Load())}
}

// priorityLevels is the number of priority levels that are distinguished.
const priorityLevels = 8

// priorityLevel maps a priority to its level: 0 for no priority, then one level
// for each power of two.
func priorityLevel(priority int) int {
	return min(bits.Len(uint(max(priority, 0))), priorityLevels-1)
}

// promptTokensAtOrAbove returns the prompt tokens at the level of the given
// priority and above.
func (o *ownWork) promptTokensAtOrAbove(priority int) float64 {
	if o == nil {
		return 0
	}
	sum := int64(0)
	for level := priorityLevel(priority); level < priorityLevels; level++ {
		sum += o.promptTokensByLevel[level].Load()
	}
	return float64(sum)
}

// add changes the counts by the given differences and records them in the
// history at the given instant.
func (o *ownWork) add(at clock.Instant, priority, requests, promptTokens int) {
	o.promptTokensByLevel[priorityLevel(priority)].Add(int64(promptTokens))
	r := o.requests.Add(int64(requests))
	p := o.promptTokens.Add(int64(promptTokens))
	step := historyStepOf(at)
	o.mu.Lock()
	o.history[step%historySteps] = workSample{step: step, requests: int32(r), promptTokens: int32(p)}
	o.mu.Unlock()
}

// workAt returns the work at an instant of the recent past: the mean of the
// work at the end of the step that contains the instant and at the end of the
// step before.
func (o *ownWork) workAt(at clock.Instant) Work {
	step := historyStepOf(at)
	o.mu.Lock()
	defer o.mu.Unlock()
	after, before := o.sampleAt(step), o.sampleAt(step-1)
	return Work{
		Requests:     float64(after.requests+before.requests) / 2,
		PromptTokens: float64(after.promptTokens+before.promptTokens) / 2,
	}
}

// sampleAt returns the work at the end of a step: the latest sample of the
// history up to that step, or none. The caller holds mu.
func (o *ownWork) sampleAt(step int32) workSample {
	for back := range int32(historySteps) {
		s := o.history[(step-back)&(historySteps-1)]
		if s.step == step-back && s.step > 0 {
			return s
		}
	}
	return workSample{}
}

func historyStepOf(at clock.Instant) int32 {
	return int32(time.Duration(at)/historyStep) + 1
}
