package forward

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// unreachedPause is how long a peer that accepted no connection is left out: until
	// the control replicas have noticed its end.
	unreachedPause = 1200 * time.Millisecond
	// declinedPause is how long a peer is left out that declined a request: until its next
	// report has arrived here.
	declinedPause = 400 * time.Millisecond
)

// Pauses holds the peers that are left out for a moment. It is safe for concurrent use; a
// reader takes no lock.
type Pauses struct {
	clock clock.Clock
	// until holds the ends of the pauses. The map is copied on write.
	until atomic.Pointer[map[pauseKey]clock.Instant]
	mu    sync.Mutex // serialises writers
}

// pauseKey is a peer's address, and the service for which the peer is left out, or "" for all.
type pauseKey struct {
	address, service string
}

// NewPauses returns an empty set.
func NewPauses(c clock.Clock) *Pauses {
	p := &Pauses{clock: c}
	p.until.Store(&map[pauseKey]clock.Instant{})
	return p
}

// Open returns a filter for the peers that aren't left out for a service.
func (p *Pauses) Open(service string) Filter {
	until := *p.until.Load()
	if len(until) == 0 {
		return func(Peer) bool { return true }
	}
	now := p.clock.Now()
	return func(peer Peer) bool {
		return !now.Before(until[pauseKey{peer.Address, ""}]) && !now.Before(until[pauseKey{peer.Address, service}])
	}
}

// pause leaves a peer out for d, and drops the pauses that are over.
func (p *Pauses) pause(key pauseKey, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, next := p.clock.Now(), maps.Clone(*p.until.Load())
	maps.DeleteFunc(next, func(_ pauseKey, until clock.Instant) bool { return !now.Before(until) })
	next[key] = now.Add(d)
	p.until.Store(&next)
}
