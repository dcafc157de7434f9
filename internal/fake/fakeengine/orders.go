package fakeengine

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// OrderOptions configures how an engine takes orders.
type OrderOptions struct {
	Model string
	// Role is the role after each start.
	Role settings.Role
	// Incarnation names the next run; it is called at each start.
	Incarnation func() string
	// ChecksFencing makes the engine refuse old fencing tokens.
	ChecksFencing bool
	// ChangeTime is how long a role change or a load takes.
	ChangeTime time.Duration
	// InFlight returns the engine's queued and running requests; nil for an
	// engine that serves none.
	InFlight func() (queued, running int)
	// Pull begins a transfer from the weight store at the given rate in bytes
	// per second and returns its end; nil for an engine without a store.
	Pull func(order backend.OrderRequest) (end func())
	// Arrived is called with each arrival before it enters the record and may
	// complete it; nil if the record is judged without the order book.
	Arrived func(*Arrival)
}

// Orders is the part of an engine that takes orders. It is safe for concurrent
// use.
type Orders struct {
	options OrderOptions

	mu           sync.Mutex // guards the fields below
	state        backend.EngineState
	current      backend.OrderRequest
	highestFence uint64
	record       Record
	// run counts starts, so that a change of an earlier run has no effect.
	run int
	// endPull ends the transfer in progress; nil if there is none.
	endPull func()
}

// NewOrders returns the order part of an engine that has just started.
func NewOrders(o OrderOptions) *Orders {
	e := &Orders{options: o}
	e.start()
	return e
}

// start begins a new run. The caller holds mu or is the only user.
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

// Crash ends the run in whatever the engine was doing and starts another.
func (e *Orders) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.start()
}

// State returns what the engine is and does.
func (e *Orders) State() backend.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state
	if e.options.InFlight != nil {
		state.Queued, state.Running = e.options.InFlight()
	}
	return state
}

// Record returns the orders received so far.
func (e *Orders) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.record.clone()
}

// Order takes an order. An engine that ignores fencing tokens carries out
// whatever it is told, at once.
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

// decide returns the answer to an order. The caller holds mu.
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

// startChange starts the change. The caller holds mu.
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

// finishChange ends the change. The caller holds mu.
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

// Register adds the order interface to mux.
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
