package fakeengine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// OrderOptions configures how an engine handles orders.
type OrderOptions struct {
	Model string
	// Role is the engine's role after each start.
	Role settings.Role
	// Incarnation returns the identity of the next run; it is called at each
	// start.
	Incarnation func() string
	// ChecksFencing makes the engine reject orders with an older fencing token
	// than the newest one received, and other orders during a change.
	ChecksFencing bool
	// ChangeTime is the duration of a role change or a load of weights.
	ChangeTime time.Duration
	// InFlight returns the numbers of queued and running requests; nil for an
	// engine that serves no requests.
	InFlight func() (queued, running int)
	// Pull starts a transfer from the weight store at the order's rate in
	// bytes per second and returns a function that ends it; nil for an engine
	// without a store.
	Pull func(order backend.OrderRequest) (end func())
	// Arrived is called with each arrival before it is added to the record,
	// and may set Unrecorded; nil if orders are not compared with the order
	// book.
	Arrived func(*Arrival)
}

// Orders is the part of an engine that handles orders. It is safe for concurrent
// use.
type Orders struct {
	options OrderOptions

	mu           sync.Mutex // guards the fields below
	state        backend.EngineState
	current      backend.OrderRequest
	highestFence uint64
	record       Record
	// run counts starts; a change that began in an earlier run has no effect.
	run int
	// endPull ends the transfer in progress; nil if there is none.
	endPull func()
}

// NewOrders returns the order handling of an engine that has just started.
func NewOrders(o OrderOptions) *Orders {
	e := &Orders{options: o}
	e.start()
	return e
}

// start begins a new run. The caller holds mu or has the only reference.
func (e *Orders) start() {
	e.run++
	e.stopPull()
	e.highestFence = 0
	e.current = backend.OrderRequest{}
	e.state = backend.EngineState{
		Incarnation: e.options.Incarnation(),
		Model:       e.options.Model,
		Role:        e.options.Role,
	}
	e.record.restarted()
}

// Crash ends the current run, abandoning any change in progress, and starts a
// new one.
func (e *Orders) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start()
}

// State returns the engine's current state.
func (e *Orders) State() backend.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	if e.options.InFlight != nil {
		state.Queued, state.Running = e.options.InFlight()
	}
	return state
}

// Record returns a copy of the orders received so far.
func (e *Orders) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.clone()
}

// Order handles an order. An engine that does not check fencing tokens starts
// every change at once, even if another one is in progress.
func (e *Orders) Order(request backend.OrderRequest) backend.OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	arrival := Arrival{Order: request, At: time.Now(), Incarnation: e.state.Incarnation}
	arrival.Status = e.decide(request)
	arrival.Interrupted = e.current.ID
	if e.options.InFlight != nil {
		queued, running := e.options.InFlight()
		arrival.InFlight = queued + running
	}
	if arrival.Status == backend.OrderAccepted && e.current.ID != request.ID {
		arrival.Effect = true
		e.startChange(request)
	}
	if e.options.Arrived != nil {
		e.options.Arrived(&arrival)
	}
	e.record.add(arrival)
	return backend.OrderResponse{ID: request.ID, Status: arrival.Status, Incarnation: e.state.Incarnation}
}

// decide returns the status with which an order is answered. The caller holds
// mu.
func (e *Orders) decide(request backend.OrderRequest) backend.OrderStatus {
	if e.options.ChecksFencing {
		if request.Fence < e.highestFence {
			return backend.OrderFenced
		}
		e.highestFence = request.Fence
		e.state.Fence = request.Fence
		if e.state.Changing && e.current.ID != request.ID {
			return backend.OrderBusy
		}
	}
	if !e.state.Changing && inRequestedState(&e.state, request) {
		return backend.OrderDone
	}
	return backend.OrderAccepted
}

// startChange starts the change that an order asks for. The caller holds mu.
func (e *Orders) startChange(request backend.OrderRequest) {
	e.current = request
	e.state.Changing = true
	run := e.run
	e.stopPull()
	if request.Kind != kindRole && e.options.Pull != nil {
		e.endPull = e.options.Pull(request)
	}
	time.AfterFunc(e.options.ChangeTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.run == run && e.current.ID == request.ID {
			e.finishChange(request)
		}
	})
}

// finishChange completes the change that an order asked for. The caller holds mu.
func (e *Orders) finishChange(request backend.OrderRequest) {
	e.stopPull()
	e.state.Changing = false
	e.state.LastOrder = request.ID
	e.current = backend.OrderRequest{}
	if request.Kind == kindRole {
		e.state.Role = request.Role
		return
	}
	e.state.Loaded = append(e.state.Loaded[:len(e.state.Loaded):len(e.state.Loaded)],
		backend.Weights{Kind: request.Kind, Name: request.Name, Version: request.Version})
}

// stopPull ends the transfer in progress. The caller holds mu.
func (e *Orders) stopPull() {
	if e.endPull != nil {
		e.endPull()
		e.endPull = nil
	}
}

// kindRole is the kind of an order that changes the role.
const kindRole = "role"

func inRequestedState(state *backend.EngineState, request backend.OrderRequest) bool {
	if request.Kind == kindRole {
		return state.Role == request.Role
	}
	for _, weights := range state.Loaded {
		if weights.Kind == request.Kind && weights.Name == request.Name && weights.Version == request.Version {
			return true
		}
	}
	return false
}

// Register adds the HTTP handlers for orders to mux.
func (e *Orders) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/state", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) })
	mux.HandleFunc("GET /v1/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Record()) })
	mux.HandleFunc("POST /v1/orders", e.order)
	mux.HandleFunc("POST /v1/crash", func(http.ResponseWriter, *http.Request) { e.Crash() })
}

func (e *Orders) order(w http.ResponseWriter, r *http.Request) {
	var request backend.OrderRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, "decode order: "+err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, e.Order(request))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
