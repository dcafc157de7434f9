// Package reconcile brings the engines to the roles and weights that the settings
// and the planner require. It runs on every control replica and acts only on the
// replica that has authority.
package reconcile

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/coordination/replog"
	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/protocol/order"
	"github.com/lagoonshift/lagoonshift/internal/protocol/scheduling/roleplan"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/store"
)

// ErrUnsent means that an attempt to send an order failed before anything was
// written.
var ErrUnsent = errors.New("reconcile: order not written")

const (
	// tickInterval is the pause between two rounds of the reconcile loop.
	tickInterval = 200 * time.Millisecond
	// pollInterval is the pause between two steps of an outstanding order.
	pollInterval = 250 * time.Millisecond
	// commitTimeout limits the commit of one command and a read barrier.
	commitTimeout = 2 * time.Second
)

// Engines is a client of the engines.
type Engines interface {
	// State reads an engine's state.
	State(ctx context.Context, baseURL string) (backend.EngineState, error)
	// Order sends an order once and writes nothing at or after the instant
	// until. An error that matches ErrUnsent means that nothing was written;
	// after any other error the order may have reached the engine.
	Order(ctx context.Context, baseURL string, until clock.Instant, order backend.OrderRequest) (backend.OrderResponse, error)
}

// Options configures a Reconciler.
type Options struct {
	// Replica is the name of this control replica in the orders it sends.
	Replica string
	Log     replog.Log
	Store   *store.Store
	Clock   clock.Clock
	Engines Engines
	// Planner plans the roles of engines whose role the settings don't pin; nil
	// for no planning.
	Planner roleplan.Planner
	// Demand supplies the demand to the planner; may be nil if Planner is nil.
	Demand *roleplan.Collector
	Limits order.Limits
	// NewID returns a unique order ID.
	NewID  func() string
	Logger hclog.Logger
}

// Reconciler runs the reconcile loop of one control replica.
type Reconciler struct {
	options Options
	drains  *DrainTracker

	mu      sync.Mutex // guards waiting
	waiting map[string]string
}

// New returns a reconciler that does nothing until Run is called.
func New(o Options) *Reconciler {
	return &Reconciler{
		options: o,
		drains:  NewDrainTracker(o.Clock, o.Limits.CloseDelay),
		waiting: make(map[string]string),
	}
}

// Run runs the reconcile loop until ctx is done.
func (r *Reconciler) Run(ctx context.Context) error {
	var term *leadership
	defer func() { term.stop() }()
	for {
		term = r.currentLeadership(ctx, term)
		if term != nil {
			term.runRound(ctx)
		}
		r.trackDrains()
		if !clock.Sleep(ctx, tickInterval) {
			return nil
		}
	}
}

// currentLeadership returns the leadership of the current term, or nil if this
// replica has no authority. It stops the leadership of an earlier term.
func (r *Reconciler) currentLeadership(ctx context.Context, current *leadership) *leadership {
	authority, ok := r.options.Log.Authority()
	if !ok {
		current.stop()
		return nil
	}
	if current != nil && current.term == authority.Term {
		return current
	}
	current.stop()
	return r.startLeadership(ctx, authority.Term)
}

// startLeadership starts a leadership once the local state includes everything
// that earlier leaders committed. It returns nil if that can't be confirmed in
// time.
func (r *Reconciler) startLeadership(ctx context.Context, term uint64) *leadership {
	barrierCtx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	if err := r.options.Log.ReadBarrier(barrierCtx); err != nil {
		r.options.Logger.Warn("read barrier failed; leadership not started", "term", term, "error", err)
		return nil
	}
	ctx, cancelDrivers := context.WithCancel(ctx)
	return &leadership{
		Reconciler:    r,
		term:          term,
		observations:  newObservations(r.options.Engines, r.options.Clock),
		startedAt:     r.options.Clock.Now(),
		driven:        make(map[string]bool),
		lastLoadAt:    make(map[string]clock.Instant),
		lastSettledAt: make(map[string]clock.Instant),
		placed:        make(map[string]bool),
		driverCtx:     ctx,
		cancel:        cancelDrivers,
	}
}

func (r *Reconciler) trackDrains() {
	orders := r.options.Store.Orders()
	r.drains.Track(orders.Settings)
}

// Drains returns this replica's drain tracker.
func (r *Reconciler) Drains() *DrainTracker {
	return r.drains
}

// Waiting returns what the engine's outstanding order waits for. It is empty if
// there is none and on a replica that is not the leader.
func (r *Reconciler) Waiting(engine string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting[engine]
}

func (r *Reconciler) setWaiting(engine, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if reason == "" {
		delete(r.waiting, engine)
		return
	}
	r.waiting[engine] = reason
}

// commit commits a command to the order book.
func (r *Reconciler) commit(ctx context.Context, command store.OrderCommand) (orderbook.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	encoded, err := (&store.Command{Order: &command}).Encode()
	if err != nil {
		return orderbook.Result{}, err
	}
	applied, err := r.options.Log.Submit(ctx, encoded)
	if err != nil {
		return orderbook.Result{}, fmt.Errorf("commit order command: %w", err)
	}
	result, err := store.DecodeResult(applied.Result)
	if err != nil {
		return orderbook.Result{}, err
	}
	return *result.Order, nil
}

// findEngine returns the settings of an engine and its model's name.
func findEngine(c *settings.Configuration, name string) (engine settings.Engine, model string, ok bool) {
	for model, deployment := range c.Models {
		if engine, ok := deployment.Engines[name]; ok {
			return engine, model, true
		}
	}
	return settings.Engine{}, "", false
}
