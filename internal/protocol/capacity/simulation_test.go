package capacity_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/duty"
	"github.com/lagoonshift/lagoonshift/internal/protocol/capacity"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

const (
	bootTime     = 4 * time.Second
	listInterval = time.Second
	listAge      = 800 * time.Millisecond
	drainTime    = 2 * time.Second
	serviceName  = "model"
)

// scaling is that of a deployment of four zones.
var scaling = route.Scaling{
	Min: 1, Max: 30, Boot: bootTime, ReclaimablePrice: 0.18,
	ZonePrices: map[string]float64{"z1": 0.85, "z2": 1.2, "z3": 1.0, "z4": 1.1},
}

var zoneNames = []string{"z1", "z2", "z3", "z4"}

// server is one of the simulated platform. It serves from ready until leaves, which is zero
// unless it leaves.
type server struct {
	zone                   string
	kind                   capacity.Kind
	ready, drained, leaves time.Time
}

// call is one that the platform got.
type call struct {
	capacity.Order
	token uint64
	at    time.Time
	// fenced is set if it was refused because of a higher token.
	fenced bool
}

// cloud is a platform with servers of one service. All times are those of the bubble.
type cloud struct {
	mu      sync.Mutex
	servers []*server
	calls   []call
	// inFlight counts the calls of a holder on a matter that are under way, and overlaps those
	// that began alongside another one.
	inFlight map[string]int
	overlaps int
	// closedUntil is until when no reclaimable servers are available, by zone.
	closedUntil map[string]time.Time
	// fail returns the outcome of an order, if it isn't to be taken at once.
	fail func(n int, o capacity.Order) (handled bool, err error)
	// delay is how long a call takes.
	delay time.Duration
	// tokens holds the highest token seen by matter. Calls with lower ones are refused.
	tokens map[string]uint64
}

func newCloud(lasting int) *cloud {
	c := &cloud{inFlight: make(map[string]int), closedUntil: make(map[string]time.Time), tokens: make(map[string]uint64)}
	for i := range lasting {
		c.servers = append(c.servers, &server{zone: zoneNames[i%len(zoneNames)], kind: capacity.Lasting, ready: time.Now()})
	}
	return c
}

// send takes an order.
func (c *cloud) send(_ context.Context, p duty.Permit, o capacity.Order) error {
	c.mu.Lock()
	c.calls = append(c.calls, call{Order: o, token: p.Token, at: time.Now()})
	n := len(c.calls)
	holding := fmt.Sprint(o.Matter(), p.Token)
	if c.inFlight[holding]++; c.inFlight[holding] > 1 {
		c.overlaps++
	}
	delay := c.delay
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight[holding]--
	if p.Token < c.tokens[o.Matter()] {
		c.calls[n-1].fenced = true
		return capacity.ErrRefused
	}
	c.tokens[o.Matter()] = p.Token
	if c.fail != nil {
		if handled, err := c.fail(n, o); handled {
			return err
		}
	}
	return c.apply(o)
}

// apply carries out an order. The caller holds the lock.
func (c *cloud) apply(o capacity.Order) error {
	var present []*server
	for _, s := range c.servers {
		if s.zone == o.Zone && s.kind == o.Kind && s.leaves.IsZero() {
			present = append(present, s)
		}
	}
	if o.Kind == capacity.Reclaimable && o.Servers > len(present) && time.Now().Before(c.closedUntil[o.Zone]) {
		return capacity.ErrRefused
	}
	for len(present) > o.Servers {
		last := present[len(present)-1]
		last.drained, last.leaves = time.Now(), time.Now().Add(drainTime)
		present = present[:len(present)-1]
	}
	for n := len(present); n < o.Servers; n++ {
		c.servers = append(c.servers, &server{zone: o.Zone, kind: o.Kind, ready: time.Now().Add(bootTime)})
	}
	return nil
}

// reclaim takes away the reclaimable servers of a zone; none are available there, or in any
// zone, for a time.
func (c *cloud) reclaim(zone string, closed time.Duration, everywhere bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s.zone == zone && s.kind == capacity.Reclaimable && s.leaves.IsZero() {
			s.drained, s.leaves = time.Now(), time.Now().Add(drainTime)
		}
	}
	for _, z := range zoneNames {
		if z == zone || everywhere {
			c.closedUntil[z] = time.Now().Add(closed)
		}
	}
}

// list returns the list as it was listAge ago.
func (c *cloud) list() []fleet.Engine {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now().Add(-listAge)
	var out []fleet.Engine
	for i, s := range c.servers {
		if s.ready.After(now) || !s.leaves.IsZero() && !s.leaves.After(now) {
			continue
		}
		out = append(out, fleet.Engine{
			ID: fmt.Sprint(i), Service: serviceName, Zone: s.zone, Slots: 64, Phase: fleet.Decode,
			Reclaimable: s.kind == capacity.Reclaimable, Leaving: !s.leaves.IsZero() && !s.drained.After(now),
		})
	}
	return out
}

// serving returns the servers that take requests now.
func (c *cloud) serving() (out capacity.Counts) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if !s.ready.After(time.Now()) && s.leaves.IsZero() {
			out[s.kind]++
		}
	}
	return out
}

// price returns the price of a second of the servers that are billed now.
func (c *cloud) price() (price float64, servers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s.leaves.IsZero() || s.leaves.After(time.Now()) {
			p := scaling.ZonePrices[s.zone]
			if s.kind == capacity.Reclaimable {
				p *= scaling.ReclaimablePrice
			}
			price += p
			servers++
		}
	}
	return price, servers
}

// moment is what a run sees at an instant.
type moment struct {
	at      time.Duration
	demand  *fleet.DemandRate
	serving capacity.Counts
	// need is the number of servers that the demand occupies fully.
	need float64
}

// busy returns how many engines a demand occupies fully.
func busy(d *fleet.DemandRate) float64 {
	if d == nil {
		return 0
	}
	return d.PromptTokens/d.EngineRate + d.InProgress/64
}

// replica is a control process that may hold the duties.
type replica struct {
	*capacity.Driver
	// term is that of its authority, or zero.
	term atomic.Uint64
	// refused counts the refusals that it took for ones because of a higher token.
	refused atomic.Int32
}

// newReplica returns a replica that leads in a term and has waited out its quiet period.
func newReplica(c *cloud, term uint64, demand func() *fleet.DemandRate) *replica {
	r := &replica{}
	r.term.Store(term)
	log, fenced := hclog.NewNullLogger(), sync.Map{}
	r.Driver = capacity.NewDriver(capacity.DriverOptions{
		Permit: func(matter string) (duty.Permit, error) {
			term := r.term.Load()
			if term == 0 {
				return duty.Permit{}, duty.ErrNotHolder
			}
			if token, found := fenced.Load(matter); found && token == term {
				return duty.Permit{}, duty.ErrFenced
			}
			return duty.Permit{Token: term}, nil
		},
		Refused: func(matter string, token uint64) {
			r.refused.Add(1)
			fenced.Store(matter, token)
		},
		Send: c.send,
		Demand: func() map[string]fleet.DemandRate {
			if d := demand(); d != nil {
				return map[string]fleet.DemandRate{serviceName: *d}
			}
			return nil
		},
		Rate:  50,
		Clock: clock.NewRuntime(),
		Log:   log,
	})
	return r
}

var planned = []capacity.Service{{Name: serviceName, Scaling: scaling, Class: capacity.Class{PrefillShare: 0.58, Slots: 64}}}

// simulate runs a driver for a time, and returns what was seen each 100 ms and the cost.
func simulate(t *testing.T, c *cloud, length time.Duration, demand func(time.Duration) *fleet.DemandRate, events map[time.Duration]func()) (moments []moment, cost float64) {
	t.Helper()
	began := time.Now()
	r := newReplica(c, 1, func() *fleet.DemandRate { return demand(time.Since(began)) })
	moments, cost = run(t, c, length, demand, events, r)
	if n := r.refused.Load(); n > 0 {
		t.Errorf("%d refusals were taken for ones because of a higher token", n)
	}
	return moments, cost
}

// run runs replicas alongside each other for a time, and returns what was seen each 100 ms and
// the cost.
func run(t *testing.T, c *cloud, length time.Duration, demand func(time.Duration) *fleet.DemandRate, events map[time.Duration]func(), replicas ...*replica) (moments []moment, cost float64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	next := make([]time.Duration, len(replicas))
	for _, r := range replicas {
		group.Go(func() { _ = r.Run(ctx) })
	}
	const step = 50 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		if event := events[at]; event != nil {
			event()
		}
		for i, r := range replicas {
			if at >= next[i] {
				r.Observe(planned, fleet.NewView(c.list()), nil)
				next[i] = at + min(listInterval, r.ListWithin())
			}
		}
		d := demand(at)
		moments = append(moments, moment{at: at, demand: d, serving: c.serving(), need: busy(d)})
		price, _ := c.price()
		cost += price * step.Seconds()
		time.Sleep(step)
	}
	cancel()
	group.Wait()
	if c.overlaps > 0 {
		t.Errorf("%d calls of a holder on a matter overlapped", c.overlaps)
	}
	return moments, cost
}
