package member

import (
	"testing"

	"pgregory.net/rapid"
)

// TestObserveFlappingList observes runs of a VM in random order, as a list
// that lags and flaps shows them. A run that was observed as leaving must stay
// leaving, and an observation of an earlier run must not replace a later one.
func TestObserveFlappingList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vm VM
		left := make(map[uint64]bool)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			run := rapid.Uint64Range(1, 5).Draw(t, "run")
			leaving := rapid.Bool().Draw(t, "leaving")
			before := vm
			var changed bool
			vm, changed = vm.Observe(Observation{Address: "127.0.0.1", Incarnation: run, Leaving: leaving})
			left[run] = left[run] || leaving
			if changed != (vm != before) {
				t.Fatalf("changed = %v for a change from %+v to %+v", changed, before, vm)
			}
			if vm.Incarnation < before.Incarnation {
				t.Fatalf("observation of an earlier run replaced %+v by %+v", before, vm)
			}
			if vm.Incarnation == run && vm.Leaving != left[run] {
				t.Fatalf("leaving = %v, want %v", vm.Leaving, left[run])
			}
			if vm.Incarnation == before.Incarnation && before.Leaving && !vm.Leaving {
				t.Fatal("leaving was reset within one incarnation")
			}
		}
	})
}
