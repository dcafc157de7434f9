// Package orderbook is the replicated record of orders to engines. An order is
// placed by commit before it is sent; its log index is its fencing token. An
// engine has at most one outstanding order, and whoever leads the control
// replicas finishes that order before it places another.
package orderbook

import "github.com/lagoonshift/lagoonshift/internal/state/settings"

// Kind tells what an order asks for.
type Kind string

const (
	// ChangeRole asks the engine to take another role.
	ChangeRole Kind = "role"
	// LoadModel asks the engine to load the weights of a model.
	LoadModel Kind = "model"
	// LoadAdapter asks the engine to load an adapter beside its model.
	LoadAdapter Kind = "adapter"
	// LoadVersion asks the engine to load another version of its model.
	LoadVersion Kind = "version"
)

// Wanted is the state that an order asks for.
type Wanted struct {
	Kind Kind `cbor:"1,keyasint"`
	// Role is set for ChangeRole.
	Role settings.Role `cbor:"2,keyasint,omitempty"`
	// Name and Version name the weights of the other kinds.
	Name    string `cbor:"3,keyasint,omitempty"`
	Version string `cbor:"4,keyasint,omitempty"`
	// Rate is the part of the weight store's rate that the engine may use,
	// in bytes per second. It is set for all kinds that load weights.
	Rate int64 `cbor:"5,keyasint,omitempty"`
}

// Interrupts reports whether the engine can't work while it carries out the
// order. Such an order is preceded by closing the engine to new work.
func (w Wanted) Interrupts() bool {
	return w.Kind != LoadAdapter
}

// Phase tells how far an outstanding order has come.
type Phase string

const (
	// Closing means that the engine is being closed to new work and that
	// the order was never sent.
	Closing Phase = "closing"
	// Released means that the order may have been sent.
	Released Phase = "released"
)

// Order is one order to one engine.
type Order struct {
	// ID is chosen by the replica that places the order and is unique.
	ID     string `cbor:"1,keyasint"`
	Engine string `cbor:"2,keyasint"`
	// Model is the model deployment to which the engine belongs.
	Model string `cbor:"3,keyasint"`
	// Fence is the fencing token: the log index at which the order was placed
	// plus the holder's base.
	Fence  uint64 `cbor:"4,keyasint"`
	Wanted Wanted `cbor:"5,keyasint"`
	// Incarnation is the engine's incarnation for which the order was made.
	Incarnation string `cbor:"6,keyasint"`
	Phase       Phase  `cbor:"7,keyasint"`
	// Reason tells operators why the order was placed.
	Reason string `cbor:"8,keyasint,omitempty"`
	// AtUnixMilli is when the order was placed, in the leader's wall time.
	AtUnixMilli int64 `cbor:"9,keyasint"`
}

// Outcome tells how an order ended.
type Outcome string

const (
	// Done means that the engine reached the wanted state.
	Done Outcome = "done"
	// Failed means that the engine refused or could not carry it out.
	Failed Outcome = "failed"
	// Superseded means that the engine restarted under a new incarnation.
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

// Holder is the side that may order an engine.
type Holder struct {
	Side settings.OrderAuthority `cbor:"1,keyasint"`
	// Since is the log index at which it took over.
	Since uint64 `cbor:"2,keyasint"`
	// FenceBase is added to log indexes, so that fencing tokens exceed those
	// that the old system used at the engine.
	FenceBase uint64 `cbor:"3,keyasint,omitempty"`
}
