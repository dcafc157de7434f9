package placement_test

import (
	"fmt"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/placement"
)

// TestCostAwareOfManyVersions guards against an engine that fetches the KV cache of a prefix
// from one of another software version, or that counts it as its own, where there are more
// versions than decisions distinguish.
func TestCostAwareOfManyVersions(t *testing.T) {
	const versions = 6
	for best := range versions {
		for holding := range versions {
			var engines []fleet.Engine
			loads := make(map[string]fleet.Load)
			for v := range versions {
				for i := range 2 {
					e := fleet.Engine{ID: fmt.Sprint("p", v, i), Phase: fleet.Prefill, Version: fmt.Sprint("v", v)}
					if v != best || i != 0 {
						loads[e.ID] = fleet.Load{PromptTokens: 200_000}
					}
					engines = append(engines, e)
				}
			}
			holder := engines[2*holding+1]
			load := func(id string) fleet.Load { return loads[id] }
			chosen, ok := costAware().ForPrefill(stream(prompt("customer")), []fleet.Engine{holder}, placement.Candidates(engines, load), nil)
			if !ok {
				t.Fatal("no engine chosen")
			}
			if chosen.FetchFrom != nil && chosen.FetchFrom.Version != chosen.Version {
				t.Errorf("best of version %d, held at version %d: %s fetches from %s of another version", best, holding, chosen.ID, chosen.FetchFrom.ID)
			}
			if want := prompt("customer").Tokens; holder.Version != chosen.Version && chosen.Tokens != want {
				t.Errorf("best of version %d, held at version %d: %s has %d tokens to prefill, want %d", best, holding, chosen.ID, chosen.Tokens, want)
			}
		}
	}
}
