package capacity

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/duty"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

const (
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// listLag is how old the list of servers may be, and settleMargin what is added to it
	// and to the start of a server until an order counts as without effect.
	listLag      = 800 * time.Millisecond
	settleMargin = 1500 * time.Millisecond
	// minPause and maxPause bound the pause after a failed order, which doubles with each
	// failure in a row.
	minPause = 250 * time.Millisecond
	maxPause = 4 * time.Second
	// rateShare is the part of the platform's rate limit that orders use for long, and
	// burstShare that of a second's calls that may be made at once: a plan changes the
	// numbers of all zones. Together they are under half of the limit, since there are other
	// calls, and the previous holder may just have made some.
	rateShare  = 0.25
	burstShare = 0.2
	// listWhileExpecting is the time within which the holder wants a newer list while servers
	// are to come, go or change their phases: those that they replace may cost several times as much.
	listWhileExpecting = 250 * time.Millisecond
	// listWhileReclaimable is the same while there are reclaimable servers, which leave 2 s
	// after the list shows it.
	listWhileReclaimable = 500 * time.Millisecond
	// defaultRate is the number of calls a second that a platform without a limit is taken
	// to accept.
	defaultRate = 50.0
)

// ErrRefused means that the platform has refused an order: it has seen a higher token, or
// it has no such servers.
var ErrRefused = errors.New("order refused")

// Order is the number of servers of a kind that a service is to have in a zone.
type Order struct {
	Service, Zone string
	Kind          Kind
	Servers       int
}

// Matter returns the name under which at most one holder gives such orders.
func (o Order) Matter() string { return "servers/" + o.Service + "/" + o.Zone }

// Service is a service whose number of servers is planned.
type Service struct {
	Name    string
	Scaling route.Scaling
	Class   Class
}

// DriverOptions configures a Driver.
type DriverOptions struct {
	// Permit returns a permit for a call on a matter, and Refused records that a call with a
	// token was refused because of a higher one.
	Permit  func(matter string) (duty.Permit, error)
	Refused func(matter string, token uint64)
	// Send sends an order. The error matches ErrRefused if the platform refused it.
	Send func(ctx context.Context, p duty.Permit, o Order) error
	// Demand returns what callers ask for, by service.
	Demand func() map[string]fleet.DemandRate
	// Rate is the number of calls a second that the platform takes; zero if it isn't known.
	Rate float64
	// Metrics may be nil.
	Metrics tally.Scope
	Clock   clock.Clock
	Log     hclog.Logger
}

// Driver plans the servers of services and orders them while its process holds the duties.
type Driver struct {
	options DriverOptions

	mu sync.Mutex // guards the fields below
	// token is that of the plans and orders below, zero if there are none. holding is set
	// while this process holds the duties with it.
	token    uint64
	holding  bool
	services map[string]*driven
	listed   map[string]Servers
	// changing is set while engines change their phases.
	changing bool
	billing  *billing
	// paidUntil is the instant until which the calls that were made use up the rate.
	paidUntil clock.Instant
	calls     sync.WaitGroup
}

// driven is a service and what is known of its orders.
type driven struct {
	Service
	memory *Memory
	logged Plan
	zones  map[string]*zoneOrders
}

// zoneOrders are the orders of one matter. calling is set during a call.
type zoneOrders struct {
	calling bool
	kinds   map[Kind]*orderState
}

// orderState is what is known of the orders for one kind in a zone.
type orderState struct {
	// taken is the last order that was taken, and known is set if it holds: no newer one
	// may have been taken.
	taken int
	known bool
	// settledAt is when an order was last taken, or the list last showed what was ordered.
	// shown is set if the list did so since the order was taken.
	settledAt clock.Instant
	shown     bool
	// failures counts the failed calls in a row; none is made before pausedUntil.
	failures    int
	pausedUntil clock.Instant
}

// NewDriver returns a driver that has no servers.
func NewDriver(o DriverOptions) *Driver {
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	return &Driver{options: o, services: make(map[string]*driven), listed: make(map[string]Servers), billing: newBilling(o.Metrics)}
}

// Observe replaces the list of servers and the services to plan. changing are the IDs of the
// engines that don't serve because they change their phase.
func (d *Driver) Observe(services []Service, view *fleet.View, changing []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.options.Clock.Now()
	d.changing = len(changing) > 0
	serves := func(e fleet.Engine) bool { return e.WarmingMs <= 0 && !slices.Contains(changing, e.ID) }
	named := make(map[string]bool, len(services))
	for _, s := range services {
		named[s.Name] = true
		held := d.services[s.Name]
		if held == nil {
			held = &driven{memory: NewMemory(), zones: make(map[string]*zoneOrders)}
			d.services[s.Name] = held
		}
		held.Service = s
		d.listed[s.Name] = Count(view.Engines(s.Name), serves)
		d.billing.observe(s, d.listed[s.Name], now)
	}
	for name := range d.services {
		if !named[name] {
			delete(d.services, name)
			delete(d.listed, name)
		}
	}
}

// Run plans and orders until ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	err := clock.Every(ctx, planInterval, d.step)
	d.calls.Wait()
	return err
}

// ListWithin returns the time within which a newer list of servers is wanted.
func (d *Driver) ListWithin() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	within := time.Duration(math.MaxInt64)
	if !d.holding {
		return within // entries get the leader's list
	}
	for name, s := range d.services {
		servers := d.listed[name]
		if d.changing || servers.Leaving.Total().Total() > 0 || s.expecting(servers, d.options.Clock.Now()) {
			return listWhileExpecting
		}
		if servers.Present.Total()[Reclaimable] > 0 {
			within = listWhileReclaimable
		}
	}
	return within
}

// expecting reports whether an order is to show in the list soon.
func (s *driven) expecting(servers Servers, now clock.Instant) bool {
	for zone, z := range s.zones {
		for k, state := range z.kinds {
			if state.known && state.taken != servers.Present[zone][k] && now.Sub(state.settledAt) < settleTime(s.Scaling.Boot) {
				return true
			}
		}
	}
	return false
}

// step makes a plan for each service and sends the orders that are due.
func (d *Driver) step(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.holds() {
		return
	}
	demand := d.options.Demand()
	for name, s := range d.services {
		servers := d.listed[name]
		if servers.Present.Total().Total() == 0 {
			continue // the list may not have been read yet
		}
		now := d.options.Clock.Now()
		o := Observation{Now: now, Scaling: s.Scaling, Class: s.Class, Servers: servers, Ordered: s.ordered(now)}
		if rate, asked := demand[name]; asked {
			o.Demand = &rate
		}
		plan := s.memory.Plan(o)
		d.report(s, plan, servers)
		for _, zone := range plan.Orders.Zones() {
			for _, k := range []Kind{Reclaimable, Lasting} {
				d.order(ctx, s, Order{Service: name, Zone: zone, Kind: k, Servers: plan.Orders[zone][k]}, servers)
			}
		}
	}
}

// holds reports whether this process holds the duties, and begins anew with each token: what
// others have ordered in between isn't known. A lease that is regained in the same term keeps
// what was ordered, since there was no other holder and calls may still be in progress. d.mu
// must be held.
func (d *Driver) holds() bool {
	// Orders of a zone may be fenced; no zone has the empty name.
	permit, err := d.options.Permit(Order{}.Matter())
	d.holding = err == nil
	if err != nil {
		return false
	}
	if permit.Token != d.token {
		d.token = permit.Token
		for _, s := range d.services {
			s.memory, s.zones = NewMemory(), make(map[string]*zoneOrders)
		}
	}
	return true
}

// ordered returns the orders for reclaimable servers that were taken and still hold.
func (s *driven) ordered(now clock.Instant) map[string]Ordered {
	out := make(map[string]Ordered, len(s.zones))
	for zone, z := range s.zones {
		if state := z.kinds[Reclaimable]; state != nil && state.known {
			out[zone] = Ordered{Servers: state.taken, Starting: now.Sub(state.settledAt) < settleTime(s.Scaling.Boot)}
		}
	}
	return out
}

// settleTime returns how long an order may show no effect in the list.
func settleTime(boot time.Duration) time.Duration { return boot + listLag + settleMargin }

// state returns what is known of the orders of a kind in a zone. At first, the listed
// servers are taken as ordered.
func (s *driven) state(o Order, listed int, now clock.Instant) (*zoneOrders, *orderState) {
	z := s.zones[o.Zone]
	if z == nil {
		z = &zoneOrders{kinds: make(map[Kind]*orderState)}
		s.zones[o.Zone] = z
	}
	if z.kinds[o.Kind] == nil {
		z.kinds[o.Kind] = &orderState{taken: listed, known: true, settledAt: now, shown: true}
	}
	return z, z.kinds[o.Kind]
}

// order sends an order unless it is known to hold, or none may be sent now. d.mu must be
// held.
func (d *Driver) order(ctx context.Context, s *driven, o Order, servers Servers) {
	now := d.options.Clock.Now()
	listed := servers.Present[o.Zone][o.Kind]
	zone, state := s.state(o, listed, now)
	if state.known && state.taken == listed {
		state.settledAt, state.shown = now, true
	}
	if !state.due(o, listed, now, s.Scaling.Boot) || zone.calling || now.Before(state.pausedUntil) || !d.mayCall(now) {
		return
	}
	if o.Kind == Reclaimable && listed <= o.Servers && s.memory.Unavailable(o.Zone, now) {
		return // the order would be refused, or nothing is to change there
	}
	permit, err := d.options.Permit(o.Matter())
	if err != nil {
		return
	}
	d.paidUntil = max(now, d.paidUntil).Add(time.Duration(float64(time.Second) / (rateShare * d.rate())))
	zone.calling = true
	d.calls.Go(func() {
		err := d.options.Send(ctx, permit, o)
		d.mu.Lock()
		defer d.mu.Unlock()
		zone.calling = false
		d.sent(s, state, o, permit, listed, err)
	})
}

func (d *Driver) rate() float64 {
	if d.options.Rate > 0 {
		return d.options.Rate
	}
	return defaultRate
}

// mayCall reports whether the rate allows a call now. d.mu must be held.
func (d *Driver) mayCall(now clock.Instant) bool {
	burst := burstShare / rateShare * float64(time.Second)
	return d.paidUntil.Sub(now) <= time.Duration(burst)
}

// due reports whether an order must be sent: another one was taken last, or it shows no
// effect. If it did show, an unanswered earlier order has taken effect since, or servers
// have failed.
func (s *orderState) due(o Order, listed int, now clock.Instant, boot time.Duration) bool {
	if !s.known || s.taken != o.Servers {
		return true
	}
	wait := settleTime(boot)
	if s.shown {
		wait = listLag
	}
	return listed != o.Servers && now.Sub(s.settledAt) >= wait
}

// sent handles the outcome of an order. d.mu must be held.
func (d *Driver) sent(s *driven, state *orderState, o Order, p duty.Permit, listed int, err error) {
	now := d.options.Clock.Now()
	log := d.options.Log.With("service", o.Service, "zone", o.Zone, "kind", o.Kind.String(), "servers", o.Servers, "listed", listed, "token", p.Token)
	switch {
	case err == nil:
		state.taken, state.known, state.settledAt, state.shown, state.failures = o.Servers, true, now, false, 0
		if o.Kind == Reclaimable {
			s.memory.Accepted(o.Zone)
		}
		log.Info("servers ordered", "reason", s.logged.Reason)
	case errors.Is(err, ErrRefused) && o.Kind == Reclaimable && o.Servers > listed:
		state.known = false
		pause := s.memory.Refused(o.Zone, now)
		log.Info("no reclaimable servers available", "again_after_ms", pause.Milliseconds())
	case errors.Is(err, ErrRefused):
		d.options.Refused(o.Matter(), p.Token)
	default:
		// The order may still take effect.
		state.known = false
		state.pausedUntil = now.Add(min(maxPause, minPause<<min(state.failures, 10)))
		state.failures++
		log.Warn("order for servers failed", "failures", state.failures, "error", err)
	}
}
