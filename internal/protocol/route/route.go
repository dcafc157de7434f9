// Package route maps requests to backend services by host and longest path
// prefix, with weights where a route is split over several services.
package route

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/workspace"
)

// Kind states whether the requests of a route may be repeated.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe
	// Streaming requests are answered by a stream of events. They count as
	// unsafe unless the route is resumable.
	Streaming
)

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int
}

// Route is one routing rule. It is immutable.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits.
	Timeout time.Duration
	// Objective is the time within which the answer, or its first event, counts
	// as in time.
	Objective time.Duration
	// EventGap is the maximum time between two events that counts as in time;
	// zero if the route is not streaming.
	EventGap time.Duration
	// Priority is the rank of the route's requests; zero is the highest.
	Priority int
	// MaxAttempts is the maximum number of backend servers that one request may
	// run on.
	MaxAttempts int
	// PromptAware is set if requests declare the parts of their prompts.
	PromptAware bool
	// Resumable is set if a stream can be continued at another server from an
	// event id.
	Resumable bool
	// Public routes take requests without a key, where the table has workspaces.
	Public bool
	// Shares holds at least one service; the sum of the weights is above zero.
	Shares []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request; pick is a random number in [0, 1).
func (r *Route) Service(pick float64) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at := pick * float64(total)
	for _, s := range r.Shares {
		at -= float64(s.Weight)
		if at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// ServiceFor returns the service for a stream or call that began with the request of the
// given ID. It is the same at all entries, so that a stream that is taken up again goes
// to the service that began it, and requests are spread by the shares' weights.
func (r *Route) ServiceFor(request string) string {
	sum := sha256.Sum256([]byte(request))
	const significant = 53 // bits of a float64
	return r.Service(float64(binary.BigEndian.Uint64(sum[:])>>(64-significant)) / (1 << significant))
}

// EngineClass describes the engines of a model service.
type EngineClass struct {
	// Slots is the maximum batch size of an engine, in requests.
	Slots int
	// KVTokens is the KV cache capacity of an engine in tokens of TokenBytes
	// each.
	KVTokens   int
	TokenBytes int
	// LinkMbps is the bandwidth between engines in Mbit/s.
	LinkMbps float64
	// HandleTTL is how long the KV cache of a prefilled prompt is kept for
	// fetching.
	HandleTTL time.Duration
	// SwitchTime is how long a change of phase takes.
	SwitchTime time.Duration
}

// Service is a group of identical backend servers.
type Service struct {
	Name string
	// MaxConns is the maximum number of connections that one server accepts.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *EngineClass
	// Scaling is nil if the number of servers is fixed.
	Scaling *Scaling
}

// Scaling holds the limits and prices of a service whose servers can be ordered and
// given back.
type Scaling struct {
	// Min and Max bound the number of servers in each availability zone, of all kinds
	// together.
	Min, Max int
	// Boot is the time from the order of a server until it serves.
	Boot time.Duration
	// ReclaimablePrice is the price of a server that may be reclaimed, as a fraction of
	// that of the others; zero if there are none.
	ReclaimablePrice float64
	// ZonePrices holds the price of a server for a second, by availability zone.
	ZonePrices map[string]float64
}

// Limits bounds what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a complete set of routes. It is immutable after New.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces is nil if the configuration has none: requests then need no keys.
	Workspaces *workspace.Directory

	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*Route
	// tightPauses is the result of TightPauses.
	tightPauses bool
}

// tightPause is the longest pause within streams that counts as tight. Fixed scores don't
// weigh pauses; where they placed streams of a quarter of the engines at half speed, one in
// ten had a pause over 127 ms (docs/design/cost-aware-placement.md).
const tightPause = 150 * time.Millisecond

// TightPauses reports whether a route allows only tight pauses within its streams.
func (t *Table) TightPauses() bool { return t.tightPauses }

// ErrInvalid means that a routing table is invalid.
var ErrInvalid = errors.New("invalid routes")

// RouteError states why a route is invalid.
type RouteError struct {
	// Index is the route's position in the list given to New.
	Index int
	Name  string
	err   error
}

// Error implements error.
func (e *RouteError) Error() string { return fmt.Sprintf("route %d (%q): %v", e.Index, e.Name, e.err) }

// Unwrap returns the reason.
func (e *RouteError) Unwrap() error { return e.err }

// New validates routes and services and returns a table of them. Errors match
// ErrInvalid and give the route and the reason.
func New(version uint64, routes []Route, services []Service, limits Limits) (*Table, error) {
	t := &Table{
		Version:  version,
		Routes:   routes,
		Services: make(map[string]Service, len(services)),
		Limits:   limits,
		byHost:   make(map[string][]*Route),
	}
	for _, s := range services {
		if s.Name == "" {
			return nil, fmt.Errorf("%w: a service has no name", ErrInvalid)
		}
		t.Services[s.Name] = s
	}
	for i := range routes {
		if err := t.add(&routes[i]); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrInvalid, &RouteError{Index: i, Name: routes[i].Name, err: err})
		}
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

// add validates a route and adds it to byHost.
func (t *Table) add(r *Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q must begin and end with a slash", r.Prefix)
	case r.Timeout <= 0:
		return errors.New("timeout must be above zero")
	case r.Kind < Safe || r.Kind > Streaming:
		return errors.New("unknown kind")
	case r.MaxAttempts < 0:
		return errors.New("attempts must not be negative")
	}
	total := 0
	for _, s := range r.Shares {
		if _, ok := t.Services[s.Service]; !ok {
			return fmt.Errorf("unknown service %q", s.Service)
		}
		if s.Weight < 0 {
			return errors.New("a weight is negative")
		}
		total += s.Weight
	}
	if total <= 0 {
		return errors.New("weights add up to zero")
	}
	host := strings.ToLower(r.Host)
	for _, other := range t.byHost[host] {
		if other.Prefix == r.Prefix {
			return fmt.Errorf("host and prefix are those of route %q", other.Name)
		}
	}
	t.byHost[host] = append(t.byHost[host], r)
	t.tightPauses = t.tightPauses || r.Kind == Streaming && r.EventGap > 0 && r.EventGap <= tightPause
	return nil
}

// Match returns the route for a request, or nil if there is none. path is the
// raw path as the caller sent it, without the query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
