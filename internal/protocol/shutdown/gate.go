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
	// end is the clock.Instant by which all requests must be completed, or zero.
	end atomic.Int64

	mu sync.Mutex // guards the fields below
	// current holds the longest durations by route since the given instant, and
	// previous those of the period before.
	current, previous map[string]time.Duration
	since             clock.Instant
}

// NewGate returns a gate that takes all requests.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c, current: make(map[string]time.Duration), since: c.Now()}
}

// Record records how long a request of a route took.
func (g *Gate) Record(name string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	g.current[name] = max(g.current[name], took)
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
	g.current, g.since = make(map[string]time.Duration), now
}

// Stop makes the gate take only requests that can be completed within the given time.
func (g *Gate) Stop(left time.Duration) { g.end.Store(int64(g.clock.Now().Add(left))) }

// Stopping reports whether Stop has been called.
func (g *Gate) Stopping() bool { return g.end.Load() != 0 }

// Takes reports whether a request that its caller waits for until timeout can be
// completed, or will have ended by then.
func (g *Gate) Takes(r *route.Route, timeout time.Duration) bool {
	if !g.Stopping() {
		return true
	}
	left := clock.Instant(g.end.Load()).Sub(g.clock.Now())
	return min(timeout, g.expected(r)) < left
}

// expected returns how long a request takes at most, as far as is known.
func (g *Gate) expected(r *route.Route) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	if longest := max(g.current[r.Name], g.previous[r.Name]); longest > 0 {
		return longest
	}
	if r.Objective > 0 {
		return unknownObjectives * r.Objective
	}
	return r.Timeout
}
