// Package admission decides which requests are worth an engine's time when
// not all can be served. Which engine serves an admitted request is chosen by
// package routing.
package admission

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/protocol/routing"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// planInterval is the time between two plans of what to admit.
	planInterval = 500 * time.Millisecond
	// rateTime is the time over which arrival rates are averaged.
	rateAveragingTime = 5 * time.Second
	// sizeWeight is the least weight of one request in the mean sizes of its
	// class; the first ones weigh more.
	minSizeWeight = 0.02
)

// Options configures a Controller.
type Options struct {
	// Picker chooses the engine for an admitted request.
	Picker routing.Picker
	Clock  clock.Clock
	// Tracker knows the requests in progress and the lengths of answers; nil
	// knows nothing.
	Tracker *routing.Tracker
	// Entries returns the number of entries that share the engines; nil
	// counts this one only.
	Entries func() int
}

// Controller admits requests and lets a picker choose their engine. It is a
// routing.Picker and safe for concurrent use.
//
// Each entry plans for itself: it takes an equal part of the engines' rates and
// spends it on the classes with the most worth per engine second. Refusals are immediate; nothing is queued here.
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

// Configure takes the customers' shares and limits.
func (c *Controller) Configure(configuration *settings.Configuration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.settings = configuration
}

// Pick implements routing.Picker. A request that was admitted before and is
// tried again is not counted a second time.
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

// admit returns an *routing.OverloadedError for a request that is not worth
// its engine time now.
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

// observe learns from what the picker said to an admitted request.
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

// overLimit reports whether the customer has its greatest number of requests
// in progress. This entry grants its part of the limit, at least one. The
// caller holds mu.
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

// model returns the record of a model. The caller holds mu.
func (c *Controller) model(now clock.Instant, name string) *model {
	m := c.models[name]
	if m == nil {
		m = &model{ratesUpdatedAt: now, classes: make(map[classKey]*class), capacityFactor: newCapacityFactor()}
		c.models[name] = m
	}
	return m
}

// Demand returns what arrived for each model, admitted or not.
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
