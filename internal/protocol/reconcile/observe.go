package reconcile

import (
	"context"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

const (
	// observeInterval is the minimum time between the starts of two reads of an
	// engine's state.
	observeInterval = time.Second
	// maxReadingAge is the maximum age of a reading on which a decision may be
	// based.
	maxReadingAge = 3 * time.Second
)

// observation is the latest state read from one engine.
type observation struct {
	state  backend.EngineState
	readAt clock.Instant
	valid  bool
	// requestedAt is when the latest read started and inFlight whether it is
	// still running.
	requestedAt clock.Instant
	inFlight    bool
	// notBefore invalidates reads that started before it.
	notBefore clock.Instant
	// roleSince is when the engine was first observed in its current role and
	// incarnation.
	roleSince clock.Instant
}

// observations holds the engine states that the leader has read. It is safe for
// concurrent use.
type observations struct {
	engines Engines
	clock   clock.Clock

	mu       sync.Mutex // guards byEngine
	byEngine map[string]*observation
}

func newObservations(engines Engines, c clock.Clock) *observations {
	return &observations{engines: engines, clock: c, byEngine: make(map[string]*observation)}
}

// refresh starts a read of each engine whose latest read started at least
// observeInterval ago.
func (o *observations) refresh(ctx context.Context, c *settings.Configuration) {
	for _, model := range c.Models {
		for name, engine := range model.Engines {
			if o.startReading(name) {
				go o.read(ctx, name, engine.URL)
			}
		}
	}
}

func (o *observations) startReading(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.byEngine[name]
	if view == nil {
		view = &observation{}
		o.byEngine[name] = view
	}
	now := o.clock.Now()
	if view.inFlight || view.requestedAt != 0 && now.Sub(view.requestedAt) < observeInterval {
		return false
	}
	view.requestedAt = now
	view.inFlight = true
	return true
}

func (o *observations) read(ctx context.Context, name, url string) {
	state, err := o.engines.State(ctx, url)
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.byEngine[name]
	view.inFlight = false
	if err != nil || view.requestedAt < view.notBefore {
		return
	}
	if !view.valid || view.state.Role != state.Role || view.state.Incarnation != state.Incarnation {
		view.roleSince = o.clock.Now()
	}
	view.state = state
	// The age of a reading counts from the start of the read.
	view.readAt = view.requestedAt
	view.valid = true
}

// invalidate discards the readings of the engine from before now, so that no
// decision is based on a state from before an order was settled.
func (o *observations) invalidate(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.byEngine[name]
	if view == nil {
		return
	}
	view.readAt = 0
	view.notBefore = o.clock.Now()
	if !view.inFlight {
		view.requestedAt = 0
	}
}

// fresh returns the engine's latest state unless it is too old.
func (o *observations) fresh(name string) (backend.EngineState, bool) {
	state, _, ok := o.freshWithRoleSince(name)
	return state, ok
}

// freshWithRoleSince is like fresh and also returns since when the engine has been
// observed in its role.
func (o *observations) freshWithRoleSince(name string) (backend.EngineState, clock.Instant, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.byEngine[name]
	if view == nil || !view.valid || view.readAt < view.notBefore || o.clock.Now().Sub(view.readAt) > maxReadingAge {
		return backend.EngineState{}, 0, false
	}
	return view.state, view.roleSince, true
}
