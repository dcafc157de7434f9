package placement

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// firstRate is the reading speed that is assumed before any was measured,
	// in tokens a millisecond: that of the slowest model met so far.
	firstRate = 50
	// rateWeight is the weight of a new measurement.
	rateWeight = 0.05
	// shortestMeasured leaves out readings that are mostly fixed cost.
	shortestMeasured = 30 * time.Millisecond
)

// Rate estimates how fast an engine works off its queue of prompts. The zero
// value knows no measurement. It is safe for concurrent use.
type Rate struct {
	bits atomic.Uint64
}

// PerMs returns the speed in tokens a millisecond.
func (r *Rate) PerMs() float64 {
	if bits := r.bits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return firstRate
}

// Measured takes the time in which an engine worked off tokens, those queued
// before included.
func (r *Rate) Measured(tokens int, took time.Duration) {
	if took < shortestMeasured || tokens <= 0 {
		return
	}
	measured := float64(tokens) / float64(took.Milliseconds())
	for {
		old := r.bits.Load()
		next := r.PerMs()*(1-rateWeight) + measured*rateWeight
		if r.bits.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Time returns how long tokens take.
func (r *Rate) Time(tokens float64) time.Duration {
	return time.Duration(tokens / r.PerMs() * float64(time.Millisecond))
}
