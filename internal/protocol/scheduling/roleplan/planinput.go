package roleplan

import (
	"math"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// planInput is the input of one plan: one model's engines and the samples of
// its recent demand, oldest first.
type planInput struct {
	table             *speed.Table
	model             *settings.Model
	engines           []Engine
	counts            fluid.Capacity
	samples           [][]fluid.Class
	targetUtilization float64
	// worthByCounts caches servedWorth by the number of engines in each role.
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

// sampleWeights returns the weight of each sample; the weights add up to one.
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

// meanServedWorth is the weighted mean, over the samples, of the worth per
// second that engines in the given roles can serve.
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

// servedWorth returns the worth per second that engines in the given roles can
// serve of each sample.
func (p *planInput) servedWorth(counts fluid.Capacity) []float64 {
	for r := range counts {
		counts[r] *= p.targetUtilization
	}
	out := make([]float64, len(p.samples))
	for i, classes := range p.samples {
		out[i] = fluid.Optimize(p.table, counts, classes).Worth
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
