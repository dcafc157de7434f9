package reconcile

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// DrainTracker remembers since when this replica has known that an engine drains.
// An engine that is idle counts as drained only when no entry can send it new
// work any more. It is safe for concurrent use.
type DrainTracker struct {
	clock clock.Clock
	// closing is how long entries may send new work after a drain's commit.
	closing time.Duration

	mu    sync.Mutex // guards since
	since map[string]clock.Instant
}

// NewDrainTracker returns a tracker that knows of no drain.
func NewDrainTracker(c clock.Clock, closing time.Duration) *DrainTracker {
	return &DrainTracker{clock: c, closing: closing, since: make(map[string]clock.Instant)}
}

// Track takes the drains from the settings.
func (d *DrainTracker) Track(c *settings.Configuration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	next := make(map[string]clock.Instant)
	for _, model := range c.Models {
		for name, engine := range model.Engines {
			if !engine.Drain {
				continue
			}
			next[name] = now
			if since, ok := d.since[name]; ok {
				next[name] = since
			}
		}
	}
	d.since = next
}

// Closed reports whether no entry sends new work to the engine any more.
func (d *DrainTracker) Closed(engine string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.since[engine]
	return ok && d.clock.Now().Sub(since) >= d.closing
}
