package reconcile

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// DrainTracker records when this replica first saw that an engine is draining. An
// idle engine counts as drained only once no entry can send it new work any more.
// It is safe for concurrent use.
type DrainTracker struct {
	clock clock.Clock
	// closeDelay is how long entries may still send new work to an engine after
	// its drain was committed.
	closeDelay time.Duration

	mu    sync.Mutex // guards since
	since map[string]clock.Instant
}

// NewDrainTracker returns a tracker without draining engines.
func NewDrainTracker(c clock.Clock, closeDelay time.Duration) *DrainTracker {
	return &DrainTracker{clock: c, closeDelay: closeDelay, since: make(map[string]clock.Instant)}
}

// Track updates the set of draining engines from the settings.
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

// Closed reports whether the engine is draining and no entry can send it new work
// any more.
func (d *DrainTracker) Closed(engine string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	since, ok := d.since[engine]
	return ok && d.clock.Now().Sub(since) >= d.closeDelay
}
