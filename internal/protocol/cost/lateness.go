package cost

// Excess returns the expected excess of a value above a limit if the value is off by up to
// width in both directions, all errors being equally likely. It is zero up to a width below
// the limit, quadratic within the width and linear beyond it.
func Excess(value, limit, width float64) float64 {
	switch d := value - limit; {
	case d <= -width:
		return 0
	case d >= width:
		return d
	default:
		return (d + width) * (d + width) / (4 * width)
	}
}

// Objective is a time within which an event is due. Predictions are off by up to the
// objective, so that a time far below it already has a small cost, which grows with the time.
// The zero value stands for no objective.
type Objective struct {
	// limit is in milliseconds, and curve the factor of the quadratic part of Late.
	limit, curve float64
}

// Within returns the objective of so many milliseconds, or none for zero.
func Within(limit float64) Objective {
	if limit <= 0 {
		return Objective{}
	}
	return Objective{limit: limit, curve: 1 / (4 * limit)}
}

// Late returns the expected lateness of an event that is predicted after a time, in
// milliseconds. It is Excess with a width of the objective.
func (o Objective) Late(predicted float64) float64 {
	if predicted >= 2*o.limit {
		if o.limit == 0 {
			return 0
		}
		return predicted - o.limit
	}
	return predicted * predicted * o.curve
}

// Slope returns by how much Late grows with the predicted time.
func (o Objective) Slope(predicted float64) float64 {
	return min(1, 2*predicted*o.curve)
}
