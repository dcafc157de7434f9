package retry

import (
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// peakRetention is how long a peak is remembered at least. It is longer than regions
// lose each other for: processes that can't be seen go on.
const peakRetention = 2 * time.Hour

// Peak is the highest number observed within peakRetention, at least, and within twice
// that at most. It is safe for concurrent use.
type Peak struct {
	clock clock.Clock

	mu sync.Mutex // guards the fields below
	// current is the highest number since the given instant, and previous that of the
	// period before.
	current, previous int
	since             clock.Instant
}

// NewPeak returns a peak of zero.
func NewPeak(c clock.Clock) *Peak { return &Peak{clock: c} }

// Observe records a number.
func (p *Peak) Observe(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate()
	p.current = max(p.current, n)
}

// Value returns the highest number.
func (p *Peak) Value() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotate()
	return max(p.current, p.previous)
}

// rotate starts a new period if the current one is over. p.mu must be held.
func (p *Peak) rotate() {
	now := p.clock.Now()
	switch age := now.Sub(p.since); {
	case age >= 2*peakRetention:
		p.previous, p.current, p.since = 0, 0, now
	case age >= peakRetention:
		p.previous, p.current, p.since = p.current, 0, now
	}
}
