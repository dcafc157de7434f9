// Package shutdown decides which requests a process that stops still takes.
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
	// minPaceEvents is the least number of events whose mean distance is a pace: one pause
	// weighs little in it.
	minPaceEvents = 8
	// signalDelay is the time by which a busy process may handle its signal late. Estimates of
	// streams, which may be far too low, end so much earlier.
	signalDelay = 500 * time.Millisecond
)

// Gate remembers how long requests take and, once the process stops, takes only those
// that can be completed before its end. It is safe for concurrent use.
type Gate struct {
	clock clock.Clock
	// stop is nil until Stop.
	stop atomic.Pointer[stop]

	mu sync.Mutex // guards the fields below
	// current holds the figures since the given instant, and previous those of the
	// period before.
	current, previous figures
	since             clock.Instant
}

// stop is when a process stops: at the instant at; requests are taken on estimates until
// estimates, and all must be completed by end.
type stop struct {
	at, estimates, end clock.Instant
}

// figures holds Longest and Requests by route, and the other fields of Recent by service.
type figures struct {
	routes, services map[string]Recent
}

func newFigures() figures {
	return figures{routes: make(map[string]Recent), services: make(map[string]Recent)}
}

// NewGate returns a gate that takes all requests.
func NewGate(c clock.Clock) *Gate {
	return &Gate{clock: c, current: newFigures(), since: c.Now()}
}

// Completed is a request that was answered in full.
type Completed struct {
	Route, Service string
	// Took is its duration, and First the part of it until the first event.
	Took, First time.Duration
	// Events is the number of events of a stream, or zero.
	Events int
}

// Record records a completed request.
func (g *Gate) Record(c Completed) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	r := g.current.routes[c.Route]
	r.Longest, r.Requests = max(r.Longest, c.Took), r.Requests+1
	g.current.routes[c.Route] = r
	if c.Events < minPaceEvents {
		return
	}
	s := g.current.services[c.Service]
	s.First, s.Streams = max(s.First, c.First), s.Streams+1
	s.PerEvent = max(s.PerEvent, (c.Took-c.First)/time.Duration(c.Events-1))
	g.current.services[c.Service] = s
}

// rotate starts a new period if the current one is over. g.mu must be held.
func (g *Gate) rotate() {
	now := g.clock.Now()
	age := now.Sub(g.since)
	if age < recentPeriod {
		return
	}
	g.previous = figures{}
	if age < 2*recentPeriod {
		g.previous = g.current
	}
	g.current, g.since = newFigures(), now
}

// Stop makes the gate take only requests that can be completed within left. Estimates count
// for the time estimates, for streams signalDelay less; then only deadlines do.
func (g *Gate) Stop(left, estimates time.Duration) {
	now := g.clock.Now()
	g.stop.Store(&stop{at: now, estimates: now.Add(estimates), end: now.Add(left)})
}

// Stopping reports whether Stop has been called.
func (g *Gate) Stopping() bool { return g.stop.Load() != nil }

// SinceStop returns the time since Stop, or zero before it.
func (g *Gate) SinceStop() time.Duration {
	if s := g.stop.Load(); s != nil {
		return g.clock.Now().Sub(s.at)
	}
	return 0
}

// Decide decides whether a request that has arrived is taken.
func (g *Gate) Decide(r Request) Decision {
	s := g.stop.Load()
	if s == nil {
		return Decision{Taken: true}
	}
	now, until := g.clock.Now(), s.estimates
	if r.Route.Kind == route.Streaming {
		until = until.Add(-signalDelay)
	}
	return Decide(r, g.recent(r), s.end.Sub(now), now.Before(until))
}

// MayBegin reports whether a request that was taken can still be completed. Estimates count:
// one that came late was taken only because it certainly can.
func (g *Gate) MayBegin(r Request) bool {
	s := g.stop.Load()
	return s == nil || Decide(r, g.recent(r), s.end.Sub(g.clock.Now()), true).Taken
}

// recent returns what is known of a request's route and service.
func (g *Gate) recent(r Request) Recent {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rotate()
	var out Recent
	for _, f := range []figures{g.current, g.previous} {
		byRoute, byService := f.routes[r.Route.Name], f.services[r.Service]
		out.Longest, out.Requests = max(out.Longest, byRoute.Longest), out.Requests+byRoute.Requests
		out.First, out.PerEvent = max(out.First, byService.First), max(out.PerEvent, byService.PerEvent)
		out.Streams += byService.Streams
	}
	return out
}
