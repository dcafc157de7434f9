package cost

import (
	"math"
	"time"
)

const (
	// lengthHalfLife is the time in which the length of an output loses half of its weight:
	// the mix of requests turns within seconds.
	lengthHalfLife = 1500 * time.Millisecond
	// priorSpread is the standard deviation of the logarithm of an output's length over
	// its hint that is assumed before the first output, with priorOutputs outputs' weight:
	// half of the outputs are within a factor of 1.6 of the hint.
	priorSpread  = 0.7
	priorOutputs = 2
	// defaultOutput is the length of an output without any hint.
	defaultOutput = 200
	// maxSpread bounds the spread that an expectation is computed from.
	maxSpread = 1.5
	// maxKinds bounds the number of routes, and of pairs of a route and a workspace, whose
	// outputs are known. kindLife is the time without outputs after which one is dropped.
	maxKinds = 1024
	kindLife = 30 * time.Second
)

// Kind names the requests whose outputs are alike.
type Kind struct {
	Route     string
	Workspace string
}

// Output is the expected length of an output in tokens, log-normally distributed.
type Output struct {
	Median float64
	// Spread is the standard deviation of the logarithm.
	Spread float64
	// Max is the largest length that the request allows; zero if it names none.
	Max float64
}

// Mean returns the expected length, which the tail raises above the median.
func (o Output) Mean() float64 {
	mean := o.Median * math.Exp(o.Spread*o.Spread/2)
	if o.Max > 0 {
		mean = min(mean, o.Max)
	}
	return mean
}

// Quantile returns the length that the given part of the outputs don't exceed; score is that
// part as a number of standard deviations.
func (o Output) Quantile(score float64) float64 {
	length := o.Median * math.Exp(o.Spread*score)
	if o.Max > 0 {
		length = min(length, o.Max)
	}
	return length
}

// logs holds the sum of logarithms of recent values and of their squares.
type logs struct {
	n, sum, squares float64
}

func (l *logs) decay(keep float64) {
	l.n, l.sum, l.squares = l.n*keep, l.sum*keep, l.squares*keep
}

func (l *logs) add(x float64) {
	l.n, l.sum, l.squares = l.n+1, l.sum+x, l.squares+x*x
}

// estimate returns the mean and the variance, given those of a prior.
func (l *logs) estimate(mean, variance float64) (posterior, posteriorVariance float64) {
	n := l.n + priorOutputs
	posterior = (l.sum + priorOutputs*mean) / n
	squares := (l.squares + priorOutputs*(variance+mean*mean)) / n
	return posterior, max(0, squares-posterior*posterior)
}

// lengths holds the recent outputs of one kind of request.
type lengths struct {
	// overHint holds the lengths over their hints, and plain the lengths themselves.
	overHint, plain logs
	at              time.Time
}

func (l *lengths) observe(now time.Time, hint, length float64) {
	l.age(now)
	if hint > 0 {
		l.overHint.add(math.Log(length / hint))
	}
	l.plain.add(math.Log(length))
}

// age forgets older outputs.
func (l *lengths) age(now time.Time) {
	if elapsed := now.Sub(l.at); elapsed > 0 {
		keep := math.Exp2(-elapsed.Seconds() / lengthHalfLife.Seconds())
		l.overHint.decay(keep)
		l.plain.decay(keep)
		l.at = now
	}
}

// outputs estimates the length of outputs from hints and from what kinds of requests
// produced lately. It is not safe for concurrent use.
type outputs struct {
	kinds map[Kind]*lengths
}

func newOutputs() *outputs { return &outputs{kinds: make(map[Kind]*lengths)} }

// observe adds an output of a kind; hint is zero if there was none.
func (o *outputs) observe(now time.Time, k Kind, hint, length float64) {
	length = max(1, length)
	o.kind(now, Kind{Route: k.Route}).observe(now, hint, length)
	if k.Workspace != "" {
		o.kind(now, k).observe(now, hint, length)
	}
}

func (o *outputs) kind(now time.Time, k Kind) *lengths {
	if l, ok := o.kinds[k]; ok {
		return l
	}
	if len(o.kinds) >= maxKinds {
		o.evict(now)
	}
	l := &lengths{at: now}
	o.kinds[k] = l
	return l
}

// evict drops the kinds without recent outputs, or any one if all have some.
func (o *outputs) evict(now time.Time) {
	for k, l := range o.kinds {
		if now.Sub(l.at) > kindLife {
			delete(o.kinds, k)
		}
	}
	for k := range o.kinds {
		if len(o.kinds) < maxKinds {
			return
		}
		delete(o.kinds, k)
	}
}

// expect returns the expected output of a request. Both the hint and the recent lengths
// predict it; each counts by the inverse of its variance.
func (o *outputs) expect(now time.Time, k Kind, hint, limit float64) Output {
	expected := float64(defaultOutput)
	if limit > 0 {
		expected = limit / 2
	}
	over, overVariance := 0.0, priorSpread*priorSpread
	plain, plainVariance := math.Log(expected), 2*priorSpread*priorSpread
	refine := func(key Kind) {
		if l := o.kinds[key]; l != nil {
			l.age(now)
			over, overVariance = l.overHint.estimate(over, overVariance)
			plain, plainVariance = l.plain.estimate(plain, plainVariance)
		}
	}
	refine(Kind{Route: k.Route})
	if k.Workspace != "" {
		refine(k)
	}
	if hint <= 0 {
		return newOutput(plain, plainVariance, limit)
	}
	hinted := over + math.Log(hint)
	w, v := 1/max(overVariance, 0.01), 1/max(plainVariance, 0.01)
	return newOutput((w*hinted+v*plain)/(w+v), min(overVariance, plainVariance), limit)
}

func newOutput(logMedian, variance, limit float64) Output {
	return Output{Median: math.Exp(logMedian), Spread: min(maxSpread, math.Sqrt(variance)), Max: limit}
}
