// Package roleplan decides which engines should change their role. Plans are
// pure functions of what entries and engines reported.
package roleplan

import (
	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Demand is the work that arrived for one model.
type Demand struct {
	// PromptTokens and OutputTokens are rates in tokens per second.
	PromptTokens float64 `cbor:"1,keyasint"`
	OutputTokens float64 `cbor:"2,keyasint"`
	// Requests is the arrival rate per second and Worth the worth per second.
	Requests float64 `cbor:"3,keyasint"`
	Worth    float64 `cbor:"4,keyasint"`
	// Classes holds the same work by class.
	Classes []ClassDemand `cbor:"5,keyasint,omitempty"`
	// Recent holds the demand of the recent past, oldest first. A Collector
	// fills it; it is not sent.
	Recent []Demand `cbor:"-"`
}

// ClassDemand is the work that arrived for one class.
type ClassDemand struct {
	Team  string `cbor:"1,keyasint"`
	Class string `cbor:"2,keyasint"`
	// Requests is the arrival rate per second.
	Requests float64 `cbor:"3,keyasint"`
	// PromptTokens, after what prefix caches held, and OutputTokens are means
	// per request.
	PromptTokens float64 `cbor:"4,keyasint"`
	OutputTokens float64 `cbor:"5,keyasint"`
	// Worth is the worth of one request.
	Worth float64 `cbor:"6,keyasint"`
}

// Report is one entry's account of demand.
type Report struct {
	Member string `cbor:"1,keyasint"`
	// Models holds the demand by model.
	Models map[string]Demand `cbor:"2,keyasint"`
}

// Engine is one engine as the planner sees it.
type Engine struct {
	Name string
	Role settings.Role
	// Available is false while the engine is changing, leaving or failing.
	Available bool
	// Changing is true while an order to change its role is unsettled.
	Changing bool
	// Since is when the engine took its role.
	Since clock.Instant
}

// Move asks for one role change.
type Move struct {
	Engine string
	Role   settings.Role
	// Reason explains the move to operators.
	Reason string
}

// Planner plans the roles of one model's engines.
type Planner interface {
	// Plan returns the moves to start now; none if nothing should change.
	Plan(now clock.Instant, model settings.Model, demand Demand, engines []Engine) []Move
}
