// Package orderbook implements the replicated record of orders to engines. An
// order is committed to the log before it is sent; its fencing token is derived
// from its log index. An engine has at most one outstanding order, which the
// leader of the control replicas completes before it places another one, even if
// an earlier leader placed it.
package orderbook

import "github.com/lagoonshift/lagoonshift/internal/state/settings"

// Kind is the kind of change that an order requests.
type Kind string

const (
	// ChangeRole switches the engine to another role.
	ChangeRole Kind = "role"
	// LoadModel loads the weights of a model.
	LoadModel Kind = "model"
	// LoadAdapter loads an adapter in addition to the engine's model.
	LoadAdapter Kind = "adapter"
	// LoadVersion loads another version of the engine's model.
	LoadVersion Kind = "version"
)

// Wanted is the desired state of the engine that an order requests.
type Wanted struct {
	Kind Kind `cbor:"1,keyasint"`
	// Role is set for ChangeRole.
	Role settings.Role `cbor:"2,keyasint,omitempty"`
	// Name and Version identify the weights to load for all other kinds.
	Name    string `cbor:"3,keyasint,omitempty"`
	Version string `cbor:"4,keyasint,omitempty"`
	// Rate is the share of the weight store's rate that the engine may use,
	// in bytes per second. It is set for all kinds that load weights.
	Rate int64 `cbor:"5,keyasint,omitempty"`
}

// Interrupts reports whether the engine can't serve requests while it executes
// the order. The engine is closed to new work before such an order is sent.
func (w Wanted) Interrupts() bool {
	return w.Kind != LoadAdapter
}

// Phase is the phase of an outstanding order.
type Phase string

const (
	// Closing means that the engine is being closed to new work and that the
	// order has not been sent.
	Closing Phase = "closing"
	// Released means that the order may have been sent.
	Released Phase = "released"
)

// Order is an order to an engine.
type Order struct {
	// ID is unique. It is chosen by the replica that places the order.
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	// Model is the model deployment to which the engine belongs.
	Model string `cbor:"3,keyasint"`
	// Fence is the fencing token: the log index at which the order was placed
	// plus the holder's FenceBase.
	Fence  uint64 `cbor:"4,keyasint"`
	Wanted Wanted `cbor:"5,keyasint"`
	// Incarnation is the incarnation of the engine that the order is meant
	// for.
	Incarnation string `cbor:"6,keyasint"`
	Phase       Phase  `cbor:"7,keyasint"`
	// Reason explains to operators why the order was placed.
	Reason string `cbor:"8,keyasint,omitempty"`
	// AtUnixMilli is when the order was placed, in the leader's wall time in
	// Unix milliseconds.
	AtUnixMilli int64 `cbor:"9,keyasint"`
}

// Outcome is the final result of an order.
type Outcome string

const (
	// Done means that the engine reached the desired state.
	Done Outcome = "done"
	// Failed means that the engine refused the order or could not execute it.
	Failed Outcome = "failed"
	// Superseded means that the engine restarted with a new incarnation.
	Superseded Outcome = "superseded"
	// Cancelled means that the order was never sent.
	Cancelled Outcome = "cancelled"
	// Withdrawn means that the engine was removed from the settings.
	Withdrawn Outcome = "withdrawn"
)

// Record is a settled order.
type Record struct {
	Order   Order   `cbor:"1,keyasint"`
	Outcome Outcome `cbor:"2,keyasint"`
	Detail  string  `cbor:"3,keyasint,omitempty"`
	// SettledAt is the log index at which the order was settled.
	SettledAt uint64 `cbor:"4,keyasint"`
}

// Holder is the side that has the authority to order an engine.
type Holder struct {
	Side settings.OrderAuthority `cbor:"1,keyasint"`
	// Since is the log index at which the side took over.
	Since uint64 `cbor:"2,keyasint"`
	// FenceBase is added to log indexes, so that fencing tokens are higher
	// than those that the old system used for the engine.
	FenceBase uint64 `cbor:"3,keyasint,omitempty"`
}
