// Package notice keeps what backend servers announce in their responses: that
// they are leaving, that they want no requests for some time, or how many they
// take in a second. It is built for
// fleets in which a server's own word arrives before the list of servers shows
// it.
package notice

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
	"github.com/lagoonshift/lagoonshift/internal/protocol/limits/ratelimit"
)

const (
	// MaxPause is the longest pause that a server may ask for. It bounds the
	// effect of a wrong value.
	MaxPause = 10 * time.Minute
	// leavingRetention is how long a leaving incarnation is remembered after its
	// last announcement. Servers leave within minutes; an address in an outdated
	// list is gone long before.
	leavingRetention = time.Hour
)

// Notice is what one response announces.
type Notice struct {
	// Leaving is set if the server is about to stop.
	Leaving bool
	// Pause is how long the server wants no requests from this process; zero if
	// it did not ask for a pause.
	Pause time.Duration
	// RateLimit is nil if the response says nothing of a rate limit.
	RateLimit *ratelimit.Limit
	// Sent is when the request was sent.
	Sent clock.Instant
}

// record holds the announcements of one incarnation of a server. It is
// immutable.
type record struct {
	// leavingUntil is when the incarnation's departure may be forgotten.
	leavingUntil clock.Instant
	pausedUntil  clock.Instant
}

func (r record) expired(now clock.Instant) bool {
	return !now.Before(r.leavingUntil) && !now.Before(r.pausedUntil)
}

// Board holds the announcements of all servers by incarnation: only a restart
// ends a departure. It is safe for concurrent use; a look-up costs one atomic
// load.
type Board struct {
	// Limits holds the rate limits.
	Limits  *ratelimit.Limiter
	clock   clock.Clock
	records atomic.Pointer[map[string]record]
	mu      sync.Mutex // serializes writers
}

// NewBoard returns a board without announcements.
func NewBoard(c clock.Clock) *Board {
	b := &Board{clock: c, Limits: ratelimit.NewLimiter(c)}
	b.records.Store(&map[string]record{})
	return b
}

// Post records a server's notice and reports whether it is news: a departure
// that was not known, a pause that ends later than the known one, or another
// rate limit. Pauses longer than MaxPause are shortened to it.
func (b *Board) Post(e fleet.Engine, n Notice) (news bool) {
	if n.RateLimit != nil {
		news = b.Limits.Announce(e, *n.RateLimit, n.Sent)
	}
	if !n.Leaving && n.Pause <= 0 {
		return news
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	current := *b.records.Load()
	next := make(map[string]record, len(current)+1)
	for incarnation, r := range current {
		if !r.expired(now) {
			next[incarnation] = r
		}
	}
	held := next[e.Incarnation()]
	if n.Leaving {
		news = news || !now.Before(held.leavingUntil)
		held.leavingUntil = now.Add(leavingRetention)
	}
	if until := now.Add(min(n.Pause, MaxPause)); n.Pause > 0 && held.pausedUntil.Before(until) {
		news = true
		held.pausedUntil = until
	}
	next[e.Incarnation()] = held
	b.records.Store(&next)
	return news
}

// Open reports whether a server takes requests, apart from its rate limit: it has
// neither announced that it leaves nor asked for a pause that still lasts.
func (b *Board) Open(e fleet.Engine) bool {
	return !b.Leaving(e) && b.PausedFor(e) == 0
}

// Accepts reports whether this entry may send a request to a server now: it is
// open and not at its rate limit.
func (b *Board) Accepts(e fleet.Engine) bool {
	return b.Open(e) && b.Limits.Wait(e) == 0
}

// Leaving reports whether a server has announced that it leaves.
func (b *Board) Leaving(e fleet.Engine) bool {
	r, ok := b.record(e)
	return ok && b.clock.Now().Before(r.leavingUntil)
}

// LeavingAmong returns the IDs of the servers of a view that have announced that
// they leave.
func (b *Board) LeavingAmong(v *fleet.View) []string {
	if len(*b.records.Load()) == 0 {
		return nil
	}
	var out []string
	for e := range v.All() {
		if b.Leaving(e) {
			out = append(out, e.ID)
		}
	}
	return out
}

// PausedFor returns how much longer a server wants no requests; zero if it
// accepts them.
func (b *Board) PausedFor(e fleet.Engine) time.Duration {
	r, ok := b.record(e)
	if !ok {
		return 0
	}
	return max(0, r.pausedUntil.Sub(b.clock.Now()))
}

func (b *Board) record(e fleet.Engine) (record, bool) {
	records := *b.records.Load()
	if len(records) == 0 {
		return record{}, false
	}
	r, ok := records[e.Incarnation()]
	return r, ok
}

// EarliestReturn returns how long it takes until the first of the servers
// accepts requests again. ok is false unless all of them leave, have asked for a
// pause or are at their rate limits, and at least one does not leave.
func (b *Board) EarliestReturn(engines []fleet.Engine) (wait time.Duration, ok bool) {
	for _, e := range engines {
		if e.Leaving || b.Leaving(e) {
			continue
		}
		blocked := max(b.PausedFor(e), b.limitedFor(e))
		if blocked == 0 {
			return 0, false
		}
		if !ok || blocked < wait {
			wait, ok = blocked, true
		}
	}
	return wait, ok
}

// limitedFor returns how long a caller should wait for a server that is at its
// rate limit. An entry without a share of the rate says when the server takes its
// next request from another one.
func (b *Board) limitedFor(e fleet.Engine) time.Duration {
	return min(b.Limits.Wait(e), b.Limits.Interval(e))
}
