package walltime

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Follower is an entry's view of the true time: the median of the estimates that control
// replicas send. It is safe for concurrent use.
type Follower struct {
	clock clock.Clock

	mu      sync.Mutex // guards the fields below
	sources sources
	// offset is the newest estimate; known is false before the first one.
	offset int64
	known  bool
}

// NewFollower returns a follower without an estimate.
func NewFollower(c clock.Clock) *Follower {
	return &Follower{clock: c, sources: newSources()}
}

// Record adds an estimate of a control replica, which has just arrived.
func (f *Follower) Record(replica string, estimate time.Time) {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources.record(now, replica, estimate)
	f.offset, f.known = median(f.sources.offsets()), true
}

// Now returns the true time as far as it is known: by the newest estimate, however old that
// is, or by the process's own time of day before the first one.
func (f *Follower) Now() time.Time {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return f.clock.Wall()
	}
	return time.Unix(0, int64(now)+f.offset)
}

// Skew returns how far the process's own time of day is ahead of the estimate, or zero if
// there is none.
func (f *Follower) Skew() time.Duration {
	return f.clock.Wall().Sub(f.Now())
}
