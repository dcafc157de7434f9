// Package fairshare decides how workspaces share the capacity of a service while there is
// less of it than they ask for. [Targets] is the decision, and [Uses] the record of what
// each workspace lately asked for and was granted.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

const (
	// proportionalPart is the part of a proportional share that each workspace gets in any
	// case. It is the least served fraction of a workspace, relative to the mean, that is
	// aimed at.
	proportionalPart = 0.75
	// outputCost is the cost of a token to generate, in tokens to prefill. An engine
	// generates tokens of all its streams at about an eighth of the rate at which it
	// prefills.
	outputCost = 8
)

// Cost returns the cost of a request, in cost units, from the numbers of tokens to prefill
// and to generate at most.
func Cost(prefill, output int) float64 {
	return float64(max(0, prefill)) + outputCost*float64(max(0, output))
}

// Use is what a workspace lately asked of a service and was granted, in cost units per
// second. An empty Workspace stands for all requests that no other Use of a list counts.
type Use struct {
	Service   string
	Workspace string
	Asked     float64
	Granted   float64
}

// Demand is what one of those who share a capacity asks for, in cost units per second.
type Demand struct {
	Asked float64
	// Members is the number of equal workspaces that the demand is of. Zero stands for one.
	Members float64
}

// Targets returns what each demand is to get of a capacity: proportionalPart of what it
// would get if the same fraction of every demand were served, and of the rest a max-min
// fair share. The sum of the targets is the capacity or, if that is less, the sum of the
// demands.
func Targets(demands []Demand, capacity float64) []float64 {
	sum := 0.0
	for _, d := range demands {
		sum += d.Asked
	}
	targets := make([]float64, len(demands))
	if sum <= 0 || capacity <= 0 {
		return targets
	}
	fraction := min(1, capacity/sum)
	for i, d := range demands {
		targets[i] = proportionalPart * fraction * d.Asked
	}
	// Filled up in the order of what each member still lacks, the least first.
	order := make([]int, len(demands))
	members := 0.0
	for i := range order {
		order[i] = i
		members += demands[i].members()
	}
	lack := func(i int) float64 { return (demands[i].Asked - targets[i]) / demands[i].members() }
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(lack(a), lack(b)) })
	rest := (1 - proportionalPart) * fraction * sum
	for _, i := range order {
		n := demands[i].members()
		got := n * min(lack(i), rest/members)
		targets[i] += got
		rest -= got
		members -= n
	}
	return targets
}

func (d Demand) members() float64 { return max(1, d.Members) }

// unnamedMembers estimates how many workspaces the requests without a named workspace are
// of. Lists name the workspaces with the highest demand, so none of the others asks for
// more than the named one that asks for least.
func unnamedMembers(asked, leastNamed float64) float64 {
	if leastNamed <= 0 {
		return 1
	}
	return max(1, math.Ceil(asked/leastNamed))
}
