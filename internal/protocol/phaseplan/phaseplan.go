// Package phaseplan decides how many engines of a model service read prompts
// and how many produce tokens. It answers loads whose mix of prompt and output
// shifts within minutes, where a change takes an engine away for seconds.
package phaseplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Plan holds what the operators chose.
type Plan struct {
	// PrefillShare is the part of the engines that read prompts, where engines
	// have decodeStreams slots or more.
	PrefillShare float64
}

// decodeStreams is the number of streams that an engine decodes at once without
// pauses that callers notice. One with fewer slots is worth that much less in
// the decode phase, so more engines are needed there.
const decodeStreams = 20

// share returns the part of the engines that read prompts, for engines with
// the given slots; zero slots are unknown and count as enough.
func (p Plan) share(slots int) float64 {
	if slots <= 0 || slots >= decodeStreams {
		return p.PrefillShare
	}
	decode := (1 - p.PrefillShare) * decodeStreams / float64(slots)
	return p.PrefillShare / (p.PrefillShare + decode)
}

// DefaultPlan suits the deployments known: long prompts with short answers.
var DefaultPlan = Plan{PrefillShare: 0.58}

// Change is an engine that is to change its phase.
type Change struct {
	Engine fleet.Engine
	Phase  fleet.Phase
}

// Changes returns the changes that bring a service's engines to the plan; it
// always leaves one engine in each phase. Engines without load change first,
// and zones with many engines of a phase give before others.
func (p Plan) Changes(engines []fleet.Engine, load func(engine string) fleet.Load) []Change {
	var open []fleet.Engine
	counts := make(map[fleet.Phase]int)
	for _, e := range engines {
		if !e.Leaving && e.Phase != fleet.Whole {
			open = append(open, e)
			counts[e.Phase]++
		}
	}
	if len(open) < 2 {
		return nil
	}
	wanted := int(math.Round(p.share(open[0].Slots) * float64(len(open))))
	wanted = min(max(wanted, 1), len(open)-1)
	from, to, n := fleet.Decode, fleet.Prefill, wanted-counts[fleet.Prefill]
	if n < 0 {
		from, to, n = fleet.Prefill, fleet.Decode, -n
	}
	var out []Change
	for range n {
		e := next(open, from, load)
		out = append(out, Change{Engine: e, Phase: to})
		for i := range open {
			if open[i].ID == e.ID {
				open[i].Phase = to
			}
		}
	}
	return out
}

// next returns the engine of a phase that changes first.
func next(engines []fleet.Engine, from fleet.Phase, load func(string) fleet.Load) fleet.Engine {
	byZone := make(map[string]int)
	for _, e := range engines {
		if e.Phase == from {
			byZone[e.Zone]++
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(engines), func(e fleet.Engine) bool { return e.Phase != from })
	return slices.MinFunc(candidates, func(a, b fleet.Engine) int {
		return cmp.Or(
			cmp.Compare(byZone[b.Zone], byZone[a.Zone]),
			cmp.Compare(work(load(a.ID)), work(load(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

func work(l fleet.Load) int {
	return l.PromptTokens + l.Streams
}
