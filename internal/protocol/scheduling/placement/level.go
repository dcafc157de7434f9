package placement

import "sync"

// option is the cost of one candidate in milliseconds.
type option struct {
	// shared is the part of the cost that every entry sees, and own the part that is
	// particular to the request, such as a transfer from another zone.
	shared, own float64
	// perRequest is by how much one more request raises the shared cost.
	perRequest float64
	// excluded is set for candidates that other entries avoid.
	excluded bool
	// first is the predicted time of the first event.
	first float64
	// total is the cost that counts, set by pick.
	total float64
}

// options holds one option for each candidate.
type options struct{ list []option }

var optionPool = sync.Pool{New: func() any { return new(options) }}

func newOptions(n int) *options {
	o := optionPool.Get().(*options)
	if cap(o.list) < n {
		o.list = make([]option, n+n/2)
	}
	o.list = o.list[:n]
	return o
}

func (o *options) release() { optionPool.Put(o) }

// levelSteps bounds the number of steps in which the level is found.
const levelSteps = 12

// level returns the cost up to which the unseen requests of other entries raise the
// candidates that are cheapest to all: they fill these up evenly, as every entry chooses
// the cheapest ones. It is the lowest cost if there are no unseen requests.
func (o *options) level(unseen float64) float64 {
	lowest, ok, slope, n := 0.0, false, 0.0, 0
	for i := range o.list {
		c := &o.list[i]
		if c.excluded {
			continue
		}
		if !ok || c.shared < lowest {
			lowest, ok = c.shared, true
		}
		slope += c.perRequest
		n++
	}
	if unseen <= 0 || !ok {
		return lowest
	}
	// Costs are convex: the servers that are cheap now rise as fast as the others once they
	// have filled up.
	slope /= float64(n)
	for i := range o.list {
		o.list[i].perRequest = slope
	}
	// Newton's method on the number of requests that fit below the level: the function is
	// convex and piecewise linear, so that the first step overshoots and each further one
	// comes down to the level.
	at := lowest
	for step := range levelSteps {
		fit, perMs := 0.0, 0.0
		for i := range o.list {
			if c := &o.list[i]; !c.excluded && c.shared <= at {
				each := 1 / c.perRequest
				fit += (at - c.shared) * each
				perMs += each
			}
		}
		change := (unseen - fit) / perMs
		if at += change; step > 0 && change > -levelPrecision {
			break
		}
	}
	return at
}

const (
	// levelPrecision is the error of a level in milliseconds.
	levelPrecision = 0.1
	// tieMs is the difference of costs, in milliseconds, below which candidates are equal.
	tieMs = 0.5
	// randomSteps is the resolution of a random choice.
	randomSteps = 1 << 20
)

// pick returns the index of the cheapest candidate, and its cost and that of the next best
// one. Shared costs below the level are not believed. Among equals the choice is random,
// by the number of requests that still fit below the level. There must be an option.
func (o *options) pick(level float64, random func(n int) int) (best int, cost, next float64) {
	lowest := 0.0
	for i := range o.list {
		c := &o.list[i]
		c.total = c.own + max(c.shared, level)
		if i == 0 || c.total < lowest {
			lowest = c.total
		}
	}
	weights := 0.0
	for i := range o.list {
		c := &o.list[i]
		if c.total > lowest+tieMs {
			continue
		}
		weight := 1 + max(0, level-c.shared)/c.perRequest
		weights += weight
		if float64(random(randomSteps)) < weight/weights*randomSteps {
			best = i
		}
	}
	cost = o.list[best].total
	next, ok := cost, false
	for i := range o.list {
		if c := &o.list[i]; i != best && (!ok || c.total < next) {
			next, ok = c.total, true
		}
	}
	return best, cost, next
}
