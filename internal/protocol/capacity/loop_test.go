package capacity_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const trafficFrom = 14 * time.Second

// steady is the demand of a deployment of 69 entries.
func steady(factor float64) *fleet.DemandRate {
	return &fleet.DemandRate{Requests: 296 * factor, PromptTokens: 870_000 * factor, EngineRate: 50_000, InProgress: 500 * factor}
}

// after returns a demand that begins at trafficFrom.
func after(factor func(time.Duration) float64) func(time.Duration) *fleet.DemandRate {
	return func(at time.Duration) *fleet.DemandRate {
		if at < trafficFrom {
			return nil
		}
		return steady(factor(at))
	}
}

// noisy returns a steady demand as entries measure it: prompts arrive at random, and those
// that arrived within 2 s count.
func noisy() func(time.Duration) *fleet.DemandRate {
	random := rand.New(rand.NewPCG(3, 4))
	kinds := []struct{ perSecond, tokens float64 }{{46, 12_000}, {179, 830}, {71, 2_400}}
	const part, parts = 250 * time.Millisecond, 8
	var arrived []float64
	for range 100 * time.Second / part {
		tokens := 0.0
		for _, k := range kinds {
			mean := k.perSecond * part.Seconds()
			tokens += k.tokens * max(0, mean+math.Sqrt(mean)*random.NormFloat64())
		}
		arrived = append(arrived, tokens)
	}
	return func(at time.Duration) *fleet.DemandRate {
		if at < trafficFrom {
			return nil
		}
		out := steady(1)
		out.PromptTokens = 0
		end := int(at/part) + 1
		for _, tokens := range arrived[end-parts : end] {
			out.PromptTokens += tokens / (part * parts).Seconds()
		}
		return out
	}
}

// checkSteady checks that the orders for a kind in a zone don't turn within 10 s.
func checkSteady(t *testing.T, c *cloud) {
	t.Helper()
	type place struct {
		zone string
		kind capacity.Kind
	}
	last, lastChange, changedAt := make(map[place]int), make(map[place]int), make(map[place]time.Time)
	for _, call := range c.calls {
		p := place{call.Zone, call.Kind}
		if before, known := last[p]; known && call.Servers != before {
			change := call.Servers - before
			if change*lastChange[p] < 0 && call.at.Sub(changedAt[p]) < 10*time.Second {
				t.Errorf("%d %v servers ordered in %s, %+d %v before", call.Servers, p.kind, p.zone, lastChange[p], call.at.Sub(changedAt[p]))
			}
			lastChange[p], changedAt[p] = change, call.at
		}
		last[p] = call.Servers
	}
}

// TestLoop guards against plans that leave too few servers while demand changes, servers are
// taken away and orders are lost, and against plans that cost too much.
func TestLoop(t *testing.T) {
	const length = 70 * time.Second
	flat := after(func(time.Duration) float64 { return 1 })
	for name, c := range map[string]struct {
		demand func(time.Duration) *fleet.DemandRate
		events func(*cloud) map[time.Duration]func()
		// maxUse bounds the part of the servers that is occupied, and maxCost the cost as
		// part of that of a fixed number of servers.
		maxUse, maxCost float64
		// steady is set if no server may be ordered and soon given back, or the reverse.
		steady bool
	}{
		"flat":  {demand: flat, maxUse: 0.6, maxCost: 0.5, steady: true},
		"noisy": {demand: noisy(), maxUse: 0.6, maxCost: 0.5, steady: true},
		"waves": {demand: after(func(at time.Duration) float64 { return 1 + 0.25*math.Sin(2*math.Pi*at.Seconds()/22) }), maxUse: 0.7, maxCost: 0.5},
		"step of a half": {demand: after(func(at time.Duration) float64 {
			if at > 40*time.Second {
				return 1.5
			}
			return 1
		}), maxUse: 0.95, maxCost: 0.55},
		"reclaim": {demand: flat, events: func(c *cloud) map[time.Duration]func() {
			return map[time.Duration]func(){40 * time.Second: func() { c.reclaim("z1", 11*time.Second, false) }}
		}, maxUse: 0.85, maxCost: 0.5},
		"reclaim, none anywhere": {demand: flat, events: func(c *cloud) map[time.Duration]func() {
			return map[time.Duration]func(){40 * time.Second: func() { c.reclaim("z1", 11*time.Second, true) }}
		}, maxUse: 0.85, maxCost: 0.55},
		"orders lost": {demand: flat, events: func(c *cloud) map[time.Duration]func() {
			c.fail = loseSome(c)
			return nil
		}, maxUse: 0.85, maxCost: 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cloud := newCloud(60)
				events := map[time.Duration]func(){}
				if c.events != nil {
					events = c.events(cloud)
				}
				fixed, _ := cloud.price()
				moments, cost := simulate(t, cloud, length, c.demand, events)
				worst, worstAt := 0.0, time.Duration(0)
				for _, m := range moments {
					if use := m.need / float64(max(1, m.serving.Total())); use > worst {
						worst, worstAt = use, m.at
					}
					if m.at < trafficFrom && m.serving.Total() < 60 {
						t.Errorf("%v: %d servers before there is traffic, want 60", m.at, m.serving.Total())
					}
				}
				last := moments[len(moments)-1].serving
				part := cost / (fixed * length.Seconds())
				t.Logf("use at most %.2f at %v, cost %.2f, %d orders, lasting and reclaimable at the end %v", worst, worstAt, part, len(cloud.calls), last)
				if c.steady {
					checkSteady(t, cloud)
				}
				if worst > c.maxUse {
					t.Errorf("%.2f of the servers are occupied at %v, want at most %.2f", worst, worstAt, c.maxUse)
				}
				if part > c.maxCost {
					t.Errorf("the cost is %.2f of that of a fixed number, want at most %.2f", part, c.maxCost)
				}
			})
		})
	}
}
