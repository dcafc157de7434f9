package reconcile

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// failureBackoff is how long an engine gets no new order after an order to it
// failed or was cancelled.
const failureBackoff = 30 * time.Second

// planRoles places at most one role change per model, and none for a model with an
// outstanding order that interrupts an engine's work.
func (l *leadership) planRoles(ctx context.Context, orders store.OrdersView) {
	for _, name := range slices.Sorted(maps.Keys(orders.Settings.Models)) {
		if orders.Book.HasInterruptingOrder(name) {
			continue
		}
		view := l.viewModel(orders, name)
		if change, ok := l.nextRoleChange(view); ok {
			wanted := orderbook.Wanted{Kind: orderbook.ChangeRole, Role: change.Role}
			l.place(ctx, view, change.Engine, wanted, change.Reason)
		}
	}
}

// modelView is the leader's view of one model during one round.
type modelView struct {
	name     string
	orders   store.OrdersView
	settings settings.Model
	// readings holds the fresh engine states by engine name.
	readings map[string]backend.EngineState
	// engines holds all engines of the model, sorted by name.
	engines []roleplan.Engine
}

func (l *leadership) viewModel(orders store.OrdersView, name string) *modelView {
	model := orders.Settings.Models[name]
	v := &modelView{name: name, orders: orders, settings: model, readings: make(map[string]backend.EngineState)}
	for _, engine := range slices.Sorted(maps.Keys(model.Engines)) {
		reading, since, ok := l.observations.freshWithRoleSince(engine)
		if ok {
			v.readings[engine] = reading
		}
		_, busy := orders.Book.Outstanding[engine]
		v.engines = append(v.engines, roleplan.Engine{
			Name:      engine,
			Role:      reading.Role,
			Available: v.available(engine),
			Changing:  busy || reading.Changing,
			Since:     since,
		})
	}
	return v
}

// available reports whether the engine has a fresh state, has no order in progress
// and is not draining.
func (v *modelView) available(engine string) bool {
	reading, fresh := v.readings[engine]
	_, busy := v.orders.Book.Outstanding[engine]
	return fresh && !busy && !reading.Changing && !reading.Draining && !v.settings.Engines[engine].Drain
}

// nextRoleChange returns the next role change. Roles pinned by the settings take
// precedence over planned ones.
func (l *leadership) nextRoleChange(v *modelView) (roleplan.RoleChange, bool) {
	for _, change := range v.pinnedRoleChanges() {
		if l.canChangeRole(v, change) {
			return change, true
		}
	}
	if l.options.Planner == nil {
		return roleplan.RoleChange{}, false
	}
	now := l.options.Clock.Now()
	demand := l.options.Demand.Demand(now, v.name)
	for _, change := range l.options.Planner.Plan(now, v.settings, demand, v.engines) {
		if v.settings.Engines[change.Engine].Role == "" && l.canChangeRole(v, change) {
			return change, true
		}
	}
	return roleplan.RoleChange{}, false
}

func (v *modelView) pinnedRoleChanges() []roleplan.RoleChange {
	var changes []roleplan.RoleChange
	for _, engine := range v.engines {
		if role := v.settings.Engines[engine.Name].Role; role != "" {
			changes = append(changes, roleplan.RoleChange{Engine: engine.Name, Role: role, Reason: "pinned by settings"})
		}
	}
	return changes
}

// canChangeRole reports whether a role change may be ordered now.
func (l *leadership) canChangeRole(v *modelView, change roleplan.RoleChange) bool {
	reading, fresh := v.readings[change.Engine]
	return fresh && reading.Role != change.Role && v.canOrder(change.Engine) && v.canSpare(change.Engine) && l.failureBackoffOver(v, change.Engine)
}

// canOrder reports whether this system has authority over the engine and the
// engine is available for an order.
func (v *modelView) canOrder(engine string) bool {
	holder := v.orders.Book.Holders[engine].Side
	wanted := v.settings.Engines[engine].Authority
	return v.available(engine) && holder == settings.AuthorityLagoonshift && wanted == settings.AuthorityLagoonshift
}

// canSpare reports whether enough available engines of the same role remain
// without the engine.
func (v *modelView) canSpare(engine string) bool {
	least := 0
	role := v.readings[engine].Role
	switch role {
	case settings.RolePrefill:
		least = v.settings.MinPrefill
	case settings.RoleDecode:
		least = v.settings.MinDecode
	}
	remaining := 0
	for _, other := range v.engines {
		if other.Name != engine && other.Available && other.Role == role {
			remaining++
		}
	}
	return remaining >= least
}

// failureBackoffOver reports whether the engine's last order neither failed nor
// was cancelled, or failureBackoff has passed since. If this leader did not settle
// that order, the time counts from the start of the leadership.
func (l *leadership) failureBackoffOver(v *modelView, engine string) bool {
	history := v.orders.Book.History[engine]
	if len(history) == 0 {
		return true
	}
	switch history[len(history)-1].Outcome {
	case orderbook.Failed, orderbook.Cancelled:
		settled, ok := l.settledAt(engine)
		since := l.startedAt
		if ok {
			since = settled
		}
		return l.options.Clock.Now().Sub(since) >= failureBackoff
	}
	return true
}

// place commits an order for the engine.
func (l *leadership) place(ctx context.Context, v *modelView, engine string, wanted orderbook.Wanted, reason string) orderbook.Verdict {
	o := orderbook.Order{
		ID:          l.options.NewID(),
		Engine:      engine,
		Model:       v.name,
		Wanted:      wanted,
		Incarnation: v.readings[engine].Incarnation,
		Reason:      reason,
		AtUnixMilli: l.options.Clock.Wall().UnixMilli(),
	}
	command := orderbook.Place{Order: o, Version: v.orders.Version, RateLimit: v.orders.Settings.System.WeightStoreRate}
	l.recordPlaced(o.ID)
	result, err := l.commit(ctx, store.OrderCommand{Place: &command})
	if err != nil {
		// A later round finds the order in the book if it was committed.
		l.options.Logger.Warn("placing order failed; it may have been committed", "engine", engine, "error", err)
		return ""
	}
	l.options.Logger.Info("order placed", "order", o.ID, "engine", engine, "wanted", wanted, "reason", reason, "verdict", result.Verdict)
	return result.Verdict
}

// recordPlaced records that this leadership chose the order's ID. No other replica
// can send the order while this leadership lasts.
func (l *leadership) recordPlaced(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.placed[id] = true
}

func (l *leadership) placedInThisTerm(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.placed[id]
}

// recordSettled records when an order to the engine was settled.
func (l *leadership) recordSettled(engine, id string, now clock.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSettledAt[engine] = now
	delete(l.placed, id)
}

func (l *leadership) settledAt(engine string) (clock.Instant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at, ok := l.lastSettledAt[engine]
	return at, ok
}
