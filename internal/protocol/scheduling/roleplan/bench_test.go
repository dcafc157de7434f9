package roleplan

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// BenchmarkPlan measures one plan for one model with the greatest number of
// samples.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{18, 200} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			engines, model := newFleet(append(repeatRole(settings.RolePrefill, n/2), repeatRole(settings.RoleDecode, n/2)...)...)
			demand := newDemand(prompts, drafts)
			for range maxSamples {
				demand.Recent = append(demand.Recent, newDemand(prompts, drafts))
			}
			planner := NewGoodput(DefaultGoodput())
			for b.Loop() {
				planner.Plan(start, model, demand, engines)
			}
		})
	}
}

// BenchmarkReportSize measures the encoded size of a demand report, by the
// number of models with two classes each.
func BenchmarkReportSize(b *testing.B) {
	for _, models := range []int{1, 14} {
		b.Run(fmt.Sprintf("models=%d", models), func(b *testing.B) {
			r := Report{Member: "entry-400", Models: make(map[string]Demand)}
			for i := range models {
				r.Models[fmt.Sprintf("model-%02d", i)] = newDemand(prompts, drafts)
			}
			size := 0
			for b.Loop() {
				encoded, err := cbor.Marshal(r)
				if err != nil {
					b.Fatal(err)
				}
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B/report")
		})
	}
}
