package isolation

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// anyReached tries a few servers at which no attempt failed, then as many as may be. known
// is false if the result is inconclusive.
func (d *Detector) anyReached(ctx context.Context) (found, known bool) {
	listed := shuffled(d.options.View())
	d.mu.Lock()
	present := slices.DeleteFunc(slices.Clone(listed), func(e fleet.Engine) bool { return d.before.Missing(e.ID) })
	others := slices.DeleteFunc(slices.Clone(listed), func(e fleet.Engine) bool { return d.failed[e.Incarnation()] })
	d.mu.Unlock()
	if len(present) < minServers {
		return true, true
	}
	rounds := [][]fleet.Engine{first(others, firstProbes), first(listed, maxProbes)}
	for _, servers := range rounds {
		began := d.options.Clock.Now()
		if len(d.probe(ctx, servers, d.options.Reach, true).Reached) > 0 {
			return true, true
		}
		if ctx.Err() != nil || d.options.Clock.Now().Sub(began) > maxRoundTimeouts*probeTimeout {
			return false, false
		}
	}
	return false, true
}

// probe tries to connect to servers, maxProbes at the same time. If one is enough, it
// returns once one is reached.
func (d *Detector) probe(ctx context.Context, servers []fleet.Engine, reach func(context.Context, fleet.Engine) error, oneIsEnough bool) Return {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make([]error, len(servers))
	var group sync.WaitGroup
	slots := make(chan struct{}, maxProbes)
	for i, e := range servers {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			attempt, end := context.WithTimeout(ctx, probeTimeout)
			defer end()
			if errs[i] = reach(attempt, e); errs[i] == nil && oneIsEnough {
				cancel()
			}
		})
	}
	group.Wait()
	var out Return
	for i, e := range servers {
		if errs[i] == nil {
			out.Reached = append(out.Reached, e)
			continue
		}
		out.Unreached = append(out.Unreached, Unreached{Engine: e, Err: errs[i]})
	}
	return out
}

// shuffled returns the listed servers in random order.
func shuffled(v *fleet.View) []fleet.Engine {
	var all []fleet.Engine
	for e := range v.All() {
		all = append(all, e)
	}
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all
}

func first(servers []fleet.Engine, n int) []fleet.Engine {
	return servers[:min(n, len(servers))]
}
