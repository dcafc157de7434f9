package shutdown

import (
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

const (
	// unknownObjectives is how long a call takes of whose route none has been
	// completed of late, as a multiple of the route's objective.
	unknownObjectives = 4
	// firstObjectives is the least time to a stream's first event that is expected, as a
	// multiple of the route's objective.
	firstObjectives = 2
	// minStreams is the number of completed streams of a route from which the longest of them
	// is the estimate, whatever others declare.
	minStreams = 8
	// streamMargin is the factor by which a stream may take longer than its declared output
	// takes at the slowest recent pace.
	streamMargin = 1.2
)

// Request is what is known of a request before it runs.
type Request struct {
	Route *route.Route
	// Service is the name of the service that runs it.
	Service string
	// Wait is how long its caller waits at most, within the route's timeout.
	Wait time.Duration
	// Output is the largest number of output tokens that the request declares, or zero. An
	// event has one or more of them.
	Output int
}

// Recent is what requests took of late.
type Recent struct {
	// Longest is the longest duration of the route's requests, and Requests their number.
	Longest  time.Duration
	Requests int
	// First is the longest time to the first event of the service's streams, PerEvent the
	// longest mean time between the events of one, and Streams their number.
	First, PerEvent time.Duration
	Streams         int
}

// Decision is whether a request is taken, and what that is based on.
type Decision struct {
	Taken bool
	// Expected is how long the request takes at most, as far as is known, and Basis
	// what that follows from.
	Expected time.Duration
	Basis    Basis
	// Samples is how many completed requests Expected is based on.
	Samples int
	// Left is the time until all requests must be completed.
	Left time.Duration
}

// Basis is what the expected duration of a request follows from.
type Basis uint8

const (
	// Running means that the process does not stop, so nothing is expected.
	Running Basis = iota
	// CallerWaits means that the request ends by its deadline. No other basis is certain.
	CallerWaits
	// RecentRequests means the longest recent request of the route.
	RecentRequests
	// RouteSettings means the objective of the route.
	RouteSettings
	// DeclaredOutput means the declared output at the slowest recent pace of the service,
	// or, without one, with the longest pauses that the route allows.
	DeclaredOutput
)

var basisNames = []string{"running", "deadline", "recent requests", "settings of the route", "declared output"}

// String returns the name of the basis.
func (b Basis) String() string { return basisNames[b] }

// Decide reports whether a request can be completed, or will have ended by itself, within
// the time left. Unless estimates are allowed, only the caller's deadline counts.
func Decide(r Request, recent Recent, left time.Duration, estimates bool) Decision {
	d := Decision{Expected: r.Wait, Basis: CallerWaits}
	if estimates {
		if e, ok := estimate(r, recent); ok && e.Expected < d.Expected {
			d = e
		}
	}
	d.Left, d.Taken = left, d.Expected < left
	return d
}

// estimate returns how long a request takes at most, as far as recent ones and its declared
// output show it. ok is false if they don't.
func estimate(r Request, recent Recent) (d Decision, ok bool) {
	byRecent := Decision{Expected: recent.Longest, Basis: RecentRequests, Samples: recent.Requests}
	if r.Route.Kind != route.Streaming {
		if recent.Requests > 0 {
			return byRecent, true
		}
		return Decision{Expected: unknownObjectives * r.Route.Objective, Basis: RouteSettings}, r.Route.Objective > 0
	}
	if recent.Requests >= minStreams {
		return byRecent, true
	}
	perEvent := recent.PerEvent
	if perEvent == 0 {
		perEvent = r.Route.EventGap
	}
	if r.Output <= 0 || perEvent <= 0 {
		return Decision{}, false
	}
	first := max(recent.First, firstObjectives*r.Route.Objective)
	declared := time.Duration(streamMargin * float64(first+time.Duration(r.Output)*perEvent))
	if recent.Longest > declared {
		return byRecent, true
	}
	return Decision{Expected: declared, Basis: DeclaredOutput, Samples: recent.Streams}, true
}
