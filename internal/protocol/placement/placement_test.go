package placement_test

import (
	"fmt"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/placement"
	"github.com/lagoonshift/lagoonshift/internal/protocol/prefixdir"
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
// cost of fetching the part from it.
func TestHomeReadsItsPartUntilItsQueueCostsMore(t *testing.T) {
	chosen, _ := placement.ForPrefill(prompt("customer"), prefixdir.Holding{}, candidates(6, nil), first)
	home := chosen.ID
	if chosen.Tokens != 7000 || chosen.FetchFrom != nil {
		t.Errorf("the home reads %d tokens and fetches from %v", chosen.Tokens, chosen.FetchFrom)
	}
	loads := map[string]fleet.Load{home: {PromptTokens: 2499}}
	if chosen, _ = placement.ForPrefill(prompt("customer"), prefixdir.Holding{}, candidates(6, loads), first); chosen.ID != home {
		t.Errorf("chose %s though the home is done first", chosen.ID)
	}
	loads[home] = fleet.Load{PromptTokens: 2501}
	chosen, _ = placement.ForPrefill(prompt("customer"), prefixdir.Holding{}, candidates(6, loads), first)
	if chosen.ID == home || chosen.Tokens != 7000 || chosen.FetchFrom == nil || chosen.FetchFrom.ID != home {
		t.Errorf("chose %s to read %d after fetching from %v", chosen.ID, chosen.Tokens, chosen.FetchFrom)
	}
}

// TestSmallSharedPartsAreReadAgain leaves out a transfer that saves little.
func TestSmallSharedPartsAreReadAgain(t *testing.T) {
	p := placement.Prompt{Tokens: 2000, Parts: []placement.Part{{ID: "a", Tokens: 200}, {ID: "own", Tokens: 1800}}}
	home, _ := placement.ForPrefill(p, prefixdir.Holding{}, candidates(6, nil), first)
	loads := map[string]fleet.Load{home.ID: {PromptTokens: 9000}}
	if chosen, _ := placement.ForPrefill(p, prefixdir.Holding{}, candidates(6, loads), first); chosen.FetchFrom != nil {
		t.Errorf("fetches 200 tokens from %s", chosen.FetchFrom.ID)
	}
}

// TestLostEngineMovesOnlyItsParts checks that most parts keep their home.
func TestLostEngineMovesOnlyItsParts(t *testing.T) {
	all := candidates(6, nil)
	for i := range 300 {
		key := fmt.Sprint("part", i)
		before, _ := placement.ForPrefill(prompt(key), prefixdir.Holding{}, all, first)
		after, _ := placement.ForPrefill(prompt(key), prefixdir.Holding{}, all[1:], first)
		if before.ID != all[0].ID && before.ID != after.ID {
			t.Errorf("%s moved from %s to %s", key, before.ID, after.ID)
		}
	}
}

func TestMiddlePromptsGoToIdlePrefillEngines(t *testing.T) {
	busy := map[string]fleet.Load{"e0": {PromptTokens: 9000}, "e1": {PromptTokens: 9000}}
	for _, c := range []struct {
		tokens int
		loads  map[string]fleet.Load
		whole  bool
	}{
		{100, nil, true},
		{800, nil, false},
		{800, busy, true},
		{placement.WholeLimit, busy, false},
	} {
		if got := placement.ReadWhole(placement.Prompt{Tokens: c.tokens}, candidates(2, c.loads)); got != c.whole {
			t.Errorf("%d tokens with load %v: whole %v", c.tokens, c.loads, got)
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

// TestLastReaderIsKeeper checks that a part is fetched from the engine that
// read it last, and from its home once that engine has started anew.
func TestLastReaderIsKeeper(t *testing.T) {
	p := prompt("customer")
	all := candidates(6, nil)
	home, _ := placement.ForPrefill(p, prefixdir.Holding{}, all, first)
	reader := all[0]
	if reader.ID == home.ID {
		reader = all[1]
	}
	holding := prefixdir.Holding{Part: "customer", Engine: reader.ID, Born: reader.Born}
	if chosen, _ := placement.ForPrefill(p, holding, all, first); chosen.ID != reader.ID || chosen.FetchFrom != nil {
		t.Errorf("chosen %s, the last reader is %s", chosen.ID, reader.ID)
	}
	busy := map[string]fleet.Load{reader.ID: {PromptTokens: 100000}}
	if chosen, _ := placement.ForPrefill(p, holding, candidates(6, busy), first); chosen.FetchFrom == nil || chosen.FetchFrom.ID != reader.ID {
		t.Errorf("fetched from %v, the last reader is %s", chosen.FetchFrom, reader.ID)
	}
	holding.Born++
	if chosen, _ := placement.ForPrefill(p, holding, all, first); chosen.ID != home.ID {
		t.Errorf("chosen %s after a restart of the reader, the home is %s", chosen.ID, home.ID)
	}
}

// TestMissingEnginesAreLeftOut checks that engines that some entry did not find
// get nothing, unless all are missing.
func TestMissingEnginesAreLeftOut(t *testing.T) {
	loads := map[string]fleet.Load{"e0": {Missing: 1}, "e1": {Ailing: 2}}
	if present := placement.Present(candidates(2, loads)); len(present) != 1 || present[0].ID != "e1" {
		t.Errorf("present: %+v", present)
	}
	loads["e1"] = fleet.Load{Missing: 3}
	if present := placement.Present(candidates(2, loads)); len(present) != 2 {
		t.Errorf("%d present, want all if all are missing", len(present))
	}
}

// TestAilingCountsByEntries checks that an engine that fails one entry's
// requests is still used when others are much busier, and that one that fails
// many entries' is not.
func TestAilingCountsByEntries(t *testing.T) {
	for ailing, want := range map[int]string{1: "e0", 4: "e1"} {
		loads := map[string]fleet.Load{"e0": {Ailing: ailing}, "e1": {Streams: 20}}
		if chosen, _ := placement.ForDecode("z0", candidates(2, loads), first); chosen.ID != want {
			t.Errorf("%d entries failed: chosen %s, want %s", ailing, chosen.ID, want)
		}
	}
}
