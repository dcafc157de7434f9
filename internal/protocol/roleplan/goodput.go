package roleplan

import (
	"fmt"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/speed"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// GoodputOptions configures a Goodput planner.
type GoodputOptions struct {
	// Horizon is how long a change is expected to be of use.
	Horizon time.Duration
	// ChangeTime is how long a change takes an engine away.
	ChangeTime time.Duration
	// Dwell is the least time that an engine keeps a role.
	Dwell time.Duration
	// Settle is the least time between two changes of one model.
	Settle time.Duration
	// Headroom is the part of an engine's full rate that is planned with.
	Headroom float64
	// Memory is the age at which a sample of the recent demand has lost all
	// but 1/e of its weight.
	Memory time.Duration
	// MinGain is the least gain worth a change, as a part of the worth that
	// is served without it.
	MinGain float64
}

// DefaultGoodput returns the options of both example deployments.
func DefaultGoodput() GoodputOptions {
	return GoodputOptions{
		Horizon:    2 * time.Minute,
		ChangeTime: 8 * time.Second,
		Dwell:      30 * time.Second,
		Settle:     2 * time.Second,
		Headroom:   0.85,
		Memory:     30 * time.Second,
		MinGain:    0.01,
	}
}

// Goodput plans the change with the most goodput over the horizon, less the
// goodput lost during the change and the model's price of a change. It keeps
// no state: equal arguments give equal plans.
type Goodput struct {
	options GoodputOptions
}

// NewGoodput returns a planner.
func NewGoodput(o GoodputOptions) *Goodput {
	return &Goodput{options: o}
}

// Plan implements Planner. It returns one move at most.
func (g *Goodput) Plan(now clock.Instant, model settings.Model, demand Demand, engines []Engine) []Move {
	if g.unsettled(now, engines) {
		return nil
	}
	f := newFleet(&model, demand, engines, g.options.Headroom)
	recent := f.weights(g.options.Memory)
	longer := f.weights(longerMemory * g.options.Memory)
	best, bestNet := Move{}, 0.0
	for from := range speed.Roles {
		name := g.movable(now, f, from)
		if name == "" || !keepsMinimum(f, demand, from) {
			continue
		}
		for to := range speed.Roles {
			if to == from {
				continue
			}
			net, gain := g.net(f, recent, longer, from, to)
			if net > bestNet {
				reason := fmt.Sprintf("expected gain %.1f, net %.1f worth over %s", gain, net, g.options.Horizon)
				best, bestNet = Move{Engine: name, Role: speed.Roles[to], Reason: reason}, net
			}
		}
	}
	if best.Engine == "" {
		return nil
	}
	return []Move{best}
}

// unsettled reports whether a change runs or ended a short time ago.
func (g *Goodput) unsettled(now clock.Instant, engines []Engine) bool {
	for i := range engines {
		if engines[i].Changing {
			return true
		}
		if engines[i].Since > 0 && now.Sub(engines[i].Since) < g.options.Settle {
			return true
		}
	}
	return false
}

// movable returns the engine of a role that has kept it for longest and may
// change it, or none.
func (g *Goodput) movable(now clock.Instant, f *fleet, role int) string {
	var oldest *Engine
	for i := range f.engines {
		e := &f.engines[i]
		s := f.model.Engines[e.Name]
		pinned := s.Role != "" || s.Drain || s.Authority == settings.AuthorityOldSystem
		if !e.Available || pinned || e.Role != speed.Roles[role] {
			continue
		}
		if e.Since > 0 && now.Sub(e.Since) < g.options.Dwell {
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

// keepsMinimum reports whether a role may lose one engine: the bounds of the
// settings are kept, and work of a kind that arrives keeps an engine whose
// role serves it.
func keepsMinimum(f *fleet, demand Demand, from int) bool {
	left := f.counts
	left[from]--
	prefill, decode, mixed := left[0], left[1], left[2]
	prompts := demand.PromptTokens <= 0 || prefill+mixed >= 1
	outputs := demand.OutputTokens <= 0 || decode+mixed >= 1
	switch speed.Roles[from] {
	case settings.RolePrefill:
		return prompts && prefill >= float64(f.model.MinPrefill)
	case settings.RoleDecode:
		return outputs && decode >= float64(f.model.MinDecode)
	}
	return prompts && outputs
}

// longerMemory is the ratio of the two memories by which a change is judged: it
// has to pay by both, so that waves and short surges move nothing.
const longerMemory = 4

// net returns the worth over the horizon that a change brings after all its
// costs, and the worth before them, by the memory that gives less.
func (g *Goodput) net(f *fleet, recent, longer []float64, from, to int) (net, gain float64) {
	net, gain = g.netOf(f, recent, from, to)
	if net <= 0 {
		return net, gain
	}
	longerNet, longerGain := g.netOf(f, longer, from, to)
	if longerNet < net {
		return longerNet, longerGain
	}
	return net, gain
}

// netOf is net for one weighing of the recent demand.
func (g *Goodput) netOf(f *fleet, weights []float64, from, to int) (net, gain float64) {
	during := f.counts
	during[from]--
	after := during
	after[to]++
	now := f.served(f.counts, weights)
	gain = (f.served(after, weights) - now) * (g.options.Horizon - g.options.ChangeTime).Seconds()
	if gain < g.options.MinGain*now*g.options.Horizon.Seconds() {
		return 0, gain
	}
	lost := max(now-f.served(during, weights), 0) * g.options.ChangeTime.Seconds()
	return gain - lost - f.model.RolePrice, gain
}
