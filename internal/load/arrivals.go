package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sizeSpread is the standard deviation of the logarithm of sizes.
	sizeSigma = 0.5
	// maxSizeFactor bounds a drawn size, as a multiple of its mean.
	maxSizeFactor = 8
)

// Arrival is one request that a caller makes.
type Arrival struct {
	// Number is unique in a run.
	Number int
	// At is the time from the start of the run.
	At       time.Duration
	Customer string
	// Completion or Call is the source; the other one is nil.
	Completion *CompletionSource
	Call       *CallSource
	// PromptTokens and OutputTokens are the drawn sizes of a completion.
	PromptTokens int
	OutputTokens int
	// Key is the idempotency key of a call.
	Key string
	// Repeat tells that the call is sent a second time.
	Repeat bool
}

// Arrivals draws the arrivals of a run, in order of time. The same mix gives
// the same arrivals.
func Arrivals(m *Mix) []Arrival {
	var out []Arrival
	for i := range m.Completions {
		d := newGenerator(m, uint64(i))
		out = append(out, d.completions(&m.Completions[i])...)
	}
	for i := range m.Calls {
		d := newGenerator(m, uint64(len(m.Completions)+i))
		out = append(out, d.calls(&m.Calls[i])...)
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range out {
		out[i].Number = i
		out[i].Key = fmt.Sprintf("load-%d-%d", m.Seed, i)
	}
	return out
}

// draw draws one source's arrivals.
type generator struct {
	mix    *Mix
	random *rand.Rand
}

func newGenerator(m *Mix, source uint64) *generator {
	return &generator{mix: m, random: rand.New(rand.NewPCG(m.Seed, source))}
}

func (d *generator) completions(s *CompletionSource) []Arrival {
	var out []Arrival
	for at := range d.arrivalTimes(s.Rate) {
		phase := d.mix.phaseAt(at)
		out = append(out, Arrival{
			At:           at,
			Customer:     d.drawCustomer(s.Customers),
			Completion:   s,
			PromptTokens: d.drawSize(float64(s.PromptTokens) * phase.Prompt),
			OutputTokens: d.drawSize(float64(s.OutputTokens) * phase.Output),
		})
	}
	return out
}

func (d *generator) calls(s *CallSource) []Arrival {
	var out []Arrival
	for at := range d.arrivalTimes(s.Rate) {
		out = append(out, Arrival{
			At:       at,
			Customer: d.drawCustomer(s.Customers),
			Call:     s,
			Repeat:   d.random.Float64() < s.Repeat,
		})
	}
	return out
}

// times yields the times of a Poisson process whose rate follows the phases.
// It draws at the highest rate and keeps each time with the probability of
// the rate then in force.
func (d *generator) arrivalTimes(rate float64) func(yield func(time.Duration) bool) {
	peak := defaultPhase.Rate
	for _, p := range d.mix.Phases {
		peak = max(peak, p.Rate)
	}
	return func(yield func(time.Duration) bool) {
		at := time.Duration(0)
		for {
			at += time.Duration(d.random.ExpFloat64() / (rate * peak) * float64(time.Second))
			if at >= d.mix.Duration.Std() {
				return
			}
			keep := d.random.Float64() < d.mix.phaseAt(at).Rate/peak
			if keep && !yield(at) {
				return
			}
		}
	}
}

// size draws a log-normal size with the given mean.
func (d *generator) drawSize(mean float64) int {
	factor := math.Exp(d.random.NormFloat64()*sizeSigma - sizeSigma*sizeSigma/2)
	return max(1, int(mean*min(factor, maxSizeFactor)))
}

func (d *generator) drawCustomer(customers []string) string {
	return customers[d.random.IntN(len(customers))]
}

// phase returns the phase in force at a time.
func (m *Mix) phaseAt(at time.Duration) Phase {
	current := defaultPhase
	for _, p := range m.Phases {
		if at < p.At.Std() {
			break
		}
		current = p
	}
	return current
}
