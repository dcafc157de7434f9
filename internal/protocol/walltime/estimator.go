package walltime

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// minSources is the number of clocks, its own included, with which a replica has an
	// estimate: with fewer, one wrong clock can be the median.
	minSources = 3
	// startTime is the time after which a replica makes do with the clocks it has.
	startTime = 2 * time.Second
	// recomputeInterval is how long the median is used before it is computed again.
	recomputeInterval = 50 * time.Millisecond
)

// Estimator is a control replica's estimate of the true time: the median of the clocks of
// all entries and its own. It is safe for concurrent use.
type Estimator struct {
	clock   clock.Clock
	started clock.Instant

	mu      sync.Mutex // guards the fields below
	sources sources
	// most is the largest number of clocks, its own included, that were known at a time.
	most int
	// offset is the newest estimate; known is false before the first one.
	offset     int64
	known      bool
	computedAt clock.Instant
}

// NewEstimator returns an estimator of a replica that starts now.
func NewEstimator(c clock.Clock) *Estimator {
	return &Estimator{clock: c, started: c.Now(), sources: newSources()}
}

// Record adds an entry's reading of its clock, which has just arrived.
func (e *Estimator) Record(entry string, wall time.Time) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sources.record(now, entry, wall)
}

// Now returns the estimate of the true time. ok is false while there is none: no entry has
// reported its clock, or too few have since the start.
func (e *Estimator) Now() (t time.Time, ok bool) {
	now := e.clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || now.Sub(e.computedAt) >= recomputeInterval {
		e.compute(now)
	}
	return time.Unix(0, int64(now)+e.offset), e.known
}

// compute replaces the estimate unless too few clocks are known, in which case the earlier
// one is better: the replica may be cut off, and its own clock may be wrong. e.mu must be
// held.
func (e *Estimator) compute(now clock.Instant) {
	offsets := e.sources.offsets()
	if len(offsets) == 0 {
		return
	}
	offsets = append(offsets, e.clock.Wall().UnixNano()-int64(now))
	e.most = max(e.most, len(offsets))
	started := now.Sub(e.started) >= startTime
	if len(offsets) < minSources && (!started || len(offsets) < e.most) {
		return
	}
	e.offset, e.known, e.computedAt = median(offsets), true, now
}

// Clocks returns the number of clocks that the estimate is based on.
func (e *Estimator) Clocks() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.sources.filters) + 1
}

// Skew returns how far the replica's own clock is ahead of the estimate, or zero if there is
// none.
func (e *Estimator) Skew() time.Duration {
	estimate, ok := e.Now()
	if !ok {
		return 0
	}
	return e.clock.Wall().Sub(estimate)
}
