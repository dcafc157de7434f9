package admission

const (
	// minHeadroom and maxHeadroom bound the part of the engines' full rate
	// that is planned with.
	minCapacityFactor = 0.8
	maxCapacityFactor = 1.2
	// headroomUp and headroomDown are the factors of one plan.
	capacityFactorUp   = 1.005
	capacityFactorDown = 0.97
	// tolerableLate is the part of the densest class's admitted requests that
	// predictions may refuse.
	maxLateFraction = 0.01
)

// headroom is the part of the engines' full rate that is planned with. It
// falls while predictions refuse requests of the class with the most worth per
// engine second, since they refuse the short waits first and not the least
// worth, and rises slowly otherwise.
type capacityFactor struct {
	value float64
	// admitted and late count the densest class's requests since the last plan.
	admitted, late float64
}

func newCapacityFactor() capacityFactor {
	return capacityFactor{value: 1}
}

// count notes an admitted request, and whether predictions refused it.
func (f *capacityFactor) record(late bool) {
	f.admitted++
	if late {
		f.late++
	}
}

// next returns the headroom for the next plan.
func (f *capacityFactor) next() float64 {
	factor := capacityFactorUp
	if f.late > f.admitted*maxLateFraction {
		factor = capacityFactorDown
	}
	f.value = min(max(f.value*factor, minCapacityFactor), maxCapacityFactor)
	f.admitted, f.late = 0, 0
	return f.value
}
