// Package roleplan decides which engines change their role (prefill, decode or
// mixed) to serve the most worth. Plans are pure functions of what entries and
// engines reported.
package roleplan

import (
	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// Demand is the work that arrived for one model.
type Demand struct {
	// PromptTokens and OutputTokens are rates, in tokens per second.
	PromptTokens float64 `cbor:"1,keyasint"`
	OutputTokens float64 `cbor:"2,keyasint"`
	// Requests is the arrival rate, in requests per second, and Worth the sum
	// of their worth per second.
	Requests float64 `cbor:"3,keyasint"`
	Worth    float64 `cbor:"4,keyasint"`
	// Classes holds the same demand by class.
	Classes []ClassDemand `cbor:"5,keyasint,omitempty"`
	// Recent holds earlier samples of the demand, oldest first. A Collector
	// fills it; it is not sent.
	Recent []Demand `cbor:"-"`
}

// ClassDemand is the work that arrived for one class.
type ClassDemand struct {
	Team  string `cbor:"1,keyasint"`
	Class string `cbor:"2,keyasint"`
	// Requests is the arrival rate, in requests per second.
	Requests float64 `cbor:"3,keyasint"`
	// PromptTokens, without what prefix caches held, and OutputTokens are means
	// per request.
	PromptTokens float64 `cbor:"4,keyasint"`
	OutputTokens float64 `cbor:"5,keyasint"`
	// Worth is the worth of one request.
	Worth float64 `cbor:"6,keyasint"`
}

// Report is one entry's report of its demand.
type Report struct {
	Member string `cbor:"1,keyasint"`
	// Models holds the demand by model name.
	Models map[string]Demand `cbor:"2,keyasint"`
}

// Engine is the view that a planner has of one engine.
type Engine struct {
	Name string
	Role settings.Role
	// Available is false while the engine is changing its role, leaving or
	// failing.
	Available bool
	// Changing is true while an order to change the role is outstanding.
	Changing bool
	// Since is the time at which the engine took its current role; 0 if
	// unknown.
	Since clock.Instant
}

// RoleChange is a role change to start.
type RoleChange struct {
	Engine string
	Role   settings.Role
	// Reason explains the change to operators.
	Reason string
}

// Planner plans the role changes of one model's engines.
type Planner interface {
	// Plan returns the role changes to start now, or none.
	Plan(now clock.Instant, model settings.Model, demand Demand, engines []Engine) []RoleChange
}
