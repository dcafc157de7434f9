package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/cost"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// costAware returns a policy that has the priors only.
func costAware() *placement.CostAware {
	return &placement.CostAware{Model: cost.NewModel(), Random: rand.New(rand.NewPCG(1, 2)).IntN}
}

// stream returns what is known of a request with a prompt and 200 expected tokens.
func stream(p placement.Prompt) *placement.Work {
	return &placement.Work{
		Service: "llm", Route: "report", Prompt: p, Objective: 600 * time.Millisecond, EventGap: 150 * time.Millisecond,
		Output: cost.Output{Median: 200, Spread: 0.5},
	}
}

// decoders returns engines that decode, of 24 slots each.
func decoders(n int, loads map[string]fleet.Load) []placement.Candidate {
	var engines []fleet.Engine
	for i := range n {
		engines = append(engines, fleet.Engine{ID: fmt.Sprint("d", i), Zone: fmt.Sprint("z", i%3), Phase: fleet.Decode, Slots: 24})
	}
	return placement.Candidates(engines, func(id string) fleet.Load { return loads[id] })
}

// TestCostAwareLeavesQueuedHolder guards against long prompts that queue at the holder of
// their prefix, and against copies of prefixes where the holder is as good as idle.
func TestCostAwareLeavesQueuedHolder(t *testing.T) {
	holder := candidates(6, nil)[3].Engine
	for _, c := range []struct {
		queued int
		stays  bool
	}{{0, true}, {3000, true}, {40000, false}} {
		loads := map[string]fleet.Load{holder.ID: {PromptTokens: c.queued}}
		chosen, _ := costAware().ForPrefill(stream(prompt("customer")), []fleet.Engine{holder}, candidates(6, loads), decoders(3, nil))
		if (chosen.ID == holder.ID) != c.stays || (chosen.FetchFrom == nil) != c.stays || chosen.Tokens != 7000 {
			t.Errorf("%d tokens queued: chose %s to prefill %d tokens and fetch from %v, want 7000 tokens at the holder: %v", c.queued, chosen.ID, chosen.Tokens, chosen.FetchFrom, c.stays)
		}
	}
}

// TestCostAwareOwnerOfUnknownPrefix guards against entries that have the same prefix
// prefilled at several engines.
func TestCostAwareOwnerOfUnknownPrefix(t *testing.T) {
	owners := make(map[string]int)
	for seed := range uint64(20) {
		p := &placement.CostAware{Model: cost.NewModel(), Random: rand.New(rand.NewPCG(seed, 2)).IntN}
		chosen, _ := p.ForPrefill(stream(prompt("customer")), nil, candidates(6, nil), nil)
		owners[chosen.ID]++
	}
	if len(owners) != 1 {
		t.Errorf("20 entries chose %v, want one owner", owners)
	}
}

// TestCostAwareAvoidsSlowAndFailingServers guards against servers that draw requests by a
// low load which they owe to being slow or to failing.
func TestCostAwareAvoidsSlowAndFailingServers(t *testing.T) {
	loads := make(map[string]fleet.Load)
	for i := range 6 {
		loads[fmt.Sprint("d", i)] = fleet.Load{Streams: 12}
	}
	loads["d2"] = fleet.Load{Streams: 8}
	for name, spoil := range map[string]func(c *placement.Candidate){
		"slow":               func(c *placement.Candidate) { c.Slowness = 3 },
		"failing":            func(c *placement.Candidate) { c.FailureRate = 0.5 },
		"failing for others": func(c *placement.Candidate) { c.Load.FailingEntries = 3 },
	} {
		servers := decoders(6, loads)
		for i := range servers {
			servers[i].Zone = "z0"
		}
		if chosen, _ := costAware().ForDecode(stream(prompt("a")), "z0", false, servers); chosen.ID != "d2" {
			t.Errorf("chose %s of equal engines, want d2 with the least load", chosen.ID)
		}
		spoil(&servers[2])
		if chosen, _ := costAware().ForDecode(stream(prompt("a")), "z0", false, servers); chosen.ID == "d2" {
			t.Errorf("%s: chose d2, want another engine", name)
		}
	}
}

// TestCostAwareLocalPrefill guards against prompts that are prefilled alongside many streams,
// which pause for them, while a prefill engine is idle, and against short ones that queue at
// prefill engines while few streams would pause.
func TestCostAwareLocalPrefill(t *testing.T) {
	busyPrefill := map[string]fleet.Load{"e0": {PromptTokens: 40000}, "e1": {PromptTokens: 40000}}
	busyDecode := map[string]fleet.Load{"d0": {Streams: 22, PromptTokens: 2000}, "d1": {Streams: 22, PromptTokens: 2000}}
	for _, c := range []struct {
		name            string
		tokens          int
		prefill, decode map[string]fleet.Load
		local           bool
	}{
		{"short, all idle", 200, nil, nil, true},
		{"short, prefill engines queue", 800, busyPrefill, nil, true},
		{"from 400 tokens on, all idle", 400, nil, nil, false},
		{"medium, all idle", 800, nil, nil, false},
		{"medium, decode engines busy", 2000, nil, busyDecode, false},
		{"long", 12000, busyPrefill, nil, false},
	} {
		w := stream(placement.Prompt{Tokens: c.tokens})
		if got := costAware().PrefillLocally(w, candidates(2, c.prefill), decoders(2, c.decode)); got != c.local {
			t.Errorf("%s: got local prefill %v, want %v", c.name, got, c.local)
		}
	}
}

// TestCostAwareSparesPauses guards against streams that go to an engine of half the speed
// with fewer streams, where events that hold several tokens come close to the longest pause that
// is in time.
func TestCostAwareSparesPauses(t *testing.T) {
	m := cost.NewModel()
	for i := range 200 {
		m.ObserveStep(time.Unix(1000, int64(i)*1e7), "llm", fmt.Sprint("d", i%8), 5, 0, 0, 70*time.Millisecond)
	}
	servers := decoders(2, map[string]fleet.Load{"d0": {Streams: 2}, "d1": {Streams: 6}})
	servers[0].Slowness = 2
	w := stream(prompt("a"))
	w.EventGap = 150 * time.Millisecond
	p := &placement.CostAware{Model: m, Random: func(int) int { return 0 }}
	if chosen, _ := p.ForDecode(w, "z0", false, servers); chosen.ID != "d1" {
		t.Errorf("chose %s, want d1", chosen.ID)
	}
}

// TestCostAwareLocalPrefillMakesNoLongPause guards against prompts that make the only stream of a slow engine pause for longer
// than its limit, 163 of 150 ms, while prefill engines have a queue after which the prompt is still in time.
func TestCostAwareLocalPrefillMakesNoLongPause(t *testing.T) {
	for _, c := range []struct {
		name            string
		streams, queued int
		slowness        float64
		local           bool
	}{
		{"a stream would pause", 1, 10000, 1.5, false},
		{"no stream would pause", 0, 10000, 1.5, true},
		{"the pause is within the limit", 1, 10000, 1, true},
		{"the prompt would be a second late", 1, 60000, 1.5, true},
	} {
		prefill, decode := make(map[string]fleet.Load), make(map[string]fleet.Load)
		for i := range 3 {
			prefill[fmt.Sprint("e", i)], decode[fmt.Sprint("d", i)] = fleet.Load{PromptTokens: c.queued}, fleet.Load{Streams: c.streams}
		}
		servers := decoders(3, decode)
		for i := range servers {
			servers[i].Slowness = c.slowness
		}
		w := stream(placement.Prompt{Tokens: 2400})
		w.Objective, w.Output.Median = 400*time.Millisecond, 50
		if got := costAware().PrefillLocally(w, candidates(3, prefill), servers); got != c.local {
			t.Errorf("%s: got local prefill %v, want %v", c.name, got, c.local)
		}
	}
}

// TestCostAwareSpreadsOverStaleFigures guards against many entries that choose the same
// engine since all have the same old figures: of 60 placements at 40 engines of which one
// has the least load, it may get no more than a few.
func TestCostAwareSpreadsOverStaleFigures(t *testing.T) {
	loads := make(map[string]fleet.Load)
	random := rand.New(rand.NewPCG(3, 4))
	for i := range 40 {
		loads[fmt.Sprint("d", i)] = fleet.Load{Streams: 10 + random.IntN(3)}
	}
	loads["d7"] = fleet.Load{Streams: 8}
	servers := decoders(40, loads)
	most := func(staleness time.Duration) (most int) {
		counts := make(map[string]int)
		for seed := range uint64(60) {
			p := &placement.CostAware{Model: cost.NewModel(), Random: rand.New(rand.NewPCG(seed, 5)).IntN}
			w := stream(prompt("a"))
			w.Staleness = staleness
			chosen, _ := p.ForDecode(w, fmt.Sprint("z", seed%3), false, servers)
			counts[chosen.ID]++
			most = max(most, counts[chosen.ID])
		}
		return most
	}
	if got := most(0); got < 20 {
		t.Errorf("with fresh figures %d of 60 at the engine with the least load, want those of its zone", got)
	}
	if got := most(400 * time.Millisecond); got > 12 {
		t.Errorf("with figures of 400 ms ago %d of 60 at one engine, want at most 12", got)
	}
}

// TestCostAwareChoosesWithoutCandidates guards against a panic where filters leave nothing.
func TestCostAwareChoosesWithoutCandidates(t *testing.T) {
	p, w := costAware(), stream(prompt("a"))
	if _, ok := p.ForDecode(w, "z0", true, nil); ok {
		t.Error("ForDecode chose an engine")
	}
	if _, ok := p.ForPrefill(w, nil, nil, nil); ok {
		t.Error("ForPrefill chose an engine")
	}
	if _, ok := p.ForCall(w, "z0", nil); ok {
		t.Error("ForCall chose a server")
	}
	if !p.PrefillLocally(w, nil, decoders(1, nil)) {
		t.Error("a prompt is to go to a prefill engine, want a local prefill without any")
	}
}

// BenchmarkCostAware measures the decisions by the number of servers.
func BenchmarkCostAware(b *testing.B) {
	for _, n := range []int{90, 300, 2800} {
		random := rand.New(rand.NewPCG(1, 2))
		loads := make(map[string]fleet.Load)
		for i := range n {
			loads[fmt.Sprint("e", i)] = fleet.Load{PromptTokens: random.IntN(20000)}
			loads[fmt.Sprint("d", i)] = fleet.Load{Streams: random.IntN(24), PromptTokens: random.IntN(800)}
		}
		p := &placement.CostAware{Model: cost.NewModel(), Random: rand.IntN}
		prefill, decode := candidates(n/2, loads), decoders(n/2, loads)
		all := decoders(n, loads)
		holders := []fleet.Engine{prefill[3].Engine}
		w := stream(prompt("customer"))
		w.Staleness = 100 * time.Millisecond
		short := stream(placement.Prompt{Tokens: 800})
		short.Staleness = w.Staleness
		for _, d := range []struct {
			name   string
			decide func()
		}{
			{"prefill", func() { p.ForPrefill(w, holders, prefill, decode) }},
			{"decode", func() { p.ForDecode(w, "z1", false, all) }},
			{"local", func() { p.PrefillLocally(short, prefill, decode) }},
			{"call", func() { p.ForCall(w, "z1", all) }},
		} {
			b.Run(fmt.Sprint(d.name, "/", n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					d.decide()
				}
			})
		}
	}
}
