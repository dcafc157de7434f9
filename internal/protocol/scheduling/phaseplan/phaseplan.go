// Package phaseplan decides how many engines of a model service run prefill and
// how many run decode. It is built for loads whose ratio of prompt to output
// shifts within minutes, while a change of phase takes an engine out of service
// for seconds.
package phaseplan

import (
	"cmp"
	"maps"
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

// Share returns the fraction of the engines that run prefill, for
// engines with the given number of slots; 0 means unknown and counts as enough.
func (p Plan) Share(slots int) float64 {
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
	// hadWork is set if the engine had work when the change was planned.
	hadWork bool
}

// Changes returns the changes that bring a service's engines to the plan. Each
// phase keeps at least one engine; with fewer than two engines there are no
// changes. Engines are taken from the software version with the largest share of the
// phase, since prefill and decode of a prompt need engines of one version; then from
// the zone with the most engines of the phase, the least loaded first. Each version keeps
// or gets an engine that decodes, since no other version can continue its streams.
// Leaving engines and plain servers are not changed.
func (p Plan) Changes(engines []fleet.Engine, load func(engine string) fleet.Load) []Change {
	eligible, counts := eligibleEngines(engines)
	if len(eligible) < 2 {
		return nil
	}
	return changesTo(p.Share(eligible[0].Slots), eligible, counts, load)
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
	return changesPreferring(nil, share, eligible, counts, load)
}

// changesPreferring is like changesTo, except that those engines change first that
// preferred reports, unless it is nil.
func changesPreferring(preferred func(fleet.Engine) bool, share float64, eligible []fleet.Engine, counts map[fleet.Phase]int, load func(engine string) fleet.Load) []Change {
	wanted := int(math.Round(share * float64(len(eligible))))
	wanted = min(max(wanted, 1), len(eligible)-1)
	from, to, n := fleet.Decode, fleet.Prefill, wanted-counts[fleet.Prefill]
	if n < 0 {
		from, to, n = fleet.Prefill, fleet.Decode, -n
	}
	var out []Change
	change := func(candidates []fleet.Engine, to fleet.Phase) {
		if len(candidates) == 0 {
			return
		}
		if preferred != nil && slices.ContainsFunc(candidates, preferred) {
			candidates = slices.DeleteFunc(candidates, func(e fleet.Engine) bool { return !preferred(e) })
		}
		e := nextToChange(eligible, candidates, load)
		out = append(out, Change{Engine: e, Phase: to})
		for i := range eligible {
			if eligible[i].ID == e.ID {
				eligible[i].Phase = to
			}
		}
	}
	for range n {
		change(spareEngines(eligible, from), to)
	}
	for _, version := range slices.Sorted(maps.Keys(enginesByVersion(eligible))) {
		if countVersion(eligible, version, fleet.Decode) == 0 {
			change(ofVersion(eligible, version), fleet.Decode)
		}
	}
	return out
}

// substitutes returns the changes that give each version an engine that decodes, if those
// listed as decoding can't be reached: their list entries may be old, and no other
// version can continue their streams. The last engine that prefills stays.
// becomesDecoder reports whether an engine is changing to decode already.
func substitutes(engines []fleet.Engine, load func(engine string) fleet.Load, becomesDecoder func(fleet.Engine) bool) (out []Change) {
	reachable := func(e fleet.Engine) bool { return load(e.ID).MissingEntries == 0 }
	for _, version := range slices.Sorted(maps.Keys(enginesByVersion(engines))) {
		var prefill []fleet.Engine
		decodes := false
		for _, e := range ofVersion(engines, version) {
			switch {
			case !reachable(e):
			case e.Phase == fleet.Decode || becomesDecoder(e):
				decodes = true
			default:
				prefill = append(prefill, e)
			}
		}
		if !decodes && len(prefill) > 1 {
			out = append(out, Change{Engine: nextToChange(engines, prefill, load), Phase: fleet.Decode})
		}
	}
	return out
}

// spareEngines returns the engines that may leave a phase: not the only one of its
// version that decodes.
func spareEngines(engines []fleet.Engine, from fleet.Phase) (out []fleet.Engine) {
	for _, e := range engines {
		if e.Phase == from && (from != fleet.Decode || countVersion(engines, e.Version, from) > 1) {
			out = append(out, e)
		}
	}
	return out
}

func ofVersion(engines []fleet.Engine, version string) (out []fleet.Engine) {
	for _, e := range engines {
		if e.Version == version {
			out = append(out, e)
		}
	}
	return out
}

// countVersion counts the engines of a version in a phase.
func countVersion(engines []fleet.Engine, version string, phase fleet.Phase) (n int) {
	for _, e := range engines {
		if e.Version == version && e.Phase == phase {
			n++
		}
	}
	return n
}

func enginesByVersion(engines []fleet.Engine) map[string]int {
	out := make(map[string]int)
	for _, e := range engines {
		out[e.Version]++
	}
	return out
}

// nextToChange returns which of the candidates, which are in one phase, should change
// first.
func nextToChange(engines, candidates []fleet.Engine, load func(string) fleet.Load) fleet.Engine {
	from, byZone, versionSize := candidates[0].Phase, make(map[string]int), enginesByVersion(engines)
	for _, e := range engines {
		if e.Phase == from {
			byZone[e.Zone]++
		}
	}
	shareAfter := func(e fleet.Engine) float64 {
		return float64(countVersion(engines, e.Version, from)-1) / float64(versionSize[e.Version])
	}
	return slices.MinFunc(candidates, func(a, b fleet.Engine) int {
		return cmp.Or(
			cmp.Compare(shareAfter(b), shareAfter(a)),
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
