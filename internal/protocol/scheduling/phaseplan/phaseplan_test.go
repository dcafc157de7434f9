package phaseplan_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/phaseplan"
)

func idle(string) fleet.Load { return fleet.Load{} }

// TestPlanIsReachedAndKept applies the changes to random fleets and checks that
// both phases keep an engine and that no further change follows.
func TestPlanIsReachedAndKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := phaseplan.Plan{PrefillShare: rapid.Float64Range(0, 1).Draw(t, "share")}
		var engines []fleet.Engine
		for i := range rapid.IntRange(2, 20).Draw(t, "engines") {
			phase := rapid.SampledFrom([]fleet.Phase{fleet.Prefill, fleet.Decode}).Draw(t, "phase")
			engines = append(engines, fleet.Engine{ID: fmt.Sprint(i), Zone: fmt.Sprint(i % 3), Phase: phase})
		}
		for _, c := range p.Changes(engines, idle) {
			for i := range engines {
				if engines[i].ID == c.Engine.ID {
					engines[i].Phase = c.Phase
				}
			}
		}
		prefill := 0
		for _, e := range engines {
			if e.Phase == fleet.Prefill {
				prefill++
			}
		}
		if prefill == 0 || prefill == len(engines) {
			t.Fatalf("%d of %d engines run prefill, want at least one in each phase", prefill, len(engines))
		}
		if more := p.Changes(engines, idle); len(more) > 0 {
			t.Fatalf("got %d further changes after the plan was applied, want none", len(more))
		}
	})
}

func TestLeavingAndPlainServersAreUnchanged(t *testing.T) {
	engines := []fleet.Engine{{ID: "a", Phase: fleet.Decode, Leaving: true}, {ID: "b"}, {ID: "c", Phase: fleet.Decode}}
	if got := phaseplan.DefaultPlan.Changes(engines, idle); len(got) > 0 {
		t.Errorf("got changes %v, want none", got)
	}
}

func TestIdleEngineInLargestZoneChangesFirst(t *testing.T) {
	engines := []fleet.Engine{
		{ID: "a", Zone: "x", Phase: fleet.Decode},
		{ID: "b", Zone: "y", Phase: fleet.Decode},
		{ID: "c", Zone: "y", Phase: fleet.Decode},
		{ID: "d", Zone: "x", Phase: fleet.Prefill},
	}
	busy := func(id string) fleet.Load { return map[string]fleet.Load{"b": {Streams: 3}}[id] }
	got := phaseplan.DefaultPlan.Changes(engines, busy)
	if len(got) != 1 || got[0].Engine.ID != "c" || got[0].Phase != fleet.Prefill {
		t.Errorf("got changes %v, want only engine c to prefill", got)
	}
}

// TestFewSlotsNeedMoreDecodeEngines checks that the plan assigns more engines to
// decode when they have few slots, which keeps the number of concurrent
// streams.
func TestFewSlotsNeedMoreDecodeEngines(t *testing.T) {
	prefill := func(slots int) (n int) {
		var engines []fleet.Engine
		for i := range 100 {
			engines = append(engines, fleet.Engine{ID: fmt.Sprint(i), Phase: fleet.Decode, Slots: slots})
		}
		return len(phaseplan.Plan{PrefillShare: 0.6}.Changes(engines, idle))
	}
	for slots, want := range map[int]int{0: 60, 64: 60, 20: 60, 12: 47, 10: 43, 1: 7} {
		if got := prefill(slots); got != want {
			t.Errorf("%d slots: %d of 100 engines run prefill, want %d", slots, got, want)
		}
	}
}

// TestEachVersionGetsItsShareOfBothPhases has a release bring engines that all start in one
// phase.
func TestEachVersionGetsItsShareOfBothPhases(t *testing.T) {
	for _, phase := range []fleet.Phase{fleet.Prefill, fleet.Decode} {
		var engines []fleet.Engine
		for i := range 12 {
			e := fleet.Engine{ID: fmt.Sprintf("e%02d", i), Zone: fmt.Sprint("z", i%3), Version: "v1", Phase: phase, Slots: 20}
			if i >= 6 {
				e.Version, e.Zone = "v2", fmt.Sprint("z", i%2)
			}
			engines = append(engines, e)
		}
		counts := map[string]map[fleet.Phase]int{"v1": {phase: 6}, "v2": {phase: 6}}
		for _, c := range phaseplan.DefaultPlan.Changes(engines, func(string) fleet.Load { return fleet.Load{} }) {
			counts[c.Engine.Version][phase]--
			counts[c.Engine.Version][c.Phase]++
		}
		for version, byPhase := range counts {
			if byPhase[fleet.Prefill] < 3 || byPhase[fleet.Decode] < 2 {
				t.Errorf("all in phase %v: the plan gives %s %v, want its share of both phases", phase, version, byPhase)
			}
		}
	}
}

// TestEachVersionKeepsAnEngineThatDecodes guards against plans that leave the streams of a
// software version without an engine, in all mixes of two versions.
func TestEachVersionKeepsAnEngineThatDecodes(t *testing.T) {
	const most1, most2 = 8, 3
	for i := range (most1 + 1) * (most1 + 1) * (most2 + 1) * (most2 + 1) {
		counts := []int{i % (most1 + 1), i / (most1 + 1) % (most1 + 1), i / (most1 + 1) / (most1 + 1) % (most2 + 1), i / (most1 + 1) / (most1 + 1) / (most2 + 1)}
		var engines []fleet.Engine
		phases := make(map[string]fleet.Phase)
		for kind, n := range counts {
			for range n {
				e := fleet.Engine{ID: fmt.Sprintf("e%02d", len(engines)), Zone: fmt.Sprint("z", len(engines)%3), Version: []string{"v1", "v2"}[kind/2], Phase: []fleet.Phase{fleet.Prefill, fleet.Decode}[kind%2], Slots: 20}
				engines = append(engines, e)
				phases[e.ID] = e.Phase
			}
		}
		for _, c := range phaseplan.DefaultPlan.Changes(slices.Clone(engines), func(string) fleet.Load { return fleet.Load{} }) {
			phases[c.Engine.ID] = c.Phase
		}
		decode := make(map[string]int)
		for _, e := range engines {
			decode[e.Version] += map[fleet.Phase]int{fleet.Decode: 1}[phases[e.ID]]
		}
		for version, n := range decode {
			if n == 0 && len(engines) > 1 {
				t.Errorf("prefill and decode engines of v1 and v2 %v: the plan leaves %s without one that decodes", counts, version)
			}
		}
	}
}
