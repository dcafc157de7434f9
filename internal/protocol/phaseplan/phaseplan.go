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

// fullDecodeSlots is the number of streams that an engine decodes at once without
// pauses that callers notice. One with fewer slots is worth that much less in
// the decode phase, so more engines are needed there.
const fullDecodeSlots = 20

// prefillShare returns the part of the engines that read prompts, for engines with
// the given slots; zero slots are unknown and count as enough.
func (p Plan) prefillShare(slots int) float64 {
	if slots <= 0 || slots >= fullDecodeSlots {
		return p.PrefillShare
	}
	decode := (1 - p.PrefillShare) * fullDecodeSlots / float64(slots)
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
	var eligible []fleet.Engine
	counts := make(map[fleet.Phase]int)
	for _, e := range engines {
		if !e.Leaving && e.Phase != fleet.Whole {
			eligible = append(eligible, e)
			counts[e.Phase]++
		}
	}
	if len(eligible) < 2 {
		return nil
	}
	wanted := int(math.Round(p.prefillShare(eligible[0].Slots) * float64(len(eligible))))
	wanted = min(max(wanted, 1), len(eligible)-1)
	from, to, n := fleet.Decode, fleet.Prefill, wanted-counts[fleet.Prefill]
	if n < 0 {
		from, to, n = fleet.Prefill, fleet.Decode, -n
	}
	var out []Change
	for range n {
		e := nextToChange(eligible, from, load)
		out = append(out, Change{Engine: e, Phase: to})
		for i := range eligible {
			if eligible[i].ID == e.ID {
				eligible[i].Phase = to
			}
		}
	}
	return out
}

// nextToChange returns the engine of a phase that changes first.
func nextToChange(engines []fleet.Engine, from fleet.Phase, load func(string) fleet.Load) fleet.Engine {
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
			cmp.Compare(pendingWork(load(a.ID)), pendingWork(load(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

func pendingWork(l fleet.Load) int {
	return l.PromptTokens + l.Streams
}
