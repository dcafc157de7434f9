// Package shutdown decides which requests a process still takes after it has been told to
// stop.
package shutdown

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

const (
	// recentPeriod is the time for which durations are remembered at least.
	recentPeriod = 15 * time.Second
	// unknownObjectives is how long a request takes of whose route none has been
	// completed of late, as a multiple of the route's objective.
	unknownObjectives = 4
)

// Gate remembers how long requests take and, once the process stops, takes only those
// that can be completed before its end. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock
	// end is the clock.Instant by which all requests must be completed, or zero; stopped is
	// that of Stop.
	end, stopped atomic.Int64

	mu sync.Mutex // guards the fields below
	// current holds the longest durations by route since the given instant, and
	// previous those of the period before.
	current, previous map[string]durations
	since             clock.Instant
}

// durations are those of the completed requests of a route.
type durations struct {
	longest time.Duration
	count   int
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
	// CallerWaits means that the request ends by its deadline.
	CallerWaits
	// RecentRequests means the longest recent request of the route.
	RecentRequests
	// RouteSettings means the objective or the timeout of the route.
	RouteSettings
)

var basisNames = []string{"running", "deadline", "recent requests", "settings of the route"}

// String returns the name of the basis.
func (b Basis) String() string { return basisNames[b] }

// NewGate returns a gate that takes all requests.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c, current: make(map[string]durations), since: c.Now()}
}

// Record records how long a request of a route took.
func (g *Gate) Record(name string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	d := g.current[name]
	g.current[name] = durations{longest: max(d.longest, took), count: d.count + 1}
}

// rotate starts a new period if the current one is over. g.mu must be held.
func (g *Gate) rotate() {
	now := g.clock.Now()
	age := now.Sub(g.since)
	if age < recentPeriod {
		return
	}
	g.previous = nil
	if age < 2*recentPeriod {
		g.previous = g.current
	}
	g.current, g.since = make(map[string]durations), now
}

// Stop makes the gate take only requests that can be completed within the given time.
func (g *Gate) Stop(left time.Duration) {
	now := g.clock.Now()
	g.stopped.Store(int64(now))
	g.end.Store(int64(now.Add(left)))
}

// SinceStop returns the time since Stop, or zero before it.
func (g *Gate) SinceStop() time.Duration {
	if !g.Stopping() {
		return 0
	}
	return g.clock.Now().Sub(clock.Instant(g.stopped.Load()))
}

// Stopping reports whether Stop has been called.
func (g *Gate) Stopping() bool { return g.end.Load() != 0 }

// Decide reports whether a request that its caller waits for until timeout can be
// completed, or will have ended by then.
func (g *Gate) Decide(r *route.Route, timeout time.Duration) Decision {
	if !g.Stopping() {
		return Decision{Taken: true}
	}
	d := g.expected(r)
	if timeout < d.Expected {
		d = Decision{Expected: timeout, Basis: CallerWaits}
	}
	d.Left = clock.Instant(g.end.Load()).Sub(g.clock.Now())
	d.Taken = d.Expected < d.Left
	return d
}

// expected returns how long a request takes at most, as far as is known.
func (g *Gate) expected(r *route.Route) Decision {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	a, b := g.current[r.Name], g.previous[r.Name]
	if n := a.count + b.count; n > 0 {
		return Decision{Expected: max(a.longest, b.longest), Basis: RecentRequests, Samples: n}
	}
	if r.Objective > 0 {
		return Decision{Expected: unknownObjectives * r.Objective, Basis: RouteSettings}
	}
	return Decision{Expected: r.Timeout, Basis: RouteSettings}
}
