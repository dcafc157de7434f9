package placement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

func firstTied(int) int { return 0 }

func candidates(n int, loads map[string]fleet.Load) []placement.Candidate {
	var engines []fleet.Engine
	for i := range n {
		engines = append(engines, fleet.Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint("z", i%3), Phase: fleet.Prefill, Slots: 6})
	}
	return placement.Candidates(engines, func(id string) fleet.Load { return loads[id] }, placement.AcceptsWork)
}

func prompt(key string) placement.Prompt {
	return placement.Prompt{Tokens: 12000, Parts: []placement.Part{{ID: "system", Tokens: 500}, {ID: key, Tokens: 4500}, {ID: "own", Tokens: 7000}}}
}

// TestHolderPrefillsUntilCopyIsCheaper fills the holder's queue up to the cost of
// a further copy of the prefix, which is four times the prefix.
func TestHolderPrefillsUntilCopyIsCheaper(t *testing.T) {
	holder := candidates(6, nil)[3].Engine
	for _, c := range []struct {
		queued int
		stays  bool
	}{{0, true}, {19999, true}, {20001, false}} {
		loads := map[string]fleet.Load{holder.ID: {PromptTokens: c.queued}}
		chosen, _ := placement.ForPrefill(prompt("customer"), []fleet.Engine{holder}, candidates(6, loads), nil, firstTied)
		if (chosen.ID == holder.ID) != c.stays || (chosen.FetchFrom == nil) != c.stays || chosen.Tokens != 7000 {
			t.Errorf("%d tokens queued: chose %s to prefill %d tokens and fetch from %v, want 7000 tokens at the holder: %v", c.queued, chosen.ID, chosen.Tokens, chosen.FetchFrom, c.stays)
		}
	}
}

// TestUnknownPrefixIsPrefilledWhole checks that the load of a prompt whose prefix
// no engine is known to hold counts in full, and that all entries choose the
// same engine for it.
func TestUnknownPrefixIsPrefilledWhole(t *testing.T) {
	chosen, _ := placement.ForPrefill(prompt("customer"), nil, candidates(6, nil), nil, firstTied)
	if chosen.Tokens != 12000 || chosen.FetchFrom != nil {
		t.Errorf("%d tokens counted and fetched from %v, want 12000 tokens and no fetch", chosen.Tokens, chosen.FetchFrom)
	}
	last := func(int) int { return 1 }
	if other, _ := placement.ForPrefill(prompt("customer"), nil, candidates(6, nil), nil, last); other.ID != chosen.ID {
		t.Errorf("chose %s and %s, want one owner", chosen.ID, other.ID)
	}
}

// TestPrefixIsFetchedFromExcludedHolder checks that a prefix is fetched from its
// holder even if that engine may not prefill the prompt, such as after it has
// failed the request or changed its phase.
func TestPrefixIsFetchedFromExcludedHolder(t *testing.T) {
	all := candidates(6, nil)
	holder := all[2].Engine
	chosen, _ := placement.ForPrefill(prompt("customer"), []fleet.Engine{holder}, slices.Delete(all, 2, 3), nil, firstTied)
	if chosen.ID == holder.ID || chosen.FetchFrom == nil || chosen.FetchFrom.ID != holder.ID || chosen.Tokens != 7000 {
		t.Errorf("chose %s to prefill %d tokens and fetch from %v, want 7000 tokens fetched from the holder", chosen.ID, chosen.Tokens, chosen.FetchFrom)
	}
}

// TestSmallSharedPrefixIsNotFetched checks that a prefix too short to be worth
// a transfer is prefilled again.
func TestSmallSharedPrefixIsNotFetched(t *testing.T) {
	p := placement.Prompt{Tokens: 2000, Parts: []placement.Part{{ID: "a", Tokens: 200}, {ID: "own", Tokens: 1800}}}
	holder := candidates(6, nil)[0].Engine
	loads := map[string]fleet.Load{holder.ID: {PromptTokens: 90000}}
	if chosen, _ := placement.ForPrefill(p, []fleet.Engine{holder}, candidates(6, loads), nil, firstTied); chosen.FetchFrom != nil || chosen.Tokens != 2000 {
		t.Errorf("200 tokens are fetched from %s, want no fetch", chosen.FetchFrom.ID)
	}
}

// TestEngineLossMovesOnlyItsPrefixes checks that prefixes owned by the other
// engines keep their owner.
func TestEngineLossMovesOnlyItsPrefixes(t *testing.T) {
	all := candidates(6, nil)
	for i := range 300 {
		key := fmt.Sprint("part", i)
		before, _ := placement.ForPrefill(prompt(key), nil, all, nil, firstTied)
		after, _ := placement.ForPrefill(prompt(key), nil, all[1:], nil, firstTied)
		if before.ID != all[0].ID && before.ID != after.ID {
			t.Errorf("owner of %s moved from %s to %s after the loss of another engine", key, before.ID, after.ID)
		}
	}
}

func TestMediumPromptsUseIdlePrefillEngines(t *testing.T) {
	busy := map[string]fleet.Load{"e0": {PromptTokens: 9000}, "e1": {PromptTokens: 9000}}
	for _, c := range []struct {
		tokens int
		loads  map[string]fleet.Load
		local  bool
	}{
		{100, nil, true},
		{800, nil, false},
		{800, busy, true},
		{placement.LocalPrefillLimit, busy, false},
	} {
		if got := placement.PrefillLocally(placement.Prompt{Tokens: c.tokens}, candidates(2, c.loads)); got != c.local {
			t.Errorf("%d tokens with load %v: got local prefill %v, want the opposite", c.tokens, c.loads, got)
		}
	}
}

func TestDecodePrefersPrefillZone(t *testing.T) {
	loads := map[string]fleet.Load{"e0": {Streams: 3}}
	if chosen, _ := placement.ForDecode("z0", candidates(3, loads), firstTied); chosen.ID != "e0" {
		t.Errorf("chose %s, want e0 in the prefill zone", chosen.ID)
	}
	loads["e0"] = fleet.Load{Streams: 5}
	if chosen, _ := placement.ForDecode("z0", candidates(3, loads), firstTied); chosen.ID == "e0" {
		t.Error("chose e0 in the prefill zone, want a less loaded engine in another zone")
	}
}

func TestLeavingEnginesAreNotCandidates(t *testing.T) {
	engines := []fleet.Engine{{ID: "a", Leaving: true}}
	if got := placement.Candidates(engines, func(string) fleet.Load { return fleet.Load{} }, placement.AcceptsWork); len(got) > 0 {
		t.Errorf("got candidates %v, want none", got)
	}
}

// TestMissingEnginesAreExcluded checks that engines that any entry could not
// reach are excluded, unless that holds for all engines.
func TestMissingEnginesAreExcluded(t *testing.T) {
	loads := map[string]fleet.Load{"e0": {MissingEntries: 1}, "e1": {FailingEntries: 2}}
	if present := placement.Present(candidates(2, loads)); len(present) != 1 || present[0].ID != "e1" {
		t.Errorf("got %+v, want only e1", present)
	}
	loads["e1"] = fleet.Load{MissingEntries: 3}
	if present := placement.Present(candidates(2, loads)); len(present) != 2 {
		t.Errorf("got %d engines, want both if both are missing", len(present))
	}
}

// TestLeavingAndWithdrawnEnginesAreExcluded checks that engines that told another
// entry that they leave, and those that the leader withdrew, are excluded, unless
// that holds for all engines.
func TestLeavingAndWithdrawnEnginesAreExcluded(t *testing.T) {
	loads := map[string]fleet.Load{"e0": {LeavingEntries: 1}}
	if present := placement.Present(candidates(2, loads)); len(present) != 1 || present[0].ID != "e1" {
		t.Errorf("got %+v, want only e1", present)
	}
	loads = map[string]fleet.Load{"e1": {Withdrawn: 1}}
	if present := placement.Present(candidates(2, loads)); len(present) != 1 || present[0].ID != "e0" {
		t.Errorf("got %+v, want only e0", present)
	}
	loads["e0"] = fleet.Load{LeavingEntries: 2}
	if present := placement.Present(candidates(2, loads)); len(present) != 2 {
		t.Errorf("got %d engines, want both if no other is left", len(present))
	}
}

// TestFailurePenaltyScalesWithEntries checks that an engine that fails the
// requests of one entry is still used when others are much busier, and that one
// that fails the requests of many entries is not.
func TestFailurePenaltyScalesWithEntries(t *testing.T) {
	for failing, want := range map[int]string{1: "e0", 4: "e1"} {
		loads := map[string]fleet.Load{"e0": {FailingEntries: failing}, "e1": {Streams: 20}}
		if chosen, _ := placement.ForDecode("z0", candidates(2, loads), firstTied); chosen.ID != want {
			t.Errorf("failing for %d entries: chose %s, want %s", failing, chosen.ID, want)
		}
	}
}

// TestPrefillGoesToTheVersionWhoseDecodeEnginesWaitLeast has one decode engine for two versions of prefill engines, with different loads.
func TestPrefillGoesToTheVersionWhoseDecodeEnginesWaitLeast(t *testing.T) {
	all := candidates(6, map[string]fleet.Load{"e1": {Streams: 40}, "e2": {Streams: 30}, "e3": {Streams: 10}})
	prefill, decode := slices.Concat(all[:1], all[4:5]), all[1:4]
	prefill[0].Version, decode[0].Version, decode[1].Version = "v1", "v1", "v1"
	prefill[1].Version, decode[2].Version = "v2", "v2"
	for tokens, want := range map[int]string{3999: "v2", 4001: "v1"} {
		prefill[1].Load.PromptTokens = tokens
		if chosen, _ := placement.ForPrefill(placement.Prompt{Tokens: 12000}, nil, prefill, decode, firstTied); chosen.Version != want {
			t.Errorf("%d tokens queued at v2: chose %s, want %s", tokens, chosen.Version, want)
		}
	}
}

// TestPrefixIsCopiedToAnotherVersionOnlyUnderLoad fills the holder's queue up to the cost of a copy at a version that has none.
func TestPrefixIsCopiedToAnotherVersionOnlyUnderLoad(t *testing.T) {
	for queued, want := range map[int]string{19999: "v1", 20001: "v2"} {
		all := candidates(2, map[string]fleet.Load{"e0": {PromptTokens: queued}})
		all[0].Version, all[1].Version = "v1", "v2"
		chosen, _ := placement.ForPrefill(prompt("customer"), []fleet.Engine{all[0].Engine}, all, nil, firstTied)
		if chosen.Version != want || chosen.FetchFrom != nil {
			t.Errorf("%d tokens queued: chose %s to fetch from %v, want %s and no fetch", queued, chosen.Version, chosen.FetchFrom, want)
		}
		both := []fleet.Engine{all[0].Engine, all[1].Engine}
		if chosen, _ := placement.ForPrefill(prompt("customer"), both, all, nil, firstTied); chosen.Version != "v2" || chosen.Tokens != 7000 {
			t.Errorf("%d tokens queued: chose %s for %d tokens, want v2, which holds the prefix too", queued, chosen.Version, chosen.Tokens)
		}
	}
}

// TestNewStreamsLeaveRoomForThoseOfOneVersion guards against filling the last decode engine of a version with new streams while another version has room: broken streams of the first have no other place.
func TestNewStreamsLeaveRoomForThoseOfOneVersion(t *testing.T) {
	prefill := []placement.Candidate{{Engine: fleet.Engine{ID: "p1", Version: "v1"}}, {Engine: fleet.Engine{ID: "p2", Version: "v2"}}}
	for _, c := range []struct {
		streams1, streams2 int
		want               string
	}{{47, 40, "v1"}, {48, 40, "v2"}, {100, 47, "v2"}, {50, 60, "v1"}} {
		decode := []placement.Candidate{
			{Engine: fleet.Engine{ID: "d1", Version: "v1", Slots: 64}, Load: fleet.Load{Streams: c.streams1}},
			{Engine: fleet.Engine{ID: "d2", Version: "v2", Slots: 64}, Load: fleet.Load{Streams: c.streams2}},
		}
		chosen, ok := placement.ForPrefill(prompt("customer"), []fleet.Engine{prefill[0].Engine}, prefill, decode, firstTied)
		if !ok || chosen.Version != c.want {
			t.Errorf("%d and %d streams of 64 slots: prefill at %s, want %s, where the prefix is held by v1", c.streams1, c.streams2, chosen.Version, c.want)
		}
	}
}

// TestFailingEngineGetsWhatOthersHaveNoRoomFor guards against the choice of an engine for its low load where that comes from failures.
func TestFailingEngineGetsWhatOthersHaveNoRoomFor(t *testing.T) {
	for load, want := range map[int]string{20: "e1", 70: "e0"} {
		decode, all := candidates(2, map[string]fleet.Load{"e1": {Streams: load}}), candidates(2, map[string]fleet.Load{"e1": {PromptTokens: 1000 * load}})
		decode[0].FailureRate, all[0].FailureRate = 0.5, 0.5
		decode[1].Zone = decode[0].Zone
		if chosen, _ := placement.ForDecode(decode[0].Zone, decode, firstTied); chosen.ID != want {
			t.Errorf("%d streams at the sound engine: chose %s to decode, want %s", load, chosen.ID, want)
		}
		if chosen, _ := placement.ForPrefill(placement.Prompt{Tokens: 5000}, nil, all, nil, firstTied); chosen.ID != want {
			t.Errorf("%d tokens at the sound engine: chose %s to prefill, want %s", 1000*load, chosen.ID, want)
		}
	}
}

// TestPromptsSparePrefillEnginesThatFail guards against prefill calls that are likely to fail for prompts that a decode engine prefills quickly.
func TestPromptsSparePrefillEnginesThatFail(t *testing.T) {
	failing := func(rates ...float64) []placement.Candidate {
		all := candidates(len(rates), nil)
		for i, rate := range rates {
			all[i].FailureRate = rate
		}
		return all
	}
	busy := failing(0.5, 0)
	busy[1].Load.PromptTokens = 40000
	for name, c := range map[string]struct {
		tokens  int
		prefill []placement.Candidate
		decode  fleet.Load
		spared  bool
	}{
		"all sound":                 {3000, failing(0, 0), fleet.Load{}, false},
		"a sound one":               {3000, failing(0.5, 0), fleet.Load{}, false},
		"a sound one, busy":         {3000, busy, fleet.Load{}, true},
		"none sound":                {3000, failing(0.5, 0.5), fleet.Load{}, true},
		"decode engine prefills":    {3000, failing(0.5, 0.5), fleet.Load{PromptTokens: 20000}, false},
		"decode engine has streams": {3000, failing(0.5, 0.5), fleet.Load{Streams: 200}, false},
		"long prompt":               {20000, failing(0.5, 0.5), fleet.Load{}, false},
	} {
		decode := candidates(1, map[string]fleet.Load{"e0": c.decode})
		if got := placement.SparesPrefill(placement.Prompt{Tokens: c.tokens}, c.prefill, decode); got != c.spared {
			t.Errorf("%s: got %t, want the opposite", name, got)
		}
	}
}

// TestRetriesGoWhereTheyLikelySucceed guards against a retry at an engine that fails or is full while a sound one has room, and against none where there is no such engine.
func TestRetriesGoWhereTheyLikelySucceed(t *testing.T) {
	all := candidates(3, map[string]fleet.Load{"e1": {Streams: 64}, "e2": {Streams: 40}})
	for i := range all {
		all[i].Slots = 64
	}
	all[0].FailureRate = 0.5
	if got := placement.LikelyToServe(all); len(got) != 1 || got[0].ID != "e2" {
		t.Errorf("got %+v, want only the sound engine with room", got)
	}
	if got := placement.LikelyToServe(all[:2]); len(got) != 2 {
		t.Errorf("got %+v, want both if none is sound and has room", got)
	}
}
