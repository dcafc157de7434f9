package reconcile

import (
	"context"
	"maps"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/protocol/order"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// maxConcurrentLoads is the maximum number of loads that share the weight store's
// rate.
const maxConcurrentLoads = 8

// missingLoad is a load of weights that an engine still needs.
type missingLoad struct {
	view   *modelView
	engine string
	wanted orderbook.Wanted
}

// planLoads places orders to load weights. Each outstanding load reserves a share
// of the weight store's rate until it is settled, so that the total never exceeds
// the rate, even across leader changes. The model that uses the least of the rate
// is served first.
func (l *leadership) planLoads(ctx context.Context, orders store.OrdersView) {
	limit := orders.Settings.System.WeightStoreRate
	missing := l.missingLoads(orders)
	if limit <= 0 || len(missing) == 0 {
		return
	}
	share := limit / int64(min(maxConcurrentLoads, len(missing)+outstandingLoads(orders.Book)))
	spent := orders.Book.ReservedRate()
	used := rateByModel(orders.Book)
	for spent+share <= limit && len(missing) > 0 {
		next := l.leastServed(missing, used)
		load := missing[next]
		missing = slices.Delete(missing, next, next+1)
		load.wanted.Rate = share
		if l.place(ctx, load.view, load.engine, load.wanted, "weights wanted by settings") != orderbook.Accepted {
			continue
		}
		spent += share
		used[load.view.name] += share
		l.lastLoadAt[load.view.name] = l.options.Clock.Now()
	}
}

// missingLoads returns at most one load for each engine.
func (l *leadership) missingLoads(orders store.OrdersView) []missingLoad {
	var missing []missingLoad
	for _, name := range slices.Sorted(maps.Keys(orders.Settings.Models)) {
		if len(orders.Settings.Models[name].Weights) == 0 {
			continue
		}
		view := l.viewModel(orders, name)
		for _, engine := range view.engines {
			if load, ok := l.missingLoad(view, engine.Name); ok {
				missing = append(missing, load)
			}
		}
	}
	return missing
}

func (l *leadership) missingLoad(v *modelView, engine string) (missingLoad, bool) {
	if !v.canOrder(engine) || !l.failureBackoffOver(v, engine) {
		return missingLoad{}, false
	}
	reading := v.readings[engine]
	for _, weights := range v.settings.Weights {
		wanted := orderbook.Wanted{Kind: orderbook.Kind(weights.Kind), Name: weights.Name, Version: weights.Version}
		if order.Loaded(wanted, &reading) {
			continue
		}
		if wanted.Interrupts() && (v.orders.Book.HasInterruptingOrder(v.name) || !v.canSpare(engine)) {
			continue
		}
		return missingLoad{view: v, engine: engine, wanted: wanted}, true
	}
	return missingLoad{}, false
}

// leastServed returns the index of the load whose model uses the least of the
// rate; ties go to the model whose last load was placed longest ago.
func (l *leadership) leastServed(missing []missingLoad, used map[string]int64) int {
	best := 0
	for i := range missing {
		a, b := missing[i].view.name, missing[best].view.name
		if used[a] < used[b] || used[a] == used[b] && l.lastLoadAt[a] < l.lastLoadAt[b] {
			best = i
		}
	}
	return best
}

func outstandingLoads(b *orderbook.Book) int {
	loads := 0
	for _, o := range b.Outstanding {
		if o.Wanted.Rate > 0 {
			loads++
		}
	}
	return loads
}

func rateByModel(b *orderbook.Book) map[string]int64 {
	used := make(map[string]int64)
	for _, o := range b.Outstanding {
		used[o.Model] += o.Wanted.Rate
	}
	return used
}
