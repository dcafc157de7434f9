package backend

import "github.com/lagoonshift/lagoonshift/internal/state/settings"

// OrderRequest orders an engine to change its role or to load weights.
type OrderRequest struct {
	// ID identifies the order. An engine that already has the order repeats
	// its answer.
	ID string `json:"id"`
	// Fence is the fencing token. Some engines refuse a token that is older
	// than the newest one they have seen; others ignore it.
	Fence uint64 `json:"fence"`
	// Kind is "role", "model", "adapter" or "version".
	Kind string        `json:"kind"`
	Role settings.Role `json:"role,omitempty"`
	// Name and Version identify the weights to load.
	Name    string `json:"name,omitempty"`
	Version string `json:"version,omitempty"`
	// Rate limits the transfer from the weight store, in bytes per second.
	Rate int64 `json:"rate,omitempty"`
	// Sender names the process that sent the order. The engine only records
	// it.
	Sender string `json:"sender,omitempty"`
	// Term is the sender's term of authority over engines. The engine only
	// records it.
	Term uint64 `json:"term,omitempty"`
}

// OrderStatus is an engine's answer to an order.
type OrderStatus string

const (
	// OrderAccepted means that the engine is executing the order.
	OrderAccepted OrderStatus = "accepted"
	// OrderDone means that the engine is in the wanted state.
	OrderDone OrderStatus = "done"
	// OrderFenced means that the engine has seen a newer fencing token.
	OrderFenced OrderStatus = "fenced"
	// OrderBusy means that the engine is executing another order.
	OrderBusy OrderStatus = "busy"
	// OrderInvalid means that the engine can't execute such an order.
	OrderInvalid OrderStatus = "invalid"
)

// OrderAnswer is the engine's answer to an order.
type OrderAnswer struct {
	// ID is the order's ID.
	ID          string      `json:"id"`
	Status      OrderStatus `json:"status"`
	Incarnation string      `json:"incarnation"`
	Detail      string      `json:"detail,omitempty"`
}

// Weights identifies weights that an engine has loaded.
type Weights struct {
	Kind    string `json:"kind"`
	Name    string `json:"name"`
	Version string `json:"version"`
}

// EngineState is the state that an engine reports of itself.
type EngineState struct {
	// Incarnation changes at each start of the engine.
	Incarnation string        `json:"incarnation"`
	Model       string        `json:"model"`
	Role        settings.Role `json:"role"`
	// Changing is true while the engine executes an order.
	Changing bool `json:"changing"`
	// Draining means that the engine takes no new work.
	Draining bool `json:"draining"`
	// Fence is the newest fencing token that the engine has seen; zero if the
	// engine ignores fencing tokens.
	Fence uint64 `json:"fence,omitempty"`
	// Queued and Running count requests from all senders.
	Queued  int `json:"queued"`
	Running int `json:"running"`
	// Loaded lists the loaded weights.
	Loaded []Weights `json:"loaded,omitempty"`
	// LastOrder is the ID of the last order that ended in this incarnation.
	// LastFailed is true if it failed.
	LastOrder  string `json:"last_order,omitempty"`
	LastFailed bool   `json:"last_failed,omitempty"`
}
