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

// Objective is a time within which an event is due. The zero value stands for none.
type Objective struct {
	// limit and from are in milliseconds: below from, an event is in time for certain. curve
	// is the factor of the quadratic part of Late.
	limit, from, curve float64
}

// Within returns the objective of so many milliseconds, or none for zero. Predictions are off
// by up to a part of it.
func Within(limit, part float64) Objective {
	if limit <= 0 {
		return Objective{}
	}
	return Objective{limit: limit, from: limit * (1 - part), curve: 1 / (4 * limit * part)}
}

// Late returns the expected lateness of an event that is predicted after a time, in
// milliseconds; see [Excess].
func (o Objective) Late(predicted float64) float64 {
	above := predicted - o.from
	switch {
	case above <= 0 || o.limit == 0:
		return 0
	case above >= 2*(o.limit-o.from):
		return predicted - o.limit
	}
	return above * above * o.curve
}

// Slope returns by how much Late grows with the predicted time.
func (o Objective) Slope(predicted float64) float64 {
	return min(1, 2*max(0, predicted-o.from)*o.curve)
}

// Missed returns the probability that an event that is predicted after a time is later than
// the objective, if predictions are off by up to a part of it in both directions, all errors being
// equally likely. Without an objective it is zero.
func (o Objective) Missed(predicted, part float64) float64 {
	if o.limit == 0 {
		return 0
	}
	return min(1, max(0, (predicted/o.limit-1+part)/(2*part)))
}
