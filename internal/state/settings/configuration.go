// Package settings holds the dynamic configuration: a tree with one subtree
// for each team, model and service, changed by operators while the system
// runs and kept in the replicated state.
package settings

import (
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Configuration is one accepted version of the whole tree, decoded and
// checked. It is immutable: readers share it and a new version replaces it
// whole.
type Configuration struct {
	// Version is the log index of the newest settings command that this
	// configuration reflects.
	Version uint64 `json:"-"`
	// System applies to the whole deployment.
	System System `json:"system"`
	// Teams holds classes of work and customers by team.
	Teams map[string]Team `json:"teams"`
	// Models holds the model deployments and their engines.
	Models map[string]Model `json:"models"`
	// Services holds the plain services.
	Services map[string]Service `json:"services"`
	// Operators holds who may change which subtrees. Entries do not get it.
	Operators map[string]Operator `json:"operators"`
	// Zones lists the availability zones that the settings may name; nil
	// means that they are not known here.
	Zones []string `json:"-"`
	// Members holds the entry processes by name.
	Members map[string]member.Member `json:"-"`
	// VMs holds the VMs that were seen leaving, by IP address.
	VMs map[string]member.VM `json:"-"`

	// ClosedEngines holds the engines that an outstanding order closes to new work,
	// by name.
	ClosedEngines map[string]ClosedEngine `json:"-"`

	// closedURLs holds the URLs of backend servers on closedURLs VMs and of closed
	// engines.
	closedURLs map[string]bool
}

// Leaving reports whether the engine or backend server with the given base
// URL is on a VM that is leaving or is closed by an order, so that it gets no
// new work.
func (c *Configuration) Leaving(baseURL string) bool {
	return c.closedURLs[baseURL]
}

// ClosedEngine tells why an engine takes no new work.
type ClosedEngine struct {
	// Order is the ID of the order that closes it.
	Order string `json:"order"`
}

// System holds deployment-wide settings.
type System struct {
	// AddressTTL is how long a caller may keep an address answer.
	AddressTTL strictjson.Duration `json:"address_ttl"`
	// LedgerRetention is how long outcomes of non-idempotent calls are kept.
	LedgerRetention strictjson.Duration `json:"ledger_retention"`
	// OldSystem lists the old system's entry addresses, as base URLs.
	OldSystem []string `json:"old_system,omitempty"`
	// WeightStoreRate is what all loads together may take from the weight
	// store, in bytes per second; zero allows no load.
	WeightStoreRate int64 `json:"weight_store_rate,omitempty"`
}

// Team is the subtree of one team.
type Team struct {
	// Classes holds the team's classes of work.
	Classes map[string]Class `json:"classes"`
	// Customers holds limits by customer.
	Customers map[string]Customer `json:"customers,omitempty"`
}

// Class is one class of work.
type Class struct {
	// Model names the model deployment that serves the class.
	Model string `json:"model"`
	// ExpectedWait is the longest time after which an answer still counts.
	ExpectedWait strictjson.Duration `json:"expected_wait"`
	// Worth is the weight of one answer in goodput.
	Worth float64 `json:"worth"`
	// Priority is handed to the engine; a higher number goes first.
	Priority int `json:"priority,omitempty"`
	// OldSystemShare is the part of callers sent to the old system, 0 to 1.
	OldSystemShare float64 `json:"old_system_share,omitempty"`
}

// Customer limits one customer.
type Customer struct {
	// Share is the customer's weight when capacity is short.
	Share float64 `json:"share"`
	// MaxConcurrent bounds the customer's requests in progress; 0 is no bound.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// OldSystemShare overrides the class's share for this customer.
	OldSystemShare *float64 `json:"old_system_share,omitempty"`
}

// Model is one model deployment.
type Model struct {
	// Engines holds the engines by name.
	Engines map[string]Engine `json:"engines"`
	// RolePrice is the cost of one role change, in worth.
	RolePrice float64 `json:"role_price"`
	// MinPrefill and MinDecode bound the number of engines in those roles
	// from below.
	MinPrefill int `json:"min_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
	// Weights lists what each engine of the model must have loaded.
	Weights []Weights `json:"weights,omitempty"`
	// Speeds says how fast the engines work in each role; a role that is not
	// listed has the speed of package speed's default table.
	Speeds map[Role]Speed `json:"speeds,omitempty"`
}

// Weights names weights in the weight store.
type Weights struct {
	// Kind is "model", "adapter" or "version".
	Kind string `json:"kind"`
	// Name and Version identify the weights.
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Speed is how fast one engine works in one role.
type Speed struct {
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// StepBase is the part of a decode step that does not depend on the batch.
	StepBase strictjson.Duration `json:"step_base"`
	// StepPerSequence is what each sequence of the batch adds to a step.
	StepPerSequence strictjson.Duration `json:"step_per_sequence"`
	// MaxSequences bounds the batch.
	MaxSequences int `json:"max_sequences"`
	// PrefillShare is the part of the engine's time that prefill takes while
	// sequences are being decoded, above 0 and below 1.
	PrefillShare float64 `json:"prefill_share"`
}

// Engine is one model engine.
type Engine struct {
	// URL is the engine's base URL.
	URL string `json:"url"`
	// Zone is the engine's availability zone.
	Zone string `json:"zone"`
	// ChecksFencing tells whether the engine refuses old fencing numbers.
	ChecksFencing bool `json:"checks_fencing"`
	// Authority names who may order the engine.
	Authority OrderAuthority `json:"authority"`
	// Drain asks that the engine gets no new work.
	Drain bool `json:"drain,omitempty"`
	// Role pins the engine's role; empty leaves it to the planner.
	Role Role `json:"role,omitempty"`
}

// OrderAuthority names the side that may order an engine.
type OrderAuthority string

const (
	// AuthorityLagoonshift lets this system order the engine.
	AuthorityLagoonshift OrderAuthority = "lagoonshift"
	// AuthorityOldSystem leaves the engine's orders to the old system.
	AuthorityOldSystem OrderAuthority = "old-system"
)

// Role is the part that an engine plays.
type Role string

const (
	// RolePrefill is tuned for long prompts.
	RolePrefill Role = "prefill"
	// RoleDecode is tuned for long outputs.
	RoleDecode Role = "decode"
	// RoleMixed serves both at middling rates.
	RoleMixed Role = "mixed"
)

// Service is one plain service beside the model engines.
type Service struct {
	// Backends holds the backend servers by name.
	Backends map[string]Backend `json:"backends"`
	// Calls lists the service's calls by path, such as "bookings".
	Calls map[string]Call `json:"calls"`
}

// Backend is one backend server of a plain service.
type Backend struct {
	// URL is the backend server's base URL.
	URL string `json:"url"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Drain asks that the backend server gets no new work.
	Drain bool `json:"drain,omitempty"`
}

// Call describes one call of a plain service.
type Call struct {
	// Idempotent tells whether the call may be repeated.
	Idempotent bool `json:"idempotent"`
	// Timeout bounds one attempt.
	Timeout strictjson.Duration `json:"timeout"`
	// Lookup is a path at the service that tells the outcome of a key whose
	// answer was lost; empty if there is none.
	Lookup string `json:"lookup,omitempty"`
}

// Operator is a person or program that may change settings.
type Operator struct {
	// TokenSHA256 is the hex SHA-256 of the operator's token.
	TokenSHA256 string `json:"token_sha256"`
	// Subtrees lists the path prefixes that the operator may change.
	Subtrees []string `json:"subtrees"`
}
