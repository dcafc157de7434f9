package admission

import "testing"

func TestHeadroomFollowsPredictions(t *testing.T) {
	h := newHeadroom()
	plan := func(late int) float64 {
		for i := range 100 {
			h.count(i < late)
		}
		return h.next()
	}
	if got := plan(5); got >= 1 {
		t.Errorf("headroom %g after late requests, want less than 1", got)
	}
	for range 100 {
		plan(5)
	}
	if h.value != minHeadroom {
		t.Errorf("headroom %g after many, want the least", h.value)
	}
	for range 200 {
		plan(0)
	}
	if h.value != maxHeadroom {
		t.Errorf("headroom %g without late requests, want the greatest", h.value)
	}
}
