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
	// observeInterval is the pause between two readings of an engine.
	observeInterval = time.Second
	// maxReadingAge is the age up to which decisions rest on a reading.
	maxReadingAge = 3 * time.Second
)

// observation is the newest reading of one engine.
type observation struct {
	state  backend.EngineState
	readAt clock.Instant
	valid  bool
	// requestedAt is when the newest reading began and reading whether it goes on.
	requestedAt clock.Instant
	inFlight    bool
	// notBefore is the instant before which a reading must not have begun.
	notBefore clock.Instant
	// roleSince is when the engine was first seen in its role.
	roleSince clock.Instant
}

// observations holds the leader's view of the engines. It is safe for
// concurrent use.
type observations struct {
	engines Engines
	clock   clock.Clock

	mu       sync.Mutex // guards views
	byEngine map[string]*observation
}

func newObservations(engines Engines, c clock.Clock) *observations {
	return &observations{engines: engines, clock: c, byEngine: make(map[string]*observation)}
}

// refresh starts readings of the engines whose newest one is old.
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
	// A reading counts from when it was asked for.
	view.readAt = view.requestedAt
	view.valid = true
}

// invalidate drops what was read of the engine before now, so that no decision
// rests on a state from before an order was settled.
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

// fresh returns the engine's newest reading unless it is too old.
func (o *observations) fresh(name string) (backend.EngineState, bool) {
	state, _, ok := o.freshWithRoleSince(name)
	return state, ok
}

func (o *observations) freshWithRoleSince(name string) (backend.EngineState, clock.Instant, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.byEngine[name]
	if view == nil || !view.valid || view.readAt < view.notBefore || o.clock.Now().Sub(view.readAt) > maxReadingAge {
		return backend.EngineState{}, 0, false
	}
	return view.state, view.roleSince, true
}
