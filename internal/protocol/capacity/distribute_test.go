package capacity_test

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// cost returns the price of the servers for a second.
func cost(s route.Scaling, servers capacity.ZoneCounts) (sum float64) {
	for zone, c := range servers {
		sum += s.ZonePrices[zone] * (float64(c[capacity.Lasting]) + s.ReclaimablePrice*float64(c[capacity.Reclaimable]))
	}
	return sum
}

// sufficient reports whether the servers are enough for a need within the limits, also after
// the loss of the reclaimable ones of any zone.
func sufficient(servers capacity.ZoneCounts, n capacity.Need, l capacity.Limits) bool {
	total, lost := 0, 0
	for zone := range l.ZonePrices {
		c := servers[zone]
		if c.Total() < l.Min || c.Total() > l.Max || c[capacity.Reclaimable] > 0 && l.Unavailable(zone) {
			return false
		}
		total, lost = total+c.Total(), max(lost, c[capacity.Reclaimable])
	}
	return total >= n.Normal && total-lost >= n.AfterLoss
}

// cheapest returns the least cost of servers in some zones that are enough, by trying all.
func cheapest(n capacity.Need, l capacity.Limits, zones []string) float64 {
	best, servers := math.Inf(1), make(capacity.ZoneCounts)
	var try func(left []string)
	try = func(left []string) {
		if len(left) == 0 {
			if sufficient(servers, n, l) {
				best = min(best, cost(l.Scaling, servers))
			}
			return
		}
		for lasting := range l.Max + 1 {
			for reclaimable := range l.Max + 1 - lasting {
				servers[left[0]] = capacity.Counts{lasting, reclaimable}
				try(left[1:])
			}
		}
	}
	try(zones)
	return best
}

// TestDistributionAgainstBruteForce guards against distributions that are not enough although
// there are enough servers, and against ones that cost much more than the cheapest.
func TestDistributionAgainstBruteForce(t *testing.T) {
	// The servers are spread evenly over zones whose prices are between 0.85 and 1.2, and a
	// twentieth of them lasts in any case.
	const seeds, maxRatio, lastingShare = 300, (0.85 + 1.2) / 2 / 0.85, 0.05
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 7))
		zones := zoneNames[:2+random.IntN(2)]
		s := route.Scaling{Min: random.IntN(2), Max: 3 + random.IntN(4), ReclaimablePrice: 0.18, ZonePrices: make(map[string]float64)}
		closed := make(map[string]bool)
		for _, zone := range zones {
			s.ZonePrices[zone] = 0.85 + 0.35*random.Float64()
			if random.IntN(5) == 0 {
				closed[zone] = true
			}
		}
		l := capacity.Limits{Scaling: s, Unavailable: func(zone string) bool { return closed[zone] }}
		n := capacity.Need{Normal: 1 + random.IntN(s.Max*len(zones))}
		n.AfterLoss = max(1, n.Normal*7/10)
		got := capacity.Distribute(n, l)
		least := cheapest(n, l, zones)
		if math.IsInf(least, 1) {
			continue
		}
		if total := got.Total().Total(); total < n.AfterLoss || len(closed) == 0 && !sufficient(got, n, l) {
			t.Errorf("seed %d: got %v, not enough for %+v", seed, got, n)
		}
		always := math.Ceil(lastingShare*float64(n.Normal)) * 1.2
		if cost(s, got) > maxRatio*least+always {
			t.Errorf("seed %d: %+v costs %.2f by %v, %.2f at least", seed, n, cost(s, got), got, least)
		}
	}
}

// TestDistributions guards against distributions outside the limits, and against a service
// that is left without servers while no reclaimable ones are available.
func TestDistributions(t *testing.T) {
	everywhere, nowhere := func(string) bool { return true }, func(string) bool { return false }
	need := capacity.Need{Normal: 40, AfterLoss: 28}
	present := capacity.ZoneCounts{"z1": {1, 10}, "z2": {1, 10}, "z3": {0, 10}, "z4": {0, 0}}
	for name, c := range map[string]struct {
		need        capacity.Need
		change      func(*route.Scaling)
		unavailable func(string) bool
		present     capacity.ZoneCounts
		// total and lasting are the wanted numbers.
		total, lasting int
	}{
		"reclaimable in all zones":                {need, nil, nowhere, nil, 40, 2},
		"none available":                          {need, nil, everywhere, nil, 28, 28},
		"none available, some present":            {need, nil, everywhere, present, 33, 3},
		"no reclaimable servers at all":           {need, func(s *route.Scaling) { s.ReclaimablePrice = 0 }, nowhere, nil, 40, 40},
		"more than the maximum":                   {need, func(s *route.Scaling) { s.Max = 5 }, nowhere, nil, 20, 2},
		"less than the minimum":                   {capacity.Need{Normal: 2, AfterLoss: 1}, func(s *route.Scaling) { s.Min = 3 }, nowhere, nil, 12, 1},
		"less than the minimum, none available":   {capacity.Need{Normal: 2, AfterLoss: 1}, func(s *route.Scaling) { s.Min = 3 }, everywhere, nil, 12, 12},
		"one zone":                                {capacity.Need{Normal: 10, AfterLoss: 7}, func(s *route.Scaling) { s.ZonePrices = map[string]float64{"z1": 1} }, nowhere, nil, 10, 7},
		"two zones, one closed":                   {capacity.Need{Normal: 10, AfterLoss: 7}, func(s *route.Scaling) { s.ZonePrices = map[string]float64{"z1": 1, "z2": 1} }, func(zone string) bool { return zone == "z2" }, nil, 10, 2},
		"nothing asked for":                       {capacity.Need{}, nil, nowhere, nil, 4, 0},
		"no prices: the zones with servers count": {need, func(s *route.Scaling) { s.ZonePrices = nil }, nowhere, present, 40, 2},
	} {
		s := scaling
		if c.change != nil {
			c.change(&s)
		}
		got := capacity.Distribute(c.need, capacity.Limits{Scaling: s, Unavailable: c.unavailable, Present: c.present})
		if total := got.Total(); total.Total() != c.total || total[capacity.Lasting] != c.lasting {
			t.Errorf("%s: got %v, %d servers, %d lasting, want %d and %d", name, got, total.Total(), total[capacity.Lasting], c.total, c.lasting)
		}
	}
}

// TestNeed guards against a service without engines, or without known figures, that gets too
// few servers.
func TestNeed(t *testing.T) {
	phased, plain := capacity.Class{PrefillShare: 0.5, Slots: 64}, capacity.Class{Slots: 6}
	for name, c := range map[string]struct {
		demand        fleet.DemandRate
		class         capacity.Class
		growth        float64
		normal, after int
	}{
		"prefill decides":        {fleet.DemandRate{PromptTokens: 600_000, EngineRate: 50_000, InProgress: 64}, phased, 1, 40, 29},
		"decode decides":         {fleet.DemandRate{PromptTokens: 50_000, EngineRate: 50_000, InProgress: 640}, phased, 1, 34, 24},
		"growth":                 {fleet.DemandRate{PromptTokens: 600_000, EngineRate: 50_000}, phased, 1.25, 50, 36},
		"speed unknown":          {fleet.DemandRate{PromptTokens: 600_000}, phased, 1, 40, 29},
		"both phases":            {fleet.DemandRate{}, phased, 1, 2, 2},
		"plain":                  {fleet.DemandRate{Requests: 100, PromptTokens: 1e9, InProgress: 36}, plain, 1, 10, 8},
		"plain, slots not known": {fleet.DemandRate{InProgress: 3}, capacity.Class{}, 1, 5, 4},
		"plain, idle":            {fleet.DemandRate{}, plain, 1, 0, 0},
		"plain, no server":       {fleet.DemandRate{Requests: 2}, plain, 1, 1, 1},
	} {
		if got := capacity.NeedFor(c.demand, c.class, c.growth); got != (capacity.Need{Normal: c.normal, AfterLoss: c.after}) {
			t.Errorf("%s: got %+v, want %d and %d", name, got, c.normal, c.after)
		}
	}
}
