package usage

import (
	"maps"
	"sync"
	"time"
)

// maxCounts bounds the counts that an entry keeps: ten times those of an entry that begins
// 100 requests a second, each of another workspace.
const maxCounts = 65_536

// Counter counts the requests that servers began for one entry. It is safe for concurrent
// use. The nil Counter counts nothing.
type Counter struct {
	// window is the length of a window, and now returns the true time.
	window time.Duration
	now    func() time.Time

	mu      sync.Mutex // guards the fields below
	windows map[uint64]*countedWindow
	// kept is the number of counts in all windows, and uncounted the number of requests
	// that found no room among them.
	kept      int
	total     uint64
	uncounted uint64
	// change numbers the changes of counts. sent holds, by replica, the newest change
	// that it was sent.
	change uint64
	sent   map[string]uint64
}

// countedWindow holds the counts of one window by workspace.
type countedWindow struct {
	counts map[string]*cell
	// change is the newest change in the window.
	change uint64
}

type cell struct {
	requests uint64
	change   uint64
}

// NewCounter returns a counter for windows of a given length. The function now returns the
// true time.
func NewCounter(window time.Duration, now func() time.Time) *Counter {
	return &Counter{window: window, now: now, windows: make(map[uint64]*countedWindow), sent: make(map[string]uint64)}
}

// Began counts a request of a workspace that a server has just begun.
func (c *Counter) Began(workspace string) {
	if c == nil || workspace == "" {
		return
	}
	window := WindowOf(c.now(), c.window)
	c.mu.Lock()
	defer c.mu.Unlock()
	w := c.windows[window]
	if w == nil {
		c.forget(oldest(window, c.window))
		w = &countedWindow{counts: make(map[string]*cell)}
		c.windows[window] = w
	}
	n := w.counts[workspace]
	if n == nil {
		if c.kept >= maxCounts {
			c.uncounted++
			return
		}
		n = &cell{}
		w.counts[workspace] = n
		c.kept++
	}
	c.change++
	c.total++
	n.requests++
	n.change, w.change = c.change, c.change
}

// forget drops the windows before a given one. c.mu must be held.
func (c *Counter) forget(first uint64) {
	maps.DeleteFunc(c.windows, func(window uint64, w *countedWindow) bool {
		if window >= first {
			return false
		}
		c.kept -= len(w.counts)
		return true
	})
}

// Pending returns the counts that have changed since the last report to a replica, which
// the caller must send to it; first is set for the first report over a connection, which
// gets all that are kept.
func (c *Counter) Pending(replica string, first bool) []Count {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := c.sent[replica]
	if first {
		sent = 0
	}
	if sent == c.change {
		return nil
	}
	c.sent[replica] = c.change
	var out []Count
	for window, w := range c.windows {
		if w.change <= sent {
			continue
		}
		for workspace, n := range w.counts {
			if n.change > sent {
				out = append(out, Count{Window: window, Workspace: workspace, Requests: n.requests})
			}
		}
	}
	return out
}

// Totals returns how many requests were counted since the start, and how many were not
// because of too many workspaces.
func (c *Counter) Totals() (counted, uncounted uint64) {
	if c == nil {
		return 0, 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.total, c.uncounted
}
