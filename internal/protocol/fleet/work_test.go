package fleet_test

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

func drawWork(t *rapid.T) fleet.Work {
	w := fleet.Work{Engines: map[string]fleet.Load{}, Waiting: map[string]int{}}
	for i := range rapid.IntRange(0, 4).Draw(t, "engines") {
		w.Engines[fmt.Sprint("e", i)] = fleet.Load{
			PromptTokens:   rapid.IntRange(0, 9).Draw(t, "tokens"),
			Streams:        rapid.IntRange(0, 3).Draw(t, "streams"),
			Calls:          rapid.IntRange(0, 3).Draw(t, "calls"),
			KVTokens:       rapid.IntRange(0, 9).Draw(t, "kv"),
			FailingEntries: rapid.IntRange(0, 1).Draw(t, "failing"),
			MissingEntries: rapid.IntRange(0, 1).Draw(t, "missing"),
		}
	}
	if n := rapid.IntRange(0, 5).Draw(t, "waiting"); n > 0 {
		w.Waiting["llm"] = n
	}
	return w
}

// TestSumWithout checks that the running sum minus one entry's work equals a
// freshly computed sum of all others.
func TestSumWithout(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sum := fleet.NewSum()
		held := make([]fleet.Work, 4)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			i := rapid.IntRange(0, len(held)-1).Draw(t, "entry")
			next := drawWork(t)
			sum.Remove(held[i])
			sum.Add(next)
			held[i] = next
		}
		for i, own := range held {
			want := fleet.Work{Engines: map[string]fleet.Load{}, Waiting: map[string]int{}}
			for j, other := range held {
				if j == i {
					continue
				}
				for engine, load := range other.Engines {
					want.Engines[engine] = want.Engines[engine].Add(load)
				}
				for service, tokens := range other.Waiting {
					want.Waiting[service] += tokens
				}
			}
			if got := sum.Without(own); !reflect.DeepEqual(got, want) {
				t.Fatalf("sum without entry %d: got %+v, want %+v", i, got, want)
			}
		}
	})
}
