package phaseplan

import (
	"context"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// maxConcurrentOrders bounds the engines that are ordered at once: many new engines may
	// be listed at the same time, and one that doesn't answer takes more than a second.
	maxConcurrentOrders = 16
	// maxBusyShare bounds the part of the engines that have work and change their phase at
	// the same time: each is out of service for seconds, and the rest must do its work,
	// often just after a zone has lost its engines.
	maxBusyShare = 0.1
	// busyTolerance is the part of the engines by which the share may be off before engines
	// that have work change their phase: with each engine that comes or goes the share is off
	// by a part of an engine.
	busyTolerance = 0.04
)

// ReconcileScaled is like Reconcile, for a service whose number of engines changes by orders
// of this system. Engines that come or go are not taken for trouble. New engines get their
// phases at once, also while earlier ones change: the engines that are to change have been
// withdrawn when it returns, and their orders are sent in the background.
func (d *Driver) ReconcileScaled(ctx context.Context, service string, engines []fleet.Engine) {
	due := d.plan(func(load func(engine string) fleet.Load) []Change {
		d.settle(engines)
		return d.scaledChanges(service, engines, load)
	})
	for _, c := range due {
		d.calls.Go(func() {
			clock.Sleep(ctx, withdrawLead)
			d.slots <- struct{}{}
			defer func() { <-d.slots }()
			d.order(ctx, c)
		})
	}
}

// Wait waits for the orders that are being sent in the background.
func (d *Driver) Wait() { d.calls.Wait() }

// scaledChanges returns the changes to the share that callers need. Engines that change count
// in their new phases, and those that have announced to any entry that they leave count as gone,
// which may be before the list shows it. d.mu must be held.
func (d *Driver) scaledChanges(service string, listed []fleet.Engine, load func(engine string) fleet.Load) (due []Change) {
	engines := slices.DeleteFunc(slices.Clone(listed), func(e fleet.Engine) bool { return load(e.ID).LeavingEntries > 0 })
	busyChanging := 0
	for i, e := range engines {
		if c, ok := d.changing[e.Incarnation()]; ok {
			engines[i].Phase = c.Phase
			if c.hadWork {
				busyChanging++
			}
		}
	}
	eligible, counts := eligibleEngines(engines)
	if len(eligible) < 2 {
		return nil
	}
	share := d.scaledShare(service, eligible, counts, load)
	decoders := make(map[string]int)
	for _, e := range eligible {
		if e.Phase == fleet.Decode {
			decoders[e.Version]++
		}
	}
	idle := isIdle(load)
	changes := changesPreferring(idle, share, eligible, counts, load)
	busyRoom := max(1, int(maxBusyShare*float64(len(eligible)))) - busyChanging
	tolerated := len(changes) <= int(busyTolerance*float64(len(eligible)))
	for _, c := range changes {
		c.hadWork = !idle(c.Engine)
		needed := c.Phase == fleet.Decode && decoders[c.Engine.Version] == 0
		if !d.mayChange(c) && !(needed && d.settled(c)) || c.hadWork && !needed && (tolerated || busyRoom <= 0) {
			continue
		}
		if due = append(due, c); c.hadWork {
			busyRoom--
		}
	}
	for _, c := range substitutes(eligible, load, d.becomesDecoder) {
		if c.hadWork = !idle(c.Engine); d.mayChange(c) {
			due = append(due, c)
		}
	}
	return due
}

// scaledShare returns the prefill share of a service. d.mu must be held.
func (d *Driver) scaledShare(service string, eligible []fleet.Engine, counts map[fleet.Phase]int, load func(engine string) fleet.Load) float64 {
	share := d.shares[service]
	if share == nil {
		share = &adaptiveShare{floor: d.options.Plan.Share(eligible[0].Slots)}
		d.shares[service] = share
	}
	failing := slices.ContainsFunc(eligible, func(e fleet.Engine) bool {
		l := load(e.ID)
		return l.FailingEntries > 0 || l.MissingEntries > 0
	})
	share.engines = len(eligible) // so that a change of the number is no trouble
	return d.nextShare(service, share, fleetState{engines: len(eligible), prefill: counts[fleet.Prefill], failing: failing})
}

// mayChange reports whether the last order to an engine is long enough ago. d.mu must be held.
func (d *Driver) mayChange(c Change) bool {
	at, ordered := d.lastOrder[c.Engine.Incarnation()]
	return !d.pending[c.Engine.Incarnation()] && (!ordered || time.Since(at) >= orderSettleTime)
}

// settled reports whether the last order to an engine shows in the list. d.mu must be held.
func (d *Driver) settled(c Change) bool {
	_, changing := d.changing[c.Engine.Incarnation()]
	return !changing && !d.pending[c.Engine.Incarnation()]
}

// isIdle returns a function that reports whether an engine has no work, such as a new one.
func isIdle(load func(engine string) fleet.Load) func(fleet.Engine) bool {
	return func(e fleet.Engine) bool {
		l := load(e.ID)
		return l.PromptTokens == 0 && l.Streams == 0
	}
}
