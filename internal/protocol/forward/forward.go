// Package forward decides which requests an entry forwards to another entry, and to
// which one. A request is forwarded once: an entry that takes it answers it.
package forward

import (
	"slices"
	"time"
)

const (
	// maxPeers is how many peers may be asked to take one request.
	maxPeers = 2
	// minRemaining is the time before a request's deadline from which it isn't forwarded
	// any more: several round trips between availability zones.
	minRemaining = 50 * time.Millisecond
)

// Peer is an entry that takes requests from other entries.
type Peer struct {
	Name string
	// Address is where it takes them, as IP:port.
	Address string
	// TakesWorkspaces is set if it takes requests with the name of a workspace. An entry of
	// an earlier version would run them without it.
	TakesWorkspaces bool
	// Unreachable holds the services of which it reaches no server.
	Unreachable []string
}

// Equal reports whether two peers are the same in all fields.
func (p Peer) Equal(other Peer) bool {
	return p.Name == other.Name && p.Address == other.Address && p.TakesWorkspaces == other.TakesWorkspaces && slices.Equal(p.Unreachable, other.Unreachable)
}

// Filter reports whether a peer may get a request.
type Filter func(Peer) bool

// Reaches returns a filter for the peers that reach servers of a service.
func Reaches(service string) Filter {
	return func(p Peer) bool { return !slices.Contains(p.Unreachable, service) }
}

// TakesWorkspaces is a filter for the peers that take requests with the name of a workspace.
func TakesWorkspaces(p Peer) bool { return p.TakesWorkspaces }

// Except returns a filter for all peers but those at the given addresses.
func Except(addresses ...string) Filter {
	return func(p Peer) bool { return !slices.Contains(addresses, p.Address) }
}

// Pick returns a random one of the peers that pass the filters. random returns an integer
// in [0, n).
func Pick(peers []Peer, random func(n int) int, filters ...Filter) (picked Peer, ok bool) {
	var left []Peer
	for _, p := range peers {
		if !slices.ContainsFunc(filters, func(f Filter) bool { return !f(p) }) {
			left = append(left, p)
		}
	}
	if len(left) == 0 {
		return Peer{}, false
	}
	return left[random(len(left))], true
}

// Options configures a [Picker].
type Options struct {
	// Name is this entry's name.
	Name string
	// Peers returns the entries that take requests from others. The slice is not changed.
	Peers func() []Peer
	// Random returns a random integer in [0, n).
	Random func(n int) int
	Pauses *Pauses
}

// Picker picks the peers for this entry's requests. It is safe for concurrent use.
type Picker struct {
	options Options
}

// NewPicker returns a [Picker].
func NewPicker(o Options) *Picker { return &Picker{options: o} }

// Search is the search for a peer that takes one request. It is used by one goroutine.
type Search struct {
	picker   *Picker
	service  string
	deadline time.Time
	filters  []Filter
	tried    []string
}

// Begin begins the search for a peer that takes a request for a service and passes the
// filters.
func (p *Picker) Begin(service string, deadline time.Time, filters ...Filter) *Search {
	return &Search{picker: p, service: service, deadline: deadline, filters: filters}
}

// next returns the next peer to ask. ok is false if none is left, maxPeers have been asked,
// or the deadline is near. Peers that are paused are asked only if there are no others.
func (s *Search) next() (p Peer, ok bool) {
	o := s.picker.options
	if len(s.tried) >= maxPeers || time.Until(s.deadline) < minRemaining {
		return Peer{}, false
	}
	own := func(p Peer) bool { return p.Name != o.Name }
	filters := append([]Filter{own, Reaches(s.service), Except(s.tried...)}, s.filters...)
	if p, ok = Pick(o.Peers(), o.Random, append(filters, o.Pauses.Open(s.service))...); !ok {
		p, ok = Pick(o.Peers(), o.Random, filters...)
	}
	if ok {
		s.tried = append(s.tried, p.Address)
	}
	return p, ok
}

// Asked returns how many peers have been asked.
func (s *Search) Asked() int { return len(s.tried) }
