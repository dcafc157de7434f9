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
	// until holds the ends of the pauses by address. The map is copied on write.
	until atomic.Pointer[map[string]clock.Instant]
	mu    sync.Mutex // serialises writers
}

// NewPauses returns an empty set.
func NewPauses(c clock.Clock) *Pauses {
	p := &Pauses{clock: c}
	p.until.Store(&map[string]clock.Instant{})
	return p
}

// Open is a filter for the peers that aren't left out.
func (p *Pauses) Open(peer Peer) bool {
	until, paused := (*p.until.Load())[peer.Address]
	return !paused || !p.clock.Now().Before(until)
}

// pause leaves a peer out for d, and drops the pauses that are over.
func (p *Pauses) pause(peer Peer, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now, next := p.clock.Now(), maps.Clone(*p.until.Load())
	maps.DeleteFunc(next, func(_ string, until clock.Instant) bool { return !now.Before(until) })
	next[peer.Address] = max(next[peer.Address], now.Add(d))
	p.until.Store(&next)
}
