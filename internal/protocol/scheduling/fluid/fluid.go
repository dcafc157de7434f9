package fluid

import "github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/speed"

// Class is the demand of one class of requests.
type Class struct {
	// Rate is in requests per second.
	Rate float64
	// PromptTokens, without those found in prefix caches, and OutputTokens are
	// means per request.
	PromptTokens float64
	OutputTokens float64
	// Worth is the value of one request.
	Worth float64
}

// Capacity is the number of engines in each role, in the order of speed.Roles;
// a slow engine counts as a fraction.
type Capacity [len(speed.Roles)]float64

// Total returns the number of engines.
func (c Capacity) Total() float64 {
	sum := 0.0
	for _, n := range c {
		sum += n
	}
	return sum
}

// Plan is the optimal use of a capacity.
type Plan struct {
	// Worth is the total value of the requests served per second.
	Worth float64
	// Served is the rate at which each class is served, in requests per second.
	Served []float64
}

// Optimize returns the plan with the highest worth per second. It solves a linear
// program whose variables are the rates of each class in each role, bounded by
// the engines of each role and by the demand of each class.
func Optimize(t *speed.Table, capacity Capacity, classes []Class) Plan {
	roles := len(speed.Roles)
	objective := make([]float64, len(classes)*roles)
	constraints := make([][]float64, roles+len(classes))
	bounds := make([]float64, roles+len(classes))
	for i := range constraints {
		constraints[i] = make([]float64, len(objective))
	}
	for r, role := range speed.Roles {
		bounds[r] = capacity[r]
		for c := range classes {
			constraints[r][c*roles+r] = t.ForRole(role).Cost(classes[c].PromptTokens, classes[c].OutputTokens)
		}
	}
	for c := range classes {
		bounds[roles+c] = classes[c].Rate
		for r := range roles {
			objective[c*roles+r] = classes[c].Worth
			constraints[roles+c][c*roles+r] = 1
		}
	}
	return planFromSolution(classes, maximise(objective, constraints, bounds))
}

// planFromSolution converts the solution of the linear program to a plan.
func planFromSolution(classes []Class, x []float64) Plan {
	roles := len(speed.Roles)
	p := Plan{Served: make([]float64, len(classes))}
	for c := range classes {
		for r := range roles {
			p.Served[c] += x[c*roles+r]
		}
		p.Worth += p.Served[c] * classes[c].Worth
	}
	return p
}
