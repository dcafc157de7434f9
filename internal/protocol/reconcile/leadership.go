package reconcile

import (
	"context"
	"sync"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// leadership is one term in which this replica has authority.
type leadership struct {
	*Reconciler

	term         uint64
	startedAt    clock.Instant
	observations *observations
	// driverCtx is cancelled at the end of the leadership; the drivers and the
	// reads of engine states run with it.
	driverCtx context.Context
	cancel    context.CancelFunc
	drivers   sync.WaitGroup

	// lastLoadAt is when a load was last placed for each model. It is used only
	// by runRound and needs no lock.
	lastLoadAt map[string]clock.Instant

	mu sync.Mutex // guards the fields below
	// driven holds the engines whose outstanding order has a running driver.
	driven map[string]bool
	// lastSettledAt is when the latest order to each engine was settled.
	lastSettledAt map[string]clock.Instant
	// placed holds the IDs of the outstanding orders that were placed in this
	// leadership.
	placed map[string]bool
}

// stop stops the drivers and waits for them. It does nothing on a nil leadership.
func (l *leadership) stop() {
	if l == nil {
		return
	}
	l.cancel()
	l.drivers.Wait()
}

// runRound runs one round of the reconcile loop: it starts the drivers of
// outstanding orders, refreshes the observed engine states, hands over authority
// and places new orders.
func (l *leadership) runRound(ctx context.Context) {
	orders := l.options.Store.Orders()
	for _, o := range orders.Book.Outstanding {
		l.startDriver(o)
	}
	l.observations.refresh(l.driverCtx, orders.Settings)
	l.handOver(ctx, orders)
	l.planRoles(ctx, orders)
	l.planLoads(ctx, orders)
}

// startDriver starts a driver for an outstanding order unless the engine already
// has one.
func (l *leadership) startDriver(o orderbook.Order) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.driven[o.Engine] {
		return
	}
	l.driven[o.Engine] = true
	l.drivers.Go(func() {
		d := newDriver(l, o)
		d.run(l.driverCtx)
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.driven, o.Engine)
	})
}

// handOver transfers the authority over engines to the system that the settings
// name. Engines with an outstanding order are skipped; a later round tries again
// once the order is settled.
func (l *leadership) handOver(ctx context.Context, orders store.OrdersView) {
	for _, model := range orders.Settings.Models {
		for name, engine := range model.Engines {
			if l.canHandOver(orders, name, engine) {
				l.commitHandOver(ctx, name, engine.Authority)
			}
		}
	}
}

func (l *leadership) canHandOver(orders store.OrdersView, name string, engine settings.Engine) bool {
	if orders.Book.Holders[name].Side == engine.Authority {
		return false
	}
	if _, busy := orders.Book.Outstanding[name]; busy {
		return false
	}
	if l.options.Clock.Now().Before(l.safeToHandOverAt(name)) {
		return false
	}
	if engine.Authority == settings.AuthorityOldSystem {
		return true
	}
	// This system takes over only when the engine is not executing an order of
	// the old system.
	reading, ok := l.observations.fresh(name)
	return ok && !reading.Changing
}

// safeToHandOverAt returns the instant from which no copy of a settled order to
// the engine can still arrive.
func (l *leadership) safeToHandOverAt(engine string) clock.Instant {
	settled, _ := l.settledAt(engine)
	return max(settled, l.startedAt).Add(l.options.Limits.MaxDeliveryDelay)
}

func (l *leadership) commitHandOver(ctx context.Context, engine string, to settings.OrderAuthority) {
	reading, _ := l.observations.fresh(engine)
	command := orderbook.HandOver{Engine: engine, To: to, SeenFence: reading.Fence}
	result, err := l.commit(ctx, store.OrderCommand{HandOver: &command})
	if err != nil {
		l.options.Logger.Warn("authority handover failed", "engine", engine, "to", to, "error", err)
		return
	}
	l.options.Logger.Info("authority handed over", "engine", engine, "to", to, "verdict", result.Verdict)
}
