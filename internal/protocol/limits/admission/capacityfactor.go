package admission

const (
	// minCapacityFactor and maxCapacityFactor bound the capacity factor.
	minCapacityFactor = 0.8
	maxCapacityFactor = 1.2
	// capacityFactorUp and capacityFactorDown are the factors by which it
	// changes from one plan to the next.
	capacityFactorUp   = 1.005
	capacityFactorDown = 0.97
	// maxLateFraction is the fraction of the top class's admitted requests that
	// the picker may refuse as late before the factor falls.
	maxLateFraction = 0.01
)

// capacityFactor is the fraction of the engines' full capacity that is planned
// with. It falls while the picker's predictions refuse requests of the class
// with the most worth per engine second, because predictions refuse the
// requests with the shortest expected wait first and not those of the least
// worth. Otherwise it rises slowly.
type capacityFactor struct {
	value float64
	// admitted and late count the top class's requests since the last plan.
	admitted, late float64
}

func newCapacityFactor() capacityFactor {
	return capacityFactor{value: 1}
}

// record counts an admitted request and whether the picker refused it.
func (f *capacityFactor) record(late bool) {
	f.admitted++
	if late {
		f.late++
	}
}

// next returns the factor for the next plan and resets the counts.
func (f *capacityFactor) next() float64 {
	factor := capacityFactorUp
	if f.late > f.admitted*maxLateFraction {
		factor = capacityFactorDown
	}
	f.value = min(max(f.value*factor, minCapacityFactor), maxCapacityFactor)
	f.admitted, f.late = 0, 0
	return f.value
}
