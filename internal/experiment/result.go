package experiment

// Result is the result of one run. Only requests that arrive after the warm-up
// are counted.
type Result struct {
	// Offered, Answered, Late and Refused count requests by class. Late requests
	// were cancelled at the end of their expected wait.
	Offered  []int
	Answered []int
	Late     []int
	Refused  []int
	// RefusalTime is the maximum time from arrival to refusal and RetryAfter the
	// sum of the retry delays given with refusals, in seconds.
	RefusalTime float64
	RetryAfter  float64
	RoleChanges int
	// Bound is the upper bound on the answered worth.
	Bound float64

	worths []float64
}

func newResult(d *Deployment) *Result {
	r := &Result{}
	for _, k := range d.Classes {
		r.worths = append(r.worths, k.Worth)
	}
	n := len(d.Classes)
	r.Offered, r.Answered = make([]int, n), make([]int, n)
	r.Late, r.Refused = make([]int, n), make([]int, n)
	return r
}

func (r *Result) count(counts []int, a *arrival) {
	if a.at >= warmUp {
		counts[a.class]++
	}
}

func (r *Result) offer(a *arrival) { r.count(r.Offered, a) }

func (r *Result) late(a *arrival) { r.count(r.Late, a) }

func (r *Result) answer(a *arrival, _ float64) { r.count(r.Answered, a) }

func (r *Result) refuse(a *arrival, now float64) {
	r.count(r.Refused, a)
	r.RefusalTime = max(r.RefusalTime, now-a.at)
}

// worth returns the total worth of the requests counted by class.
func (r *Result) worth(counts []int) float64 {
	total := 0.0
	for i, n := range counts {
		total += float64(n) * r.worths[i]
	}
	return total
}

// Goodput returns the answered worth as a fraction of the offered worth.
func (r *Result) Goodput() float64 {
	return r.worth(r.Answered) / max(r.worth(r.Offered), 1)
}

// FractionOfBound returns the answered worth as a fraction of the bound.
func (r *Result) FractionOfBound() float64 {
	return r.worth(r.Answered) / max(r.Bound, 1)
}
