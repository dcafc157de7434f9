package phaseplan

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// orderSettleTime is how long an order may take to show in the list: the
	// change of phase, its running work and the list's lag.
	orderSettleTime = 10 * time.Second
	// clockRateMargin is added to the silence that a new holder of authority
	// keeps, against clocks that run at different rates.
	clockRateMargin = 300 * time.Millisecond
)

// Engines orders engines about.
type Engines interface {
	// Accepted returns how many orders an engine has accepted and whether one
	// is being carried out.
	Accepted(ctx context.Context, e fleet.Engine) (count int64, busy bool, err error)
	// Order sends an order that takes effect only while the engine has
	// accepted expected orders. Fenced is set if the engine knows a higher
	// token.
	Order(ctx context.Context, c Change, token uint64, expected int64) (fenced bool, err error)
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	Plan    Plan
	Engines Engines
	// Authority returns the term in which this process may give orders now;
	// no other process ever has the same.
	Authority func() (term uint64, ok bool)
	// Silence is how long a new holder of authority gives no orders.
	Silence time.Duration
	Load    func() map[string]fleet.Load
	Log     hclog.Logger
}

// Driver carries a plan out while its process has authority. The term is the
// fencing token of its orders.
type Driver struct {
	options DriverOptions

	mu sync.Mutex // guards the fields below
	// term is the term in which authority was first held at since.
	term  uint64
	since time.Time
	// fenced is the newest term in which an engine refused this process.
	fenced uint64
	// lastOrder tells when an incarnation was last sent an order.
	lastOrder map[string]time.Time
}

// NewDriver returns a driver.
func NewDriver(o DriverOptions) *Driver {
	return &Driver{options: o, lastOrder: make(map[string]time.Time)}
}

// mayOrder returns the token if this process may give orders now.
func (d *Driver) mayOrder() (token uint64, ok bool) {
	term, ok := d.options.Authority()
	if !ok || term == d.fenced {
		return 0, false
	}
	if term != d.term {
		d.term, d.since = term, time.Now()
		d.options.Log.Info("authority over engines gained", "token", term, "orders_after", d.options.Silence+clockRateMargin)
	}
	return term, time.Since(d.since) >= d.options.Silence+clockRateMargin
}

// Round compares a service's engines with the plan and gives the orders that
// are missing, one after the other.
func (d *Driver) Round(ctx context.Context, engines []fleet.Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.mayOrder(); !ok {
		return
	}
	loads := d.options.Load()
	for _, c := range d.options.Plan.Changes(engines, func(id string) fleet.Load { return loads[id] }) {
		if at, ok := d.lastOrder[c.Engine.Incarnation()]; ok && time.Since(at) < orderSettleTime {
			return // the list does not show it yet
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
	// Asking took time; authority is checked right before the order.
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
