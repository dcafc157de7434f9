package fleet

import (
	"maps"
	"sync"
	"time"
)

// paceWindow is the time over which streams are counted: the counts cover one
// to two windows.
const paceWindow = 4 * time.Second

// Pace counts the streams of a service that ended recently. It tells which phase
// of the engines limits the service.
type Pace struct {
	// Ended counts all streams that sent an event.
	Ended int
	// Tight counts those with a pause near the longest one that is allowed, or
	// beyond it: decode limits them.
	Tight int
	// Late counts those whose first event came after the objective: prefill
	// limits them.
	Late int
}

// Add returns the sum of two counts.
func (p Pace) Add(other Pace) Pace {
	return Pace{Ended: p.Ended + other.Ended, Tight: p.Tight + other.Tight, Late: p.Late + other.Late}
}

// PaceCounter counts this entry's streams by service. It is safe for concurrent
// use.
type PaceCounter struct {
	mu sync.Mutex // guards the fields below
	// started is when the current window began.
	started           time.Time
	current, previous map[string]Pace
}

// NewPaceCounter returns a counter without streams.
func NewPaceCounter() *PaceCounter {
	return &PaceCounter{started: time.Now(), current: make(map[string]Pace)}
}

// Record adds streams that have just ended.
func (c *PaceCounter) Record(service string, p Pace) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now())
	c.current[service] = c.current[service].Add(p)
}

// Recent returns the counts of the current and the previous window.
func (c *PaceCounter) Recent() map[string]Pace {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now())
	out := maps.Clone(c.current)
	for service, p := range c.previous {
		out[service] = out[service].Add(p)
	}
	return out
}

// advance begins a new window if the current one is over. c.mu must be held.
func (c *PaceCounter) advance(now time.Time) {
	switch age := now.Sub(c.started); {
	case age < paceWindow:
		return
	case age < 2*paceWindow:
		c.previous = c.current
	default:
		c.previous = nil
	}
	c.started, c.current = now, make(map[string]Pace)
}
