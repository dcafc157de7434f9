package admission

import (
	"fmt"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// busyTrackerSnapshot returns a tracker's snapshot of engines whose batches are
// full.
func busyTrackerSnapshot(engines int) *routing.Snapshot {
	tracker := routing.NewTracker(clock.Boot{})
	model := settings.Model{Engines: make(map[string]settings.Engine)}
	for i := range engines {
		model.Engines[fmt.Sprintf("e%d", i)] = settings.Engine{URL: fmt.Sprintf("http://e%d", i)}
	}
	tracker.Configure(&settings.Configuration{Models: map[string]settings.Model{"m": model}})
	for i := range engines {
		tracker.ApplyReport(fmt.Sprintf("e%d", i), backend.LoadReport{Role: settings.RoleMixed, Running: 48}, clock.Boot{}.Now())
	}
	tracker.Configure(&settings.Configuration{Models: map[string]settings.Model{"m": model}})
	return tracker.Snapshot()
}

// BenchmarkAdmit measures one admission with the given number of customers of
// one class, while not all requests can be served.
func BenchmarkAdmit(b *testing.B) {
	for _, customers := range []int{10, 300, 3300} {
		b.Run(fmt.Sprintf("customers=%d", customers), func(b *testing.B) {
			c := New(Options{Picker: firstEnginePicker{}, Clock: clock.Boot{}})
			s := busyTrackerSnapshot(20)
			names := make([]string, customers)
			for i := range names {
				names[i] = fmt.Sprintf("customer-%d", i)
			}
			b.ReportAllocs()
			for i := range b.N {
				r := routing.Request{Model: "m", Team: "t", Class: "c", Customer: names[i%customers], PromptTokens: 2000, OutputTokens: 200, Worth: 1}
				_, _ = c.Pick(s, &r)
			}
		})
	}
}
