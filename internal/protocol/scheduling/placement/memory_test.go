package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// TestHasRoom guards against requests for an engine without room, and against engines that
// count as full without a bound.
func TestHasRoom(t *testing.T) {
	m := placement.Memory{Tokens: 100000, Load: func(engine string) fleet.Load {
		return fleet.Load{KVTokens: map[string]int{"full": 89000, "half": 50000, "half, long": 65000}[engine]}
	}}
	for engine, want := range map[string]bool{"full": false, "half": true, "empty": true} {
		if got := m.HasRoom(2000)(fleet.Engine{ID: engine}); got != want {
			t.Errorf("engine %s: got %t, want %t", engine, got, want)
		}
	}
	for need, want := range map[int]bool{20000: false, 15000: true} {
		if got := m.HasRoom(need)(fleet.Engine{ID: "half, long"}); got != want {
			t.Errorf("%d tokens beside 65000: got %t, want %t", need, got, want)
		}
	}
	if !m.HasRoom(85000)(fleet.Engine{ID: "empty"}) {
		t.Error("an empty engine does not take a request within its limit")
	}
	if m.HasRoom(95000)(fleet.Engine{ID: "empty"}) {
		t.Error("a request gets the margin too")
	}
	if unbounded := (placement.Memory{Load: m.Load}); !unbounded.HasRoom(1 << 30)(fleet.Engine{ID: "full"}) {
		t.Error("an engine without a bound is full")
	}
}

// kvStream is a stream that needs memory at an engine until its end.
type kvStream struct{ engine, entry, need, end int }

// memoryModel plays entries that place streams on what others reported some time ago.
type memoryModel struct {
	engines, entries, tokens int
	random                   *rand.Rand
	streams                  []kvStream
	// own is what the streams of each entry need by engine.
	own [][]int
	// reported is what the leader holds by entry and engine, and seen what each entry has received
	// of all others.
	reported, seen [][]int
	uses           []*placement.MemoryUse
}

// TestMemoryBoundHoldsForManyEntries plays 69 entries with more long prompts than the engines
// can hold, with reports that take up to two intervals, and guards against engines that get more
// than their memory, which end, and against memory that stays unused in the meantime.
func TestMemoryBoundHoldsForManyEntries(t *testing.T) {
	const (
		stepMs, interval, seconds = 5, 69, 20
		tokens                    = 532040
	)
	for seed := range uint64(3) {
		s := &memoryModel{engines: 12, entries: 69, tokens: tokens, random: rand.New(rand.NewPCG(seed, 1))}
		s.own, s.reported, s.seen = make([][]int, s.entries), make([][]int, s.entries), make([][]int, s.entries)
		for i := range s.entries {
			s.own[i] = make([]int, s.engines)
			s.reported[i], s.seen[i] = make([]int, s.engines), make([]int, s.engines)
			s.uses = append(s.uses, &placement.MemoryUse{})
		}
		phases := make([]int, s.entries)
		for i := range phases {
			phases[i] = s.random.IntN(interval)
		}
		most, used, samples := 0, 0.0, 0
		base := time.Unix(1000, 0)
		for ms := 0; ms < seconds*1000; ms += stepMs {
			s.streams = slices.DeleteFunc(s.streams, func(x kvStream) bool {
				if x.end > ms {
					return false
				}
				s.own[x.entry][x.engine] -= x.need
				return true
			})
			totals := make([]int, s.engines)
			for _, x := range s.streams {
				totals[x.engine] += x.need
			}
			for entry := range s.entries {
				if (ms+phases[entry])%interval < stepMs {
					s.reported[entry] = slices.Clone(s.own[entry])
				}
				if (ms+2*phases[entry])%interval < stepMs {
					s.seen[entry] = make([]int, s.engines)
					for other, loads := range s.reported {
						for engine, load := range loads {
							if other != entry {
								s.seen[entry][engine] += load
							}
						}
					}
				}
				if (ms+phases[entry])%10 < stepMs { // a request waits at every entry all the time
					s.place(entry, ms, base.Add(time.Duration(ms)*time.Millisecond), totals)
				}
			}
			for _, total := range totals {
				most = max(most, total)
				if ms > 8000 {
					used += float64(total) / tokens
					samples++
				}
			}
		}
		mean := used / float64(samples)
		t.Logf("seed %d: at most %.3f of an engine's memory needed, %.3f on average", seed, float64(most)/tokens, mean)
		if most > tokens {
			t.Errorf("seed %d: an engine got requests for %d tokens, has %d", seed, most, tokens)
		}
		if mean < 0.75 {
			t.Errorf("seed %d: %.2f of the memory used while requests wait", seed, mean)
		}
	}
}

// place places the request that waits at an entry, if an engine has room for it.
func (s *memoryModel) place(entry, ms int, now time.Time, totals []int) {
	own := s.own[entry]
	load := func(engine string) fleet.Load {
		var i int
		_, _ = fmt.Sscan(engine, &i)
		return fleet.Load{KVTokens: own[i] + s.seen[entry][i], Streams: (own[i] + s.seen[entry][i]) / 12000}
	}
	m := placement.Memory{Tokens: s.tokens, Load: load, Use: s.uses[entry], Entries: s.entries, Index: entry, Now: now}
	var engines []fleet.Engine
	for i := range s.engines {
		engines = append(engines, fleet.Engine{ID: fmt.Sprint(i)})
	}
	need := 12000 + s.random.IntN(1000)
	found := placement.Candidates(engines, load, m.HasRoom(need))
	chosen, ok := placement.ForDecode("", found, s.random.IntN)
	if !ok {
		return
	}
	var i int
	_, _ = fmt.Sscan(chosen.ID, &i)
	s.streams = append(s.streams, kvStream{engine: i, entry: entry, need: need, end: ms + 2000 + s.random.IntN(4000)})
	own[i] += need
	totals[i] += need
	m.Place(chosen.ID, need)
}

// BenchmarkHasRoom measures the filter for 300 engines, all of them contended.
func BenchmarkHasRoom(b *testing.B) {
	var engines []fleet.Engine
	for i := range 300 {
		engines = append(engines, fleet.Engine{ID: fmt.Sprint("engine-", i)})
	}
	load := func(string) fleet.Load { return fleet.Load{KVTokens: 400000} }
	m := placement.Memory{Tokens: 532040, Load: load, Use: &placement.MemoryUse{}, Index: 3, Entries: 69, Now: time.Now()}
	m.Place("engine-0", 12000)
	b.ReportAllocs()
	for b.Loop() {
		keep := m.HasRoom(12000)
		for _, e := range engines {
			keep(e)
		}
	}
}
