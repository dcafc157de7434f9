package placement_test

import (
	"fmt"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
)

func first(int) int { return 0 }

func candidates(n int, loads map[string]fleet.Load) []placement.Candidate {
	var engines []fleet.Engine
	for i := range n {
		engines = append(engines, fleet.Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Phase: fleet.Prefill, Slots: 6})
	}
	return placement.Candidates(engines, func(id string) fleet.Load { return loads[id] }, placement.Open)
}

func prompt(key string) placement.Prompt {
	return placement.Prompt{Tokens: 12000, Parts: []placement.Part{{ID: "system", Tokens: 500}, {ID: key, Tokens: 4500}, {ID: "own", Tokens: 7000}}}
}

// TestHomeReadsItsPartUntilItsQueueCostsMore fills the home's queue up to the
// tokens that it saves.
func TestHomeReadsItsPartUntilItsQueueCostsMore(t *testing.T) {
	home, _ := placement.Home("customer", candidates(6, nil))
	chosen, tokens, _ := placement.ForPrefill(prompt("customer"), candidates(6, nil), first)
	if chosen.ID != home || tokens != 7000 {
		t.Errorf("chose %s to read %d, want %s to read 7000", chosen.ID, tokens, home)
	}
	loads := map[string]fleet.Load{home: {PromptTokens: 4999}}
	if chosen, _, _ = placement.ForPrefill(prompt("customer"), candidates(6, loads), first); chosen.ID != home {
		t.Errorf("chose %s though the home is done first", chosen.ID)
	}
	loads[home] = fleet.Load{PromptTokens: 5001}
	if chosen, tokens, _ = placement.ForPrefill(prompt("customer"), candidates(6, loads), first); chosen.ID == home || tokens != 12000 {
		t.Errorf("chose %s to read %d though others are done first", chosen.ID, tokens)
	}
}

// TestLostEngineMovesOnlyItsParts checks that most parts keep their home.
func TestLostEngineMovesOnlyItsParts(t *testing.T) {
	all := candidates(6, nil)
	for i := range 300 {
		key := fmt.Sprint("part", i)
		before, _ := placement.Home(key, all)
		after, _ := placement.Home(key, all[1:])
		if before != all[0].ID && before != after {
			t.Errorf("%s moved from %s to %s", key, before, after)
		}
	}
}

func TestDecodeStaysInTheZoneUntilItIsFuller(t *testing.T) {
	loads := map[string]fleet.Load{"e0": {Streams: 3}}
	if chosen, _ := placement.ForDecode("z0", candidates(3, loads), first); chosen.ID != "e0" {
		t.Errorf("chose %s", chosen.ID)
	}
	loads["e0"] = fleet.Load{Streams: 5}
	if chosen, _ := placement.ForDecode("z0", candidates(3, loads), first); chosen.ID == "e0" {
		t.Error("stayed in a full zone")
	}
}

func TestLeavingEnginesGetNothing(t *testing.T) {
	engines := []fleet.Engine{{ID: "a", Leaving: true}}
	if got := placement.Candidates(engines, func(string) fleet.Load { return fleet.Load{} }, placement.Open); len(got) > 0 {
		t.Errorf("candidates %v", got)
	}
}
