package admission

import (
	"cmp"
	"maps"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/fluid"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
)

// model is the demand for one model at this entry.
type model struct {
	classes map[classKey]*class
	// ratesUpdatedAt is the time of the last update of the arrival rates.
	ratesUpdatedAt clock.Instant
	// topClass is the class with the most worth per engine second; nil without
	// demand.
	topClass *class
	// capacityFactor scales the engines' capacity.
	capacityFactor capacityFactor
}

type classKey struct {
	team  string
	class string
}

func (m *model) class(r *routing.Request) *class {
	key := classKey{team: r.Team, class: r.Class}
	k := m.classes[key]
	if k == nil {
		k = &class{
			meanPromptTokens: float64(r.PromptTokens), meanOutputTokens: float64(r.OutputTokens),
			customers: make(map[string]*customer), admitFraction: 1,
		}
		m.classes[key] = k
	}
	return k
}

// updateRates updates the arrival rates to the given time.
func (m *model) updateRates(now clock.Instant) {
	elapsed := now.Sub(m.ratesUpdatedAt)
	m.ratesUpdatedAt = now
	for _, k := range m.classes {
		k.updateRates(elapsed)
	}
}

// plan decides which fraction of each class is admitted until the next plan.
// This entry may use the given fraction of the engines' capacity.
func (m *model) plan(now clock.Instant, view *routing.ModelView, fraction float64) {
	m.updateRates(now)
	factor := m.capacityFactor.next()
	capacity := view.Capacity
	for r := range capacity {
		capacity[r] *= fraction * factor
	}
	keys := m.keys()
	demand := make([]fluid.Class, len(keys))
	for i, key := range keys {
		demand[i] = m.classes[key].fluidClass()
	}
	m.topClass = m.findTopClass(view.Speeds, keys, demand)
	best := fluid.Optimize(view.Speeds, capacity, demand)
	strict := strictness(view.Saturation())
	for i, key := range keys {
		m.classes[key].allocate(best.Served[i]*strict + demand[i].Rate*(1-strict))
	}
}

// findTopClass returns the class whose demand has the most worth per engine
// second, or nil without demand.
func (m *model) findTopClass(t *speed.Table, keys []classKey, demand []fluid.Class) *class {
	var best *class
	most := 0.0
	for i, key := range keys {
		density := demand[i].Worth / t.Cheapest(demand[i].PromptTokens, demand[i].OutputTokens)
		if demand[i].Rate > minTrackedRate && density > most {
			best, most = m.classes[key], density
		}
	}
	return best
}

const (
	// lenientSaturation and strictSaturation bound the ramp of strictness: up
	// to the first, nothing is refused for its worth; from the second on, the
	// plan is applied in full.
	lenientSaturation = 0.35
	strictSaturation  = 0.7
)

// strictness is the fraction of the plan's refusals that is applied, from 0 to
// 1. The plan rests on one entry's noisy arrival rates and the saturation on
// late load reports; a request is refused only when both agree.
func strictness(saturation float64) float64 {
	return min(max((saturation-lenientSaturation)/(strictSaturation-lenientSaturation), 0), 1)
}

func (m *model) keys() []classKey {
	return slices.SortedFunc(maps.Keys(m.classes), func(a, b classKey) int {
		return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.class, b.class))
	})
}

func (m *model) demand() roleplan.Demand {
	var d roleplan.Demand
	for _, key := range m.keys() {
		k := m.classes[key]
		f := k.fluidClass()
		d.Requests += f.Rate
		d.PromptTokens += f.Rate * f.PromptTokens
		d.OutputTokens += f.Rate * f.OutputTokens
		d.Worth += f.Rate * f.Worth
		d.Classes = append(d.Classes, roleplan.ClassDemand{
			Team: key.team, Class: key.class, Requests: f.Rate,
			PromptTokens: f.PromptTokens, OutputTokens: f.OutputTokens, Worth: f.Worth,
		})
	}
	return d
}
