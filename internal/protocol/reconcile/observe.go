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
	// freshness is the age up to which decisions rest on a reading.
	freshness = 3 * time.Second
)

// observation is the newest reading of one engine.
type observation struct {
	state backend.EngineState
	at    clock.Instant
	ok    bool
	// asked is when the newest reading began and reading whether it goes on.
	asked   clock.Instant
	reading bool
	// notBefore is the instant before which a reading must not have begun.
	notBefore clock.Instant
	// since is when the engine was first seen in its role.
	since clock.Instant
}

// observations holds the leader's view of the engines. It is safe for
// concurrent use.
type observations struct {
	engines Engines
	clock   clock.Clock

	mu    sync.Mutex // guards views
	views map[string]*observation
}

func newObservations(engines Engines, c clock.Clock) *observations {
	return &observations{engines: engines, clock: c, views: make(map[string]*observation)}
}

// refresh starts readings of the engines whose newest one is old.
func (o *observations) refresh(ctx context.Context, c *settings.Configuration) {
	for _, model := range c.Models {
		for name, engine := range model.Engines {
			if o.begin(name) {
				go o.read(ctx, name, engine.URL)
			}
		}
	}
}

func (o *observations) begin(name string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.views[name]
	if view == nil {
		view = &observation{}
		o.views[name] = view
	}
	now := o.clock.Now()
	if view.reading || view.asked != 0 && now.Sub(view.asked) < observeInterval {
		return false
	}
	view.asked = now
	view.reading = true
	return true
}

func (o *observations) read(ctx context.Context, name, url string) {
	state, err := o.engines.State(ctx, url)
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.views[name]
	view.reading = false
	if err != nil || view.asked < view.notBefore {
		return
	}
	if !view.ok || view.state.Role != state.Role || view.state.Incarnation != state.Incarnation {
		view.since = o.clock.Now()
	}
	view.state = state
	// A reading counts from when it was asked for.
	view.at = view.asked
	view.ok = true
}

// forget drops what was read of the engine before now, so that no decision
// rests on a state from before an order was settled.
func (o *observations) forget(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.views[name]
	if view == nil {
		return
	}
	view.at = 0
	view.notBefore = o.clock.Now()
	if !view.reading {
		view.asked = 0
	}
}

// fresh returns the engine's newest reading unless it is too old.
func (o *observations) fresh(name string) (backend.EngineState, bool) {
	state, _, ok := o.freshSince(name)
	return state, ok
}

func (o *observations) freshSince(name string) (backend.EngineState, clock.Instant, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	view := o.views[name]
	if view == nil || !view.ok || view.at < view.notBefore || o.clock.Now().Sub(view.at) > freshness {
		return backend.EngineState{}, 0, false
	}
	return view.state, view.since, true
}
