package phaseplan

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// orderSettleTime is how long an order may take to show in the list of
	// engines: the engine finishes its running work and changes phase, and the
	// list lags.
	orderSettleTime = 10 * time.Second
	// clockRateMargin is added to the quiet period of a new holder of authority
	// to allow for clocks that run at different rates.
	clockRateMargin = 300 * time.Millisecond
)

// Engines sends orders to engines.
type Engines interface {
	// Accepted returns how many orders an engine has accepted and whether it is
	// still executing one.
	Accepted(ctx context.Context, e fleet.Engine) (count int64, busy bool, err error)
	// Order sends an order that takes effect only if the engine has accepted
	// exactly expected orders so far. fenced is set if the engine has seen a
	// higher token.
	Order(ctx context.Context, c Change, token uint64, expected int64) (fenced bool, err error)
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	Plan    Plan
	Engines Engines
	// Authority returns the term in which this process may give orders now. No
	// two processes ever have the same term.
	Authority func() (term uint64, ok bool)
	// QuietPeriod is how long a new holder of authority waits before its first
	// order, because the lease of the previous holder may last that long.
	QuietPeriod time.Duration
	Load        func() map[string]fleet.Load
	Log         hclog.Logger
}

// Driver executes a plan while its process has authority. The term is the
// fencing token of its orders.
type Driver struct {
	options DriverOptions

	mu sync.Mutex // guards the fields below
	// term is the latest term with authority, and since when it was first seen.
	term  uint64
	since time.Time
	// fenced is the newest term in which an engine rejected an order as fenced.
	fenced uint64
	// lastOrder is when each incarnation was last sent an order.
	lastOrder map[string]time.Time
}

func NewDriver(o DriverOptions) *Driver {
	return &Driver{options: o, lastOrder: make(map[string]time.Time)}
}

// mayOrder returns the fencing token; ok is false if this process may not give
// orders now.
func (d *Driver) mayOrder() (token uint64, ok bool) {
	term, ok := d.options.Authority()
	if !ok || term == d.fenced {
		return 0, false
	}
	if term != d.term {
		d.term, d.since = term, time.Now()
		d.options.Log.Info("authority over engines gained", "token", term, "orders_after", d.options.QuietPeriod+clockRateMargin)
	}
	return term, time.Since(d.since) >= d.options.QuietPeriod+clockRateMargin
}

// Reconcile compares a service's engines with the plan and sends the missing
// orders, one after the other. It stops at an engine whose last order may not
// show in the list yet.
func (d *Driver) Reconcile(ctx context.Context, engines []fleet.Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.mayOrder(); !ok {
		return
	}
	loads := d.options.Load()
	for _, c := range d.options.Plan.Changes(engines, func(id string) fleet.Load { return loads[id] }) {
		if at, ok := d.lastOrder[c.Engine.Incarnation()]; ok && time.Since(at) < orderSettleTime {
			return // the last order may not show in the list yet
		}
		d.order(ctx, c)
	}
}

func (d *Driver) order(ctx context.Context, c Change) {
	count, busy, err := d.options.Engines.Accepted(ctx, c.Engine)
	if err != nil || busy {
		d.options.Log.Info("engine not ordered", "engine", c.Engine.ID, "phase", c.Phase.String(), "busy", busy, "error", err)
		return
	}
	// The query took time; check the authority again right before the order.
	token, ok := d.mayOrder()
	if !ok {
		return
	}
	d.lastOrder[c.Engine.Incarnation()] = time.Now()
	fenced, err := d.options.Engines.Order(ctx, c, token, count)
	if fenced {
		d.fenced = token
	}
	d.options.Log.Info("engine ordered", "engine", c.Engine.ID, "from", c.Engine.Phase.String(), "phase", c.Phase.String(), "token", token, "expected", count, "fenced", fenced, "error", err)
}
