// Package route decides which backend service a request goes to: by host and
// longest path prefix, with weights where a route is split.
package route

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind tells what may be done again with a request of a route.
type Kind uint8

const (
	// Safe requests may run more than once.
	Safe Kind = iota + 1
	// Unsafe requests run at most once for each attempt of a caller.
	Unsafe
	// Streaming requests are answered by a series of events. They count as
	// unsafe unless the route is resumable.
	Streaming
)

// Share is one service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route is one rule. It is immutable.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time to the answer, or to its first event, that
	// counts as in time.
	Objective time.Duration
	// EventGap is the longest pause between two events that counts as in
	// time; zero if the route is no stream.
	EventGap time.Duration
	// Priority is the rank; zero comes first.
	Priority int
	// MaxAttempts is the number of backend servers that one request may run on.
	MaxAttempts int
	// PromptAware is set if requests declare their prompt's parts.
	PromptAware bool
	// Resumable streams may go on at another server after an event id.
	Resumable bool
	// Shares has one service or more, with weights that add up to more than
	// zero.
	Shares []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || r.Kind == Streaming && r.Resumable
}

// Service returns the service for a request; pick is a number from 0 up to,
// but not including, 1.
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

// EngineClass holds what engines of a model service can do.
type EngineClass struct {
	// Slots is the number of requests that an engine batches.
	Slots int
	// KVTokens is the memory of an engine in tokens, of TokenBytes each.
	KVTokens   int
	TokenBytes int
	// LinkMbps is the speed of transfers between engines.
	LinkMbps float64
	// HandleTTL is how long a prefilled prompt is kept to be fetched.
	HandleTTL time.Duration
	// SwitchTime is how long a change of phase takes.
	SwitchTime time.Duration
}

// Service is a group of equal backend servers.
type Service struct {
	Name string
	// MaxConns bounds the connections that one server accepts.
	MaxConns int
	// Engine is nil for a plain service.
	Engine *EngineClass
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is a whole set of routes. It is immutable after New.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// byHost holds each host's routes, the longest prefix first.
	byHost map[string][]*Route
}

// ErrInvalid means that a table breaks a rule.
var ErrInvalid = errors.New("invalid routes")

// New checks a table's parts and returns it. Errors match ErrInvalid and name
// the route and the reason.
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
			return nil, fmt.Errorf("%w: route %d (%q): %w", ErrInvalid, i, routes[i].Name, err)
		}
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t, nil
}

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
	return nil
}

// Match returns the route for a request, or nil. The path is the raw one as
// the caller sent it, without its query.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}
