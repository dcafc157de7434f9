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
type planInput struct {
	table             *speed.Table
	model             *settings.Model
	engines           []Engine
	counts            fluid.Capacity
	samples           [][]fluid.Class
	targetUtilization float64
	// worths holds, by number of engines in each role, the worth per second
	// that they would serve at each moment.
	worthByCounts map[fluid.Capacity][]float64
}

func newPlanInput(model *settings.Model, demand Demand, engines []Engine, targetUtilization float64) *planInput {
	p := &planInput{
		table: speed.FromModel(model), model: model, engines: engines, counts: countByRole(engines),
		targetUtilization: targetUtilization, worthByCounts: make(map[fluid.Capacity][]float64),
	}
	for i := range demand.Recent {
		p.samples = append(p.samples, classesOf(&demand.Recent[i]))
	}
	if len(p.samples) == 0 {
		p.samples = append(p.samples, classesOf(&demand))
	}
	return p
}

// weights returns the weight of each moment; the weights add up to one.
func (p *planInput) sampleWeights(decayTime time.Duration) []float64 {
	out := make([]float64, len(p.samples))
	sum := 0.0
	for i := range out {
		age := time.Duration(len(out)-1-i) * sampleInterval
		out[i] = math.Exp(-age.Seconds() / decayTime.Seconds())
		sum += out[i]
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// served is the mean worth per second that engines in the given roles serve of
// the demand.
func (p *planInput) meanServedWorth(counts fluid.Capacity, weights []float64) float64 {
	worths, ok := p.worthByCounts[counts]
	if !ok {
		worths = p.servedWorth(counts)
		p.worthByCounts[counts] = worths
	}
	sum := 0.0
	for i, weight := range weights {
		sum += weight * worths[i]
	}
	return sum
}

func (p *planInput) servedWorth(counts fluid.Capacity) []float64 {
	for r := range counts {
		counts[r] *= p.targetUtilization
	}
	out := make([]float64, len(p.samples))
	for i, classes := range p.samples {
		out[i] = fluid.Best(p.table, counts, classes).Worth
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

func countByRole(engines []Engine) fluid.Capacity {
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
