// Package phaseplan decides how many engines of a model service run prefill and
// how many run decode. It is built for loads whose ratio of prompt to output
// shifts within minutes, while a change of phase takes an engine out of service
// for seconds.
package phaseplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Plan is the split of engines that the operators chose.
type Plan struct {
	// PrefillShare is the fraction of the engines that run prefill, if engines
	// have at least fullDecodeSlots slots.
	PrefillShare float64
}

// fullDecodeSlots is the number of streams that an engine can decode at once
// without pauses that callers notice. An engine with fewer slots has
// proportionally less decode capacity, so more decode engines are needed.
const fullDecodeSlots = 20

// prefillShare returns the fraction of the engines that run prefill, for
// engines with the given number of slots; 0 means unknown and counts as enough.
func (p Plan) prefillShare(slots int) float64 {
	if slots <= 0 || slots >= fullDecodeSlots {
		return p.PrefillShare
	}
	decode := (1 - p.PrefillShare) * fullDecodeSlots / float64(slots)
	return p.PrefillShare / (p.PrefillShare + decode)
}

// DefaultPlan suits the known deployments: long prompts with short answers.
var DefaultPlan = Plan{PrefillShare: 0.58}

// Change is a planned change of an engine to another phase.
type Change struct {
	Engine fleet.Engine
	Phase  fleet.Phase
}

// Changes returns the changes that bring a service's engines to the plan. Each
// phase keeps at least one engine; with fewer than two engines there are no
// changes. Engines are taken from the software version with the largest share of the
// phase, since prefill and decode of a prompt need engines of one version; then from
// the zone with the most engines of the phase, the least loaded first. Leaving engines
// and plain servers are not changed.
func (p Plan) Changes(engines []fleet.Engine, load func(engine string) fleet.Load) []Change {
	eligible, counts := eligibleEngines(engines)
	if len(eligible) < 2 {
		return nil
	}
	return changesTo(p.prefillShare(eligible[0].Slots), eligible, counts, load)
}

// eligibleEngines returns the engines whose phase may change and counts them by
// phase.
func eligibleEngines(engines []fleet.Engine) (eligible []fleet.Engine, counts map[fleet.Phase]int) {
	counts = make(map[fleet.Phase]int)
	for _, e := range engines {
		if !e.Leaving && e.Phase != fleet.NoPhase {
			eligible = append(eligible, e)
			counts[e.Phase]++
		}
	}
	return eligible, counts
}

// changesTo returns the changes after which the given share of the eligible
// engines, of which there are at least two, runs prefill.
func changesTo(share float64, eligible []fleet.Engine, counts map[fleet.Phase]int, load func(engine string) fleet.Load) []Change {
	wanted := int(math.Round(share * float64(len(eligible))))
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

// nextToChange returns the engine of a phase that should change first.
func nextToChange(engines []fleet.Engine, from fleet.Phase, load func(string) fleet.Load) fleet.Engine {
	byZone, byVersion, versionSize := make(map[string]int), make(map[string]int), make(map[string]int)
	for _, e := range engines {
		versionSize[e.Version]++
		if e.Phase == from {
			byZone[e.Zone]++
			byVersion[e.Version]++
		}
	}
	share := func(e fleet.Engine) float64 { return float64(byVersion[e.Version]) / float64(versionSize[e.Version]) }
	candidates := slices.DeleteFunc(slices.Clone(engines), func(e fleet.Engine) bool { return e.Phase != from })
	return slices.MinFunc(candidates, func(a, b fleet.Engine) int {
		return cmp.Or(
			cmp.Compare(share(b), share(a)),
			cmp.Compare(byZone[b.Zone], byZone[a.Zone]),
			cmp.Compare(pendingWork(load(a.ID)), pendingWork(load(b.ID))),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// pendingWork adds prompt tokens and streams; it only ranks engines.
func pendingWork(l fleet.Load) int {
	return l.PromptTokens + l.Streams
}
