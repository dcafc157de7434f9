// Package admission decides which requests get engine time when not all can be
// served. Package routing chooses the engine for an admitted request.
package admission

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// planInterval is the least time between two admission plans.
	planInterval = 500 * time.Millisecond
	// rateAveragingTime is the time constant of the moving averages of arrival
	// rates.
	rateAveragingTime = 5 * time.Second
	// minSizeWeight is the least weight of one request in the mean sizes of its
	// class; the first requests weigh more.
	minSizeWeight = 0.02
)

// Options configures a Controller.
type Options struct {
	// Picker chooses the engine for an admitted request.
	Picker routing.Picker
	Clock  clock.Clock
	// Tracker supplies the requests in progress and the lengths of answers. If
	// nil, concurrency limits are not enforced and each answer is assumed to be
	// as long as its upper bound.
	Tracker *routing.Tracker
	// Entries returns the number of entries that share the engines. If nil,
	// this entry is assumed to be the only one.
	Entries func() int
}

// Controller admits or refuses requests and lets a picker choose the engine for
// those admitted. It is a routing.Picker and safe for concurrent use.
//
// Each entry plans for itself: it takes an equal share of the engines' capacity
// and spends it on the classes with the most worth per engine second. Refusals
// are immediate; requests are not queued here.
type Controller struct {
	options Options

	mu       sync.Mutex // guards the fields below
	settings *settings.Configuration
	models   map[string]*model
}

// New returns a controller.
func New(o Options) *Controller {
	return &Controller{options: o, models: make(map[string]*model)}
}

// Configure sets the configuration that gives the customers' shares and
// concurrency limits.
func (c *Controller) Configure(configuration *settings.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = configuration
}

// Pick implements routing.Picker. A retry of a request that was admitted before
// is not counted a second time and is not refused by admission.
func (c *Controller) Pick(s *routing.Snapshot, r *routing.Request) (routing.Choice, error) {
	if c.options.Tracker != nil {
		r.OutputRatio = c.options.Tracker.OutputRatio(r.Team, r.Class)
	}
	if r.Retry {
		return c.options.Picker.Pick(s, r)
	}
	if err := c.admit(s, r); err != nil {
		return routing.Choice{}, err
	}
	choice, err := c.options.Picker.Pick(s, r)
	c.recordPick(r, choice, err)
	return choice, err
}

// admit returns an *routing.OverloadedError if the request is over its
// customer's concurrency limit or not worth its engine time now.
func (c *Controller) admit(s *routing.Snapshot, r *routing.Request) error {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.model(now, r.Model)
	view := s.Model(r.Model)
	class := m.class(r)
	customer := class.customer(r.Customer, c.customerSettings(r).Share)
	class.recordArrival(r)
	customer.arrived++
	if now.Sub(m.ratesUpdatedAt) >= planInterval {
		m.plan(now, view, 1/float64(c.entries()))
	}
	if c.overConcurrencyLimit(r) {
		return &routing.OverloadedError{RetryAfter: routing.MinRetryAfter}
	}
	if !class.admit(customer) {
		return &routing.OverloadedError{RetryAfter: routing.ClampRetryAfter(view.BacklogSeconds())}
	}
	return nil
}

// recordPick updates the class of an admitted request, and the capacity factor,
// from the picker's answer.
func (c *Controller) recordPick(r *routing.Request, choice routing.Choice, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.model(c.options.Clock.Now(), r.Model)
	class := m.class(r)
	if class == m.topClass {
		m.capacityFactor.record(err != nil)
	}
	if err != nil {
		return
	}
	class.picked++
	class.meanCachedTokens += max(minSizeWeight, 1/class.picked) * (float64(choice.CachedTokens) - class.meanCachedTokens)
}

// overConcurrencyLimit reports whether the customer has reached its limit of
// requests in progress. Each entry grants an equal part of the limit, but at
// least one request. The caller holds mu.
func (c *Controller) overConcurrencyLimit(r *routing.Request) bool {
	limit := c.customerSettings(r).MaxConcurrent
	if limit == 0 || c.options.Tracker == nil {
		return false
	}
	granted := max(float64(limit)/float64(c.entries()), 1)
	return float64(c.options.Tracker.CustomerInFlight(r.Team, r.Customer)) >= granted
}

func (c *Controller) entries() int {
	if c.options.Entries == nil {
		return 1
	}
	return max(c.options.Entries(), 1)
}

// customerSettings returns the settings of the request's customer. The caller
// holds mu.
func (c *Controller) customerSettings(r *routing.Request) settings.Customer {
	if c.settings == nil {
		return settings.Customer{}
	}
	return c.settings.Teams[r.Team].Customers[r.Customer]
}

// model returns the record of a model and creates it if it is new. The caller
// holds mu.
func (c *Controller) model(now clock.Instant, name string) *model {
	m := c.models[name]
	if m == nil {
		m = &model{ratesUpdatedAt: now, classes: make(map[classKey]*class), capacityFactor: newCapacityFactor()}
		c.models[name] = m
	}
	return m
}

// Demand returns the demand that arrived for each model, admitted or not.
func (c *Controller) Demand() map[string]roleplan.Demand {
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]roleplan.Demand, len(c.models))
	for name, m := range c.models {
		if now.Sub(m.ratesUpdatedAt) >= planInterval {
			m.updateRates(now)
		}
		out[name] = m.demand()
	}
	return out
}
