package backend

import "github.com/lagoonshift/lagoonshift/internal/state/settings"

// OrderRequest orders an engine to change its role or to load weights.
type OrderRequest struct {
	// ID names the order. An engine that has the order already answers for it
	// again.
	ID string `json:"id"`
	// Fence is the fencing token; some engines refuse one that is older than
	// the newest they have seen, others ignore it.
	Fence uint64 `json:"fence"`
	// Kind is role, model, adapter or version.
	Kind string        `json:"kind"`
	Role settings.Role `json:"role,omitempty"`
	// Name and Version name the weights to load.
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	// Rate bounds the transfer from the weight store, in bytes per second.
	Rate int64 `json:"rate,omitempty"`
	// Sender names the process that sent the order, for the engine's record.
	Sender string `json:"sender,omitempty"`
	// Term is the sender's term of authority, for the engine's record.
	Term uint64 `json:"term,omitempty"`
}

// OrderStatus is an engine's answer to an order.
type OrderStatus string

const (
	// OrderAccepted means that the engine carries out the order now.
	OrderAccepted OrderStatus = "accepted"
	// OrderDone means that the engine is in the wanted state.
	OrderDone OrderStatus = "done"
	// OrderFenced means that the engine has seen a newer fencing token.
	OrderFenced OrderStatus = "fenced"
	// OrderBusy means that the engine carries out another order.
	OrderBusy OrderStatus = "busy"
	// OrderInvalid means that the engine can't carry out such an order.
	OrderInvalid OrderStatus = "invalid"
)

// OrderAnswer is the engine's answer to an order.
type OrderAnswer struct {
	// ID repeats the order's ID.
	ID          string      `json:"id"`
	Status      OrderStatus `json:"status"`
	Incarnation string      `json:"incarnation"`
	Detail      string      `json:"detail,omitempty"`
}

// Weights names weights that an engine has loaded.
type Weights struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
}

// EngineState is an engine's own account of what it is and does.
type EngineState struct {
	// Incarnation is new at each start of the engine.
	Incarnation string        `json:"incarnation"`
	Model       string        `json:"model"`
	Role        settings.Role `json:"role"`
	// Changing is true while the engine carries out an order.
	Changing bool `json:"changing"`
	// Draining means that the engine takes no new work.
	Draining bool `json:"draining"`
	// Fence is the newest fencing token that the engine has seen; zero if it
	// ignores them.
	Fence uint64 `json:"fence,omitempty"`
	// Queued and Running count requests, of every sender.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Loaded lists the loaded weights.
	Loaded []Weights `json:"loaded,omitempty"`
	// LastOrder is the ID of the newest order that ended in this incarnation
	// and LastFailed tells whether it failed.
	LastOrder  string `json:"last_order,omitempty"`
	LastFailed bool   `json:"last_failed,omitempty"`
}
