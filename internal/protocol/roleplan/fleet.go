package roleplan

import (
	"math"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// fleet is what one plan works on: one model's engines and the demand of some
// moments, oldest first.
type fleet struct {
	table    *speed.Table
	model    *settings.Model
	engines  []Engine
	counts   fluid.Capacity
	moments  [][]fluid.Class
	headroom float64
	// worths holds, by number of engines in each role, the worth per second
	// that they would serve at each moment.
	worths map[fluid.Capacity][]float64
}

func newFleet(model *settings.Model, demand Demand, engines []Engine, headroom float64) *fleet {
	f := &fleet{
		table: speed.FromModel(model), model: model, engines: engines, counts: count(engines),
		headroom: headroom, worths: make(map[fluid.Capacity][]float64),
	}
	for i := range demand.Recent {
		f.moments = append(f.moments, classesOf(&demand.Recent[i]))
	}
	if len(f.moments) == 0 {
		f.moments = append(f.moments, classesOf(&demand))
	}
	return f
}

// weights returns the weight of each moment; the weights add up to one.
func (f *fleet) weights(memory time.Duration) []float64 {
	out := make([]float64, len(f.moments))
	sum := 0.0
	for i := range out {
		age := time.Duration(len(out)-1-i) * sampleInterval
		out[i] = math.Exp(-age.Seconds() / memory.Seconds())
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// served is the mean worth per second that engines in the given roles serve of
// the demand.
func (f *fleet) served(counts fluid.Capacity, weights []float64) float64 {
	worths, ok := f.worths[counts]
	if !ok {
		worths = f.serve(counts)
		f.worths[counts] = worths
	}
	sum := 0.0
	for i, weight := range weights {
		sum += weight * worths[i]
	}
	return sum
}

func (f *fleet) serve(counts fluid.Capacity) []float64 {
	for r := range counts {
		counts[r] *= f.headroom
	}
	out := make([]float64, len(f.moments))
	for i, classes := range f.moments {
		out[i] = fluid.Best(f.table, counts, classes).Worth
	}
	return out
}

func classesOf(d *Demand) []fluid.Class {
	out := make([]fluid.Class, 0, len(d.Classes))
	for _, c := range d.Classes {
		out = append(out, fluid.Class{Rate: c.Requests, PromptTokens: c.PromptTokens, OutputTokens: c.OutputTokens, Worth: c.Worth})
	}
	return out
}

func count(engines []Engine) fluid.Capacity {
	var c fluid.Capacity
	for i := range engines {
		if !engines[i].Available {
			continue
		}
		for r, role := range speed.Roles {
			if engines[i].Role == role {
				c[r]++
			}
		}
	}
	return c
}
