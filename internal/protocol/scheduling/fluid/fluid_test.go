package fluid

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"
)

// TestOptimizeServesFeasibleDemand checks that all of a demand is served if the
// capacity was derived from it and so suffices.
func TestOptimizeServesFeasibleDemand(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := Capacity{}
		var classes []Class
		for range 3 {
			c := Class{
				PromptTokens: rapid.Float64Range(100, 6000).Draw(t, "prompt"),
				OutputTokens: rapid.Float64Range(1, 1000).Draw(t, "output"),
				Worth:        rapid.Float64Range(0.1, 10).Draw(t, "worth"),
			}
			for r, role := range speed.Roles {
				rate := rapid.Float64Range(0, 20).Draw(t, "rate")
				c.Rate += rate
				capacity[r] += rate * speed.Default.ForRole(role).Cost(c.PromptTokens, c.OutputTokens)
			}
			classes = append(classes, c)
		}
		plan := Optimize(&speed.Default, capacity, classes)
		for i, served := range plan.Served {
			if served < classes[i].Rate-1e-6 {
				t.Fatalf("class %d: served %g of %g requests per second, want all", i, served, classes[i].Rate)
			}
		}
	})
}

// TestOptimizePrefersWorthPerEngineSecond checks that scarce capacity goes to the
// class with the most worth per engine second.
func TestOptimizePrefersWorthPerEngineSecond(t *testing.T) {
	classes := []Class{
		{Rate: 100, PromptTokens: 3000, OutputTokens: 500, Worth: 3},
		{Rate: 100, PromptTokens: 1500, OutputTokens: 2, Worth: 4},
	}
	plan := Optimize(&speed.Default, Capacity{1, 0, 0}, classes)
	if plan.Served[0] != 0 || plan.Served[1] <= 0 {
		t.Fatalf("served rates %v, want only the second class", plan.Served)
	}
}
