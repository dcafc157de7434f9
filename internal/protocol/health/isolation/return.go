package isolation

import (
	"context"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Return describes the end of an isolation.
type Return struct {
	// Reached are the servers that accept connections, and Unreached the others.
	Reached   []fleet.Engine
	Unreached []Unreached
}

// Unreached is a server that accepted no connection while others did.
type Unreached struct {
	fleet.Engine
	Err error
}

// OnReturn sets a function that is called at the end of each isolation, before Isolated
// reports it. It must be called before Run.
func (d *Detector) OnReturn(f func(Return)) {
	if d != nil {
		d.onReturn = f
	}
}

// awaitReturn tries a few servers again and again until one is reached, then all at once.
func (d *Detector) awaitReturn(ctx context.Context) {
	for clock.Sleep(ctx, returnInterval) {
		listed := shuffled(d.options.View())
		if len(listed) >= minServers && len(d.probe(ctx, first(listed, returnProbes), d.options.Return, true).Reached) == 0 {
			continue
		}
		if d.awaitOthers(ctx) {
			return
		}
	}
}

// awaitOthers ends the isolation once enough servers are reached for the requests of this
// process. It reports false if none is reached any more.
func (d *Detector) awaitOthers(ctx context.Context) bool {
	began := d.options.Clock.Now()
	for ctx.Err() == nil {
		listed := shuffled(d.options.View())
		found := d.probe(ctx, listed, d.options.Return, false)
		late := d.options.Clock.Now().Sub(began) >= maxReturnTime
		switch n := len(found.Reached); {
		case len(listed) < minServers, returnedPart*n >= len(listed), n > 0 && late:
			d.end(found)
			return true
		case n == 0:
			return false
		}
		clock.Sleep(ctx, sweepInterval)
	}
	return true
}

// end ends an isolation: all that was found since the first failure is taken back.
func (d *Detector) end(found Return) {
	d.mu.Lock()
	d.options.Outlier.Restore(d.before)
	d.mu.Unlock()
	d.onReturn(found)
	d.mu.Lock()
	d.settle()
	d.setReachable()
	now := d.options.Clock.Now()
	lasted := now.Sub(d.since)
	d.mu.Unlock()
	if left, ok := d.ended.due(now); ok {
		d.options.Log.Info("servers reachable again", "services", services(d.options.View()), "reached", len(found.Reached),
			"unreached", len(found.Unreached), "ms", lasted.Milliseconds(), "left_out", left)
	}
	d.changedTo(false)
}
