package roleplan

import (
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// GoodputOptions configures a Goodput planner.
type GoodputOptions struct {
	// Horizon is how long a change is expected to be of use.
	Horizon time.Duration
	// ChangeTime is how long an engine serves nothing while it changes its
	// role.
	ChangeTime time.Duration
	// MinDwell is the least time that an engine keeps a role.
	MinDwell time.Duration
	// MinChangeInterval is the least time after a role change before the next
	// one of the same model.
	MinChangeInterval time.Duration
	// TargetUtilization is the fraction of an engine's full capacity that is
	// planned with.
	TargetUtilization float64
	// DecayTime is the age at which the weight of a sample of the recent demand
	// has fallen to 1/e.
	DecayTime time.Duration
	// MinRelativeGain is the least gain that justifies a change, as a fraction
	// of the worth that is served without it.
	MinRelativeGain float64
}

// DefaultGoodput returns the options of both example deployments.
func DefaultGoodput() GoodputOptions {
	return GoodputOptions{
		Horizon:           2 * time.Minute,
		ChangeTime:        8 * time.Second,
		MinDwell:          30 * time.Second,
		MinChangeInterval: 2 * time.Second,
		TargetUtilization: 0.85,
		DecayTime:         30 * time.Second,
		MinRelativeGain:   0.01,
	}
}

// Goodput plans the role change that adds the most goodput over the horizon,
// after subtracting the goodput lost during the change and the model's price of
// a change. It keeps no state: equal arguments give equal plans.
type Goodput struct {
	options GoodputOptions
}

// NewGoodput returns a planner with the given options.
func NewGoodput(o GoodputOptions) *Goodput {
	return &Goodput{options: o}
}

// Plan implements Planner. It returns at most one role change.
func (g *Goodput) Plan(now clock.Instant, model settings.Model, demand Demand, engines []Engine) []RoleChange {
	if g.inCooldown(now, engines) {
		return nil
	}
	p := newPlanInput(&model, demand, engines, g.options.TargetUtilization)
	shortWeights := p.sampleWeights(g.options.DecayTime)
	longWeights := p.sampleWeights(longDecayFactor * g.options.DecayTime)
	best, bestNet := RoleChange{}, 0.0
	for from := range speed.Roles {
		name := g.changeCandidate(now, p, from)
		if name == "" || !keepsMinimum(p, demand, from) {
			continue
		}
		for to := range speed.Roles {
			if to == from {
				continue
			}
			net, gain := g.netGain(p, shortWeights, longWeights, from, to)
			if net > bestNet {
				reason := fmt.Sprintf("expected gain %.1f, net %.1f worth over %s", gain, net, g.options.Horizon)
				best, bestNet = RoleChange{Engine: name, Role: speed.Roles[to], Reason: reason}, net
			}
		}
	}
	if best.Engine == "" {
		return nil
	}
	return []RoleChange{best}
}

// inCooldown reports whether a role change is running or ended less than
// MinChangeInterval ago.
func (g *Goodput) inCooldown(now clock.Instant, engines []Engine) bool {
	for i := range engines {
		if engines[i].Changing {
			return true
		}
		if engines[i].Since > 0 && now.Sub(engines[i].Since) < g.options.MinChangeInterval {
			return true
		}
	}
	return false
}

// changeCandidate returns the name of the engine that has had the role for
// longest among those that may change it, or "".
func (g *Goodput) changeCandidate(now clock.Instant, p *planInput, role int) string {
	var oldest *Engine
	for i := range p.engines {
		e := &p.engines[i]
		s := p.model.Engines[e.Name]
		pinned := s.Role != "" || s.Drain || s.Authority == settings.AuthorityOldSystem
		if !e.Available || pinned || e.Role != speed.Roles[role] {
			continue
		}
		if e.Since > 0 && now.Sub(e.Since) < g.options.MinDwell {
			continue
		}
		if oldest == nil || e.Since < oldest.Since {
			oldest = e
		}
	}
	if oldest == nil {
		return ""
	}
	return oldest.Name
}

// keepsMinimum reports whether a role may lose one engine: the minimums of the
// settings still hold, and prompts and outputs that arrive keep at least one
// engine whose role serves them.
func keepsMinimum(p *planInput, demand Demand, from int) bool {
	remaining := p.counts
	remaining[from]--
	prefill, decode, mixed := remaining[0], remaining[1], remaining[2]
	prompts := demand.PromptTokens <= 0 || prefill+mixed >= 1
	outputs := demand.OutputTokens <= 0 || decode+mixed >= 1
	switch speed.Roles[from] {
	case settings.RolePrefill:
		return prompts && prefill >= float64(p.model.MinPrefill)
	case settings.RoleDecode:
		return outputs && decode >= float64(p.model.MinDecode)
	}
	return prompts && outputs
}

// longDecayFactor is the ratio of the longer decay time to DecayTime. A change
// has to pay off with both, so that waves and short surges cause no changes.
const longDecayFactor = 4

// netGain returns the gain in worth that a change brings over the horizon,
// after and before its costs, with the weights that give the smaller net gain.
func (g *Goodput) netGain(p *planInput, shortWeights, longWeights []float64, from, to int) (net, gain float64) {
	net, gain = g.netGainFor(p, shortWeights, from, to)
	if net <= 0 {
		return net, gain
	}
	longerNet, longerGain := g.netGainFor(p, longWeights, from, to)
	if longerNet < net {
		return longerNet, longerGain
	}
	return net, gain
}

// netGainFor is netGain with one set of weights. net is 0 if the gain is below
// MinRelativeGain.
func (g *Goodput) netGainFor(p *planInput, weights []float64, from, to int) (net, gain float64) {
	during := p.counts
	during[from]--
	after := during
	after[to]++
	now := p.meanServedWorth(p.counts, weights)
	gain = (p.meanServedWorth(after, weights) - now) * (g.options.Horizon - g.options.ChangeTime).Seconds()
	if gain < g.options.MinRelativeGain*now*g.options.Horizon.Seconds() {
		return 0, gain
	}
	lost := max(now-p.meanServedWorth(during, weights), 0) * g.options.ChangeTime.Seconds()
	return gain - lost - p.model.RolePrice, gain
}
