package placement

import (
	"sync/atomic"
	"time"
)

const (
	// firstMsPerToken is the reading time that is assumed before any was
	// measured: that of the slowest model met so far.
	firstMsPerToken = 1.0 / 50
	// Measured reading times are kept between these bounds.
	leastMsPerToken = 1.0 / 500
	mostMsPerToken  = 1.0 / 5
	// rateWeight is the weight of a new measurement, and enoughMeasured the
	// number from which they replace the assumption.
	rateWeight     = 0.02
	enoughMeasured = 20
)

// Rate estimates how long an engine takes to work off its queue of prompts: a
// fixed time and a time for each token, fitted by least squares over weighted
// measurements. The zero value knows no measurement. It is safe for concurrent
// use.
type Rate struct {
	// fitted is replaced whole; a lost race loses one measurement.
	fitted atomic.Pointer[moments]
}

// moments are weighted means over measurements of tokens x and milliseconds y.
type moments struct {
	count          int
	x, y           float64
	varianceX, cov float64
}

// Measured takes the time in which an engine worked off tokens, those queued
// before included.
func (r *Rate) Measured(tokens int, took time.Duration) {
	x, y := float64(tokens), float64(took)/float64(time.Millisecond)
	held := r.fitted.Load()
	next := moments{count: 1, x: x, y: y}
	if held != nil {
		weight := max(rateWeight, 1/float64(held.count+1))
		dx, dy := x-held.x, y-held.y
		next = moments{
			count:     held.count + 1,
			x:         held.x + weight*dx,
			y:         held.y + weight*dy,
			varianceX: (1 - weight) * (held.varianceX + weight*dx*dx),
			cov:       (1 - weight) * (held.cov + weight*dx*dy),
		}
	}
	r.fitted.CompareAndSwap(held, &next)
}

// Time returns how long tokens take.
func (r *Rate) Time(tokens float64) time.Duration {
	fixed, slope := 0.0, firstMsPerToken
	if m := r.fitted.Load(); m != nil && m.count >= enoughMeasured && m.varianceX > 0 {
		slope = min(max(m.cov/m.varianceX, leastMsPerToken), mostMsPerToken)
		fixed = max(0, m.y-slope*m.x)
	}
	return time.Duration((fixed + slope*tokens) * float64(time.Millisecond))
}
