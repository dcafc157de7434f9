package experiment

// Result is the outcome of one run. Only requests that arrive after the
// warm-up count.
type Result struct {
	// Offered, Answered, Late and Refused count requests by class.
	Offered  []int
	Answered []int
	Late     []int
	Refused  []int
	// RefusalTime is the greatest time from a request's arrival to its
	// refusal, in seconds, and RetryAfter the sum of the times told.
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

// worth returns the worth of counted requests.
func (r *Result) worth(counts []int) float64 {
	total := 0.0
	for i, n := range counts {
		total += float64(n) * r.worths[i]
	}
	return total
}

// Goodput is the answered part of the offered worth.
func (r *Result) Goodput() float64 {
	return r.worth(r.Answered) / max(r.worth(r.Offered), 1)
}

// OfBound is the answered part of the worth that could be served.
func (r *Result) FractionOfBound() float64 {
	return r.worth(r.Answered) / max(r.Bound, 1)
}
