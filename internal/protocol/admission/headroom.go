package admission

const (
	// minHeadroom and maxHeadroom bound the part of the engines' full rate
	// that is planned with.
	minHeadroom = 0.8
	maxHeadroom = 1.2
	// headroomUp and headroomDown are the factors of one plan.
	headroomUp   = 1.005
	headroomDown = 0.97
	// tolerableLate is the part of the densest class's admitted requests that
	// predictions may refuse.
	tolerableLate = 0.01
)

// headroom is the part of the engines' full rate that is planned with. It
// falls while predictions refuse requests of the class with the most worth per
// engine second, since they refuse the short waits first and not the least
// worth, and rises slowly otherwise.
type headroom struct {
	value float64
	// admitted and late count the densest class's requests since the last plan.
	admitted, late float64
}

func newHeadroom() headroom {
	return headroom{value: 1}
}

// count notes an admitted request, and whether predictions refused it.
func (h *headroom) count(late bool) {
	h.admitted++
	if late {
		h.late++
	}
}

// next returns the headroom for the next plan.
func (h *headroom) next() float64 {
	factor := headroomUp
	if h.late > h.admitted*tolerableLate {
		factor = headroomDown
	}
	h.value = min(max(h.value*factor, minHeadroom), maxHeadroom)
	h.admitted, h.late = 0, 0
	return h.value
}
