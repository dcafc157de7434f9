package phaseplan

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

const (
	// orderSettleTime is how long an order may take to show in the list of
	// engines: the engine finishes its running work and changes phase, and the
	// list lags.
	orderSettleTime = 10 * time.Second
	// withdrawLead is how long before its order an engine is withdrawn: the time
	// until all entries have stopped sending to it. An engine refuses requests
	// until it has changed its phase, and a prompt whose decode engine refuses
	// has been prefilled in vain.
	withdrawLead = 300 * time.Millisecond
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
	// Withdraw replaces the set of engines that get no requests although the
	// list shows them as ready, by ID.
	Withdraw func(engines []string)
	// Pace returns the recent streams of all entries, by service.
	Pace func() map[string]fleet.Pace
	Log  hclog.Logger
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
	// lastOrder is when each incarnation was last sent an order, within orderSettleTime.
	lastOrder map[string]time.Time
	// changing holds the engines that were ordered to change their phase and are
	// not listed in the new one yet, by incarnation.
	changing map[string]Change
	// shares holds the prefill shares by service, while this process has
	// authority.
	shares map[string]*adaptiveShare
	// pending holds the incarnations whose order is being sent.
	pending map[string]bool
	// calls are the orders that are being sent in the background; each uses one of slots.
	calls sync.WaitGroup
	slots chan struct{}
}

// NewDriver returns a driver that has given no orders.
func NewDriver(o DriverOptions) *Driver {
	return &Driver{
		options: o, lastOrder: make(map[string]time.Time), changing: make(map[string]Change),
		shares: make(map[string]*adaptiveShare), pending: make(map[string]bool),
		slots: make(chan struct{}, maxConcurrentOrders),
	}
}

// mayOrder returns the fencing token; ok is false if this process may not give
// orders now. d.mu must be held.
func (d *Driver) mayOrder() (token uint64, ok bool) {
	term, ok := d.options.Authority()
	if !ok || term == d.fenced {
		return 0, false
	}
	if term != d.term {
		d.term, d.since = term, time.Now()
		clear(d.shares)
		clear(d.changing)
		d.options.Log.Info("authority over engines gained", "token", term, "orders_after", d.options.QuietPeriod+clockRateMargin)
	}
	return term, time.Since(d.since) >= d.options.QuietPeriod+clockRateMargin
}

// Reconcile compares a service's engines with the plan and sends the missing
// orders, one after the other. It stops at an engine whose last order may not
// show in the list yet.
func (d *Driver) Reconcile(ctx context.Context, service string, engines []fleet.Engine) {
	due := d.plan(func(load func(engine string) fleet.Load) []Change {
		due := d.due(d.changes(service, engines, load))
		d.settle(engines)
		return due
	})
	if len(due) == 0 {
		return
	}
	clock.Sleep(ctx, withdrawLead)
	for _, c := range due {
		d.order(ctx, c)
	}
}

// plan withdraws the engines that are to change, as decide returns them with d.mu held,
// and returns them. Without authority there are none.
func (d *Driver) plan(decide func(load func(engine string) fleet.Load) []Change) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.mayOrder(); !ok {
		d.options.Withdraw(nil)
		return nil
	}
	loads := d.options.Load()
	due := decide(func(id string) fleet.Load { return loads[id] })
	for _, c := range due {
		d.changing[c.Engine.Incarnation()] = c
		d.pending[c.Engine.Incarnation()] = true
	}
	d.withdraw()
	return due
}

// due returns the changes up to the first engine whose last order may not show
// in the list yet. d.mu must be held.
func (d *Driver) due(changes []Change) []Change {
	for i, c := range changes {
		if at, ok := d.lastOrder[c.Engine.Incarnation()]; ok && time.Since(at) < orderSettleTime {
			return changes[:i]
		}
	}
	return changes
}

// settle forgets the changes of listed engines that are in their new phase, and
// those that should have shown by now, with the orders for them. d.mu must be held.
func (d *Driver) settle(engines []fleet.Engine) {
	for _, e := range engines {
		if c, ok := d.changing[e.Incarnation()]; ok && c.Phase == e.Phase {
			delete(d.changing, e.Incarnation())
		}
	}
	for incarnation := range d.changing {
		if !d.pending[incarnation] && time.Since(d.lastOrder[incarnation]) >= orderSettleTime {
			delete(d.changing, incarnation)
		}
	}
	maps.DeleteFunc(d.lastOrder, func(_ string, at time.Time) bool { return time.Since(at) >= orderSettleTime })
}

// withdraw publishes the engines that are changing. d.mu must be held.
func (d *Driver) withdraw() {
	var out []string
	for _, c := range d.changing {
		out = append(out, c.Engine.ID)
	}
	slices.Sort(out)
	d.options.Withdraw(out)
}

// changes returns the changes to the share that callers need. d.mu must be held.
func (d *Driver) changes(service string, engines []fleet.Engine, load func(engine string) fleet.Load) []Change {
	eligible, counts := eligibleEngines(engines)
	if len(eligible) < 2 {
		return nil
	}
	share := d.shares[service]
	if share == nil {
		share = &adaptiveShare{floor: d.options.Plan.Share(eligible[0].Slots)}
		d.shares[service] = share
	}
	state := fleetState{engines: len(eligible), prefill: counts[fleet.Prefill], failing: anyFailing(engines, load)}
	next := d.nextShare(service, share, state)
	out := changesTo(next, eligible, counts, load)
	return append(out, substitutes(eligible, load, d.becomesDecoder)...)
}

// nextShare returns the share to plan with and logs a change. d.mu must be held.
func (d *Driver) nextShare(service string, share *adaptiveShare, state fleetState) float64 {
	before, pace := share.share, d.options.Pace()[service]
	next := share.next(time.Now(), state, pace)
	if next != before {
		d.options.Log.Info("prefill share changed", "service", service, "share", next, "before", before,
			"streams", pace.Ended, "tight", pace.Tight, "late", pace.Late, "engines", state.engines)
	}
	return next
}

// becomesDecoder reports whether an engine has been ordered to decode and isn't listed so
// yet. d.mu must be held.
func (d *Driver) becomesDecoder(e fleet.Engine) bool {
	c, ok := d.changing[e.Incarnation()]
	return ok && c.Phase == fleet.Decode
}

// anyFailing reports whether an engine fails requests, is missing or leaves.
func anyFailing(engines []fleet.Engine, load func(engine string) fleet.Load) bool {
	return slices.ContainsFunc(engines, func(e fleet.Engine) bool {
		l := load(e.ID)
		return e.Leaving || l.FailingEntries > 0 || l.MissingEntries > 0 || l.LeavingEntries > 0
	})
}

// order sends one order. An engine that can't have accepted it gets requests again.
func (d *Driver) order(ctx context.Context, c Change) {
	accepted := d.send(ctx, c)
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, c.Engine.Incarnation())
	if !accepted {
		delete(d.changing, c.Engine.Incarnation())
	}
	d.withdraw()
}

// send sends one order and reports whether the engine may have accepted it.
func (d *Driver) send(ctx context.Context, c Change) bool {
	count, busy, err := d.options.Engines.Accepted(ctx, c.Engine)
	if err != nil || busy {
		d.options.Log.Info("engine not ordered", "engine", c.Engine.ID, "phase", c.Phase.String(), "busy", busy, "error", err)
		return false
	}
	// The query took time; check the authority again right before the order.
	d.mu.Lock()
	token, ok := d.mayOrder()
	if ok {
		d.lastOrder[c.Engine.Incarnation()] = time.Now()
	}
	d.mu.Unlock()
	if !ok {
		return false
	}
	fenced, err := d.options.Engines.Order(ctx, c, token, count)
	if fenced {
		d.mu.Lock()
		d.fenced = max(d.fenced, token)
		d.mu.Unlock()
	}
	d.options.Log.Info("engine ordered", "engine", c.Engine.ID, "from", c.Engine.Phase.String(), "phase", c.Phase.String(), "token", token, "expected", count, "fenced", fenced, "error", err)
	return !fenced
}
