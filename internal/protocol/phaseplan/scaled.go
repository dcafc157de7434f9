package phaseplan

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// maxConcurrentOrders bounds the engines that are ordered at once: many new engines may
	// be listed at the same time, and one that doesn't answer takes more than a second.
	maxConcurrentOrders = 16
)

// ReconcileScaled is like Reconcile, for a service whose number of engines changes by orders
// of this system. New engines get their phases at once, also while earlier ones change, and
// engines that come or go are not taken for trouble.
func (d *Driver) ReconcileScaled(ctx context.Context, service string, engines []fleet.Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.mayOrder(); !ok {
		d.options.Withdraw(nil)
		return
	}
	d.settle(engines)
	loads := d.options.Load()
	due := d.scaledChanges(service, engines, func(id string) fleet.Load { return loads[id] })
	for _, c := range due {
		d.changing[c.Engine.Incarnation()] = c
	}
	d.withdraw()
	if len(due) == 0 {
		return
	}
	clock.Sleep(ctx, withdrawLead)
	d.orderAll(ctx, due)
	d.withdraw()
}

// scaledChanges returns the changes to the share that callers need. Engines that change count
// in their new phases. d.mu must be held.
func (d *Driver) scaledChanges(service string, listed []fleet.Engine, load func(engine string) fleet.Load) (due []Change) {
	engines := slices.Clone(listed)
	for i, e := range engines {
		if c, ok := d.changing[e.Incarnation()]; ok {
			engines[i].Phase = c.Phase
		}
	}
	eligible, counts := eligibleEngines(engines)
	if len(eligible) < 2 {
		return nil
	}
	share := d.shares[service]
	if share == nil {
		share = &adaptiveShare{floor: d.options.Plan.Share(eligible[0].Slots)}
		d.shares[service] = share
	}
	failing := slices.ContainsFunc(eligible, func(e fleet.Engine) bool {
		l := load(e.ID)
		return l.FailingEntries > 0 || l.MissingEntries > 0
	})
	// The number stays the same for the share, so that changes of it are no trouble.
	state := fleetState{engines: 1, prefill: 0, failing: failing}
	if share.share == 0 {
		state = fleetState{engines: len(eligible), prefill: counts[fleet.Prefill], failing: failing}
		share.next(time.Now(), state, fleet.Pace{})
		share.engines, state.engines = 1, 1
	}
	before, pace := share.share, d.options.Pace()[service]
	next := share.next(time.Now(), state, pace)
	if next != before {
		d.options.Log.Info("prefill share changed", "service", service, "share", next, "before", before,
			"streams", pace.Ended, "tight", pace.Tight, "late", pace.Late, "engines", len(eligible))
	}
	changes := changesPreferring(isIdle(load), next, eligible, counts, load)
	for _, c := range append(changes, substitutes(eligible, load, d.becomesDecoder)...) {
		at, ordered := d.lastOrder[c.Engine.Incarnation()]
		if !ordered || time.Since(at) >= orderSettleTime {
			due = append(due, c)
		}
	}
	return due
}

// isIdle returns a function that reports whether an engine has no work, such as a new one.
func isIdle(load func(engine string) fleet.Load) func(fleet.Engine) bool {
	return func(e fleet.Engine) bool {
		l := load(e.ID)
		return l.PromptTokens == 0 && l.Streams == 0
	}
}

// orderAll orders engines concurrently. d.mu must be held.
func (d *Driver) orderAll(ctx context.Context, changes []Change) {
	type outcome struct {
		Change
		accepted bool
	}
	outcomes := make(chan outcome, len(changes))
	slots := make(chan struct{}, maxConcurrentOrders)
	var group sync.WaitGroup
	for _, c := range changes {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			outcomes <- outcome{c, d.orderConcurrently(ctx, c)}
		})
	}
	group.Wait()
	close(outcomes)
	for o := range outcomes {
		if !o.accepted {
			delete(d.changing, o.Engine.Incarnation())
		}
	}
}

// orderConcurrently is like order beside other calls of it. d.mu must be held by the caller
// of orderAll.
func (d *Driver) orderConcurrently(ctx context.Context, c Change) bool {
	count, busy, err := d.options.Engines.Accepted(ctx, c.Engine)
	if err != nil || busy {
		d.options.Log.Info("engine not ordered", "engine", c.Engine.ID, "phase", c.Phase.String(), "busy", busy, "error", err)
		return false
	}
	d.ordering.Lock()
	token, ok := d.mayOrder()
	if ok {
		d.lastOrder[c.Engine.Incarnation()] = time.Now()
	}
	d.ordering.Unlock()
	if !ok {
		return false
	}
	fenced, err := d.options.Engines.Order(ctx, c, token, count)
	if fenced {
		d.ordering.Lock()
		d.fenced = token
		d.ordering.Unlock()
	}
	d.options.Log.Info("engine ordered", "engine", c.Engine.ID, "from", c.Engine.Phase.String(), "phase", c.Phase.String(), "token", token, "expected", count, "fenced", fenced, "error", err)
	return !fenced
}
