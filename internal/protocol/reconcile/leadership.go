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
	// driverCtx ends with the leadership; the drivers run under it.
	driverCtx context.Context
	cancel    context.CancelFunc
	drivers   sync.WaitGroup

	// lastLoadAt is when each model last got a load. Only step uses it.
	lastLoadAt map[string]clock.Instant

	mu     sync.Mutex // guards the fields below
	driven map[string]bool
	// lastSettledAt is when the newest order of an engine was settled.
	lastSettledAt map[string]clock.Instant
	// placed holds the IDs of outstanding orders placed in this leadership.
	placed map[string]bool
}

// stop stops the drivers. It is safe on a nil leadership.
func (l *leadership) stop() {
	if l == nil {
		return
	}
	l.cancel()
	l.drivers.Wait()
}

// runRound runs one round: it takes outstanding orders forward, hands over
// authority and places new orders.
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

// startDriver starts the driver of an outstanding order unless it runs.
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

// handOver passes the authority over engines to the side that the settings
// name, except over engines with an outstanding order: the next round tries
// again when it is settled.
func (l *leadership) handOver(ctx context.Context, orders store.Orders) {
	for _, model := range orders.Settings.Models {
		for name, engine := range model.Engines {
			if l.canHandOver(orders, name, engine) {
				l.commitHandOver(ctx, name, engine.Authority)
			}
		}
	}
}

func (l *leadership) canHandOver(orders store.Orders, name string, engine settings.Engine) bool {
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
	// Taking over waits until the engine carries out no order of the old
	// system.
	reading, ok := l.observations.fresh(name)
	return ok && !reading.Changing
}

// safeToHandOverAt returns the instant from which no copy of a settled order to the
// engine can arrive.
func (l *leadership) safeToHandOverAt(engine string) clock.Instant {
	settled, _ := l.settledAt(engine)
	return max(settled, l.startedAt).Add(l.options.Limits.Reach)
}

func (l *leadership) commitHandOver(ctx context.Context, engine string, to settings.OrderAuthority) {
	reading, _ := l.observations.fresh(engine)
	command := orderbook.HandOver{Engine: engine, To: to, SeenFence: reading.Fence}
	result, err := l.commit(ctx, store.OrderCommand{HandOver: &command})
	if err != nil {
		l.options.Logger.Warn("authority not handed over", "engine", engine, "to", to, "error", err)
		return
	}
	l.options.Logger.Info("authority handed over", "engine", engine, "to", to, "verdict", result.Verdict)
}
