// Package settings holds the dynamic configuration: a tree with one subtree
// for each team, model and service. Operators change it at run time, and it is
// part of the replicated state.
package settings

import (
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/strictjson"
)

// Configuration is one accepted version of the whole tree, decoded and
// validated. It is immutable and shared by readers; each new version is a new
// Configuration.
type Configuration struct {
	// Version is the log index of the newest settings command that this
	// configuration reflects.
	Version uint64 `json:"-"`
	// System applies to the whole deployment.
	System System `json:"system"`
	// Teams holds the request classes and customers of each team by name.
	Teams map[string]Team `json:"teams"`
	// Models holds the model deployments and their engines by model name.
	Models map[string]Model `json:"models"`
	// Services holds the services other than models by name.
	Services map[string]Service `json:"services"`
	// Operators holds the operators and the subtrees that each may change. It
	// is not sent to entries.
	Operators map[string]Operator `json:"operators"`
	// Zones lists the availability zones that the settings may refer to; nil
	// means that they are unknown and not checked.
	Zones []string `json:"-"`
	// Members holds the entry processes by name.
	Members map[string]member.Member `json:"-"`
	// VMs holds the VMs that were observed as leaving, by IP address.
	VMs map[string]member.VM `json:"-"`

	// ClosedEngines holds the engines that an outstanding order closes to new
	// work, by name.
	ClosedEngines map[string]ClosedEngine `json:"-"`

	// closedURLs holds the base URLs of engines and backend servers on leaving
	// VMs and of closed engines.
	closedURLs map[string]bool
}

// ClosedToNewWork reports whether the engine or backend server with the given base
// URL must get no new work, because its VM is leaving or an order closes it.
func (c *Configuration) ClosedToNewWork(baseURL string) bool {
	return c.closedURLs[baseURL]
}

// ClosedEngine is an engine that an order closes to new work.
type ClosedEngine struct {
	// Order is the ID of the order.
	Order string `json:"order"`
}

// System holds deployment-wide settings.
type System struct {
	// AddressTTL is how long a caller may cache an address answer.
	AddressTTL strictjson.Duration `json:"address_ttl"`
	// LedgerRetention is how long the ledger keeps the outcomes of
	// non-idempotent calls.
	LedgerRetention strictjson.Duration `json:"ledger_retention"`
	// OldSystem lists the old system's entry addresses, as base URLs.
	OldSystem []string `json:"old_system,omitempty"`
	// WeightStoreRate limits the total bandwidth of weight loads from the
	// weight store, in bytes per second; zero allows no load.
	WeightStoreRate int64 `json:"weight_store_rate,omitempty"`
}

// Team is the subtree of one team.
type Team struct {
	// Classes holds the team's request classes by name.
	Classes map[string]Class `json:"classes"`
	// Customers holds the team's customers by name.
	Customers map[string]Customer `json:"customers,omitempty"`
}

// Class is a request class.
type Class struct {
	// Model names the model deployment that serves the class.
	Model string `json:"model"`
	// ExpectedWait is the longest wait after which a response still counts
	// towards goodput.
	ExpectedWait strictjson.Duration `json:"expected_wait"`
	// Worth is the weight of one response in goodput.
	Worth float64 `json:"worth"`
	// Priority is passed to the engine; a higher number is served first.
	Priority int `json:"priority,omitempty"`
	// OldSystemShare is the fraction of callers that is sent to the old
	// system, from 0 to 1.
	OldSystemShare float64 `json:"old_system_share,omitempty"`
}

// Customer holds the limits of one customer.
type Customer struct {
	// Share is the customer's weight when capacity is divided under overload.
	Share float64 `json:"share"`
	// MaxConcurrent limits the customer's requests in progress; 0 means no
	// limit.
	MaxConcurrent int `json:"max_concurrent,omitempty"`
	// OldSystemShare overrides Class.OldSystemShare for this customer if set.
	OldSystemShare *float64 `json:"old_system_share,omitempty"`
}

// Model is one model deployment.
type Model struct {
	// Engines holds the engines by name.
	Engines map[string]Engine `json:"engines"`
	// RolePrice is the cost of one role change, in worth.
	RolePrice float64 `json:"role_price"`
	// MinPrefill and MinDecode are the minimum numbers of engines in those
	// roles.
	MinPrefill int `json:"min_prefill,omitempty"`
	MinDecode  int `json:"min_decode,omitempty"`
	// Weights lists the weights that each engine of the model must have
	// loaded.
	Weights []Weights `json:"weights,omitempty"`
	// Speeds holds the speed of an engine in each role; a role that is not
	// listed has its speed from the default table of package speed.
	Speeds map[Role]Speed `json:"speeds,omitempty"`
}

// Weights identifies weights in the weight store.
type Weights struct {
	// Kind is "model", "adapter" or "version".
	Kind string `json:"kind"`
	// Name and Version identify the weights.
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Speed is the performance of one engine in one role.
type Speed struct {
	// PrefillRate is the prefill throughput in prompt tokens per second.
	PrefillRate float64 `json:"prefill_rate"`
	// StepBase is the duration of a decode step apart from the time that each
	// sequence of the batch adds.
	StepBase strictjson.Duration `json:"step_base"`
	// StepPerSequence is the time that each sequence of the batch adds to a
	// decode step.
	StepPerSequence strictjson.Duration `json:"step_per_sequence"`
	// MaxSequences is the maximum number of sequences in a batch.
	MaxSequences int `json:"max_sequences"`
	// PrefillShare is the fraction of the engine's time that prefill takes
	// while sequences are being decoded, above 0 and below 1.
	PrefillShare float64 `json:"prefill_share"`
}

// Engine is one model engine.
type Engine struct {
	// URL is the engine's base URL.
	URL string `json:"url"`
	// Zone is the engine's availability zone.
	Zone string `json:"zone"`
	// ChecksFencing reports whether the engine rejects stale fencing tokens.
	ChecksFencing bool `json:"checks_fencing"`
	// Authority is the system that may send orders to the engine.
	Authority OrderAuthority `json:"authority"`
	// Drain stops new work for the engine.
	Drain bool `json:"drain,omitempty"`
	// Role pins the engine's role; if empty, the role planner chooses it.
	Role Role `json:"role,omitempty"`
}

// OrderAuthority is the system that may send orders to an engine.
type OrderAuthority string

const (
	// AuthorityLagoonshift lets this system send orders to the engine.
	AuthorityLagoonshift OrderAuthority = "lagoonshift"
	// AuthorityOldSystem lets only the old system send orders to the engine.
	AuthorityOldSystem OrderAuthority = "old-system"
)

// Role is the kind of work that an engine is configured for.
type Role string

const (
	// RolePrefill is optimized for long prompts.
	RolePrefill Role = "prefill"
	// RoleDecode is optimized for long outputs.
	RoleDecode Role = "decode"
	// RoleMixed serves both at intermediate rates.
	RoleMixed Role = "mixed"
)

// Service is one service other than the models.
type Service struct {
	// Backends holds the backend servers by name.
	Backends map[string]Backend `json:"backends"`
	// Calls holds the service's calls by path, such as "bookings".
	Calls map[string]Call `json:"calls"`
}

// Backend is one backend server of a service.
type Backend struct {
	// URL is the backend server's base URL.
	URL string `json:"url"`
	// Zone is its availability zone.
	Zone string `json:"zone"`
	// Drain stops new work for the backend server.
	Drain bool `json:"drain,omitempty"`
}

// Call describes one call of a service.
type Call struct {
	// Idempotent reports whether the call may be retried.
	Idempotent bool `json:"idempotent"`
	// Timeout is the time limit of one attempt.
	Timeout strictjson.Duration `json:"timeout"`
	// Lookup is a path at the service that returns the outcome for an
	// idempotency key whose response was lost; empty if there is none.
	Lookup string `json:"lookup,omitempty"`
}

// Operator is a person or program that may change settings.
type Operator struct {
	// TokenSHA256 is the hex SHA-256 of the operator's token.
	TokenSHA256 string `json:"token_sha256"`
	// Subtrees lists the path prefixes that the operator may change.
	Subtrees []string `json:"subtrees"`
}
