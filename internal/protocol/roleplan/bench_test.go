package roleplan

import (
	"fmt"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// BenchmarkPlan measures one plan of one model with a full memory of samples.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{18, 200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			engines, model := fleetOf(append(repeated(settings.RolePrefill, n/2), repeated(settings.RoleDecode, n/2)...)...)
			demand := demandOf(prompts, drafts)
			for range samples {
				demand.Recent = append(demand.Recent, demandOf(prompts, drafts))
			}
			planner := NewGoodput(DefaultGoodput())
			for b.Loop() {
				planner.Plan(start, model, demand, engines)
			}
		})
	}
}
