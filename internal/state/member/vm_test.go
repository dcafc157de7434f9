package member

import (
	"testing"

	"pgregory.net/rapid"
)

// TestObserveFlappingList shows a VM's runs in any order, as a list does that
// lags and flaps. A run that was shown as leaving stays so, and the latest run
// shown decides.
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
				t.Fatalf("changed = %v from %+v to %+v", changed, before, vm)
			}
			if vm.Incarnation < before.Incarnation {
				t.Fatalf("an earlier run replaced a later one: %+v, %+v", before, vm)
			}
			if vm.Incarnation == run && vm.Leaving != left[run] {
				t.Fatalf("leaving = %v, want %v", vm.Leaving, left[run])
			}
			if vm.Incarnation == before.Incarnation && before.Leaving && !vm.Leaving {
				t.Fatal("a leaving run was taken for live again")
			}
		}
	})
}
