package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// sizeSigma is the standard deviation of the logarithm of request sizes.
	sizeSigma = 0.5
	// maxSizeFactor limits a generated size to this multiple of the mean.
	maxSizeFactor = 8
)

// Arrival is one generated request.
type Arrival struct {
	// Number is unique within a run.
	Number int
	// At is the scheduled time, relative to the start of the run.
	At       time.Duration
	Customer string
	// Completion and Call are the possible sources; exactly one is set.
	Completion *CompletionSource
	Call       *CallSource
	// PromptTokens and OutputTokens are the sizes of a completion.
	PromptTokens int
	OutputTokens int
	// Key is the idempotency key of a call.
	Key string
	// Repeat is set if the call is sent a second time with the same key.
	Repeat bool
}

// Arrivals generates the arrivals of a run, ordered by time. It is
// deterministic: the same mix gives the same arrivals.
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

// generator generates the arrivals of one source.
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

// arrivalTimes yields the times of a Poisson process whose rate follows the
// phases. It uses thinning: it generates times at the peak rate and keeps each
// with the probability of current rate / peak rate.
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

// drawSize returns a log-normally distributed size with the given mean.
func (d *generator) drawSize(mean float64) int {
	factor := math.Exp(d.random.NormFloat64()*sizeSigma - sizeSigma*sizeSigma/2)
	return max(1, int(mean*min(factor, maxSizeFactor)))
}

func (d *generator) drawCustomer(customers []string) string {
	return customers[d.random.IntN(len(customers))]
}

// phaseAt returns the phase that applies at a time.
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
