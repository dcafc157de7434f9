package admission

import "testing"

func TestCapacityFactorFollowsLateRequests(t *testing.T) {
	f := newCapacityFactor()
	plan := func(late int) float64 {
		for i := range 100 {
			f.record(i < late)
		}
		return f.next()
	}
	if got := plan(5); got >= 1 {
		t.Errorf("capacity factor %g after late requests, want less than 1", got)
	}
	for range 100 {
		plan(5)
	}
	if f.value != minCapacityFactor {
		t.Errorf("capacity factor %g after many late requests, want minCapacityFactor", f.value)
	}
	for range 200 {
		plan(0)
	}
	if f.value != maxCapacityFactor {
		t.Errorf("capacity factor %g without late requests, want maxCapacityFactor", f.value)
	}
}
