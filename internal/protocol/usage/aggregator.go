package usage

import (
	"maps"
	"sync"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// maxCells bounds the counts that a replica keeps, some 16 MB: those of 85 entries
	// with 77 workspaces fill a third of it.
	maxCells = 1 << 18
	// maxAhead is how many windows ahead of a replica's estimate an entry may be.
	maxAhead = 2
	// warmUp is the time after which a replica that has started has the counts of all
	// entries, also of those that first found it unreachable: four times the delay before
	// an entry opens a watch again, and a heartbeat of 200 ms.
	warmUp = time.Second
)

// Aggregator sums up the counts of all entries at one control replica. It is safe for
// concurrent use.
type Aggregator struct {
	clock   clock.Clock
	window  time.Duration
	now     func() (time.Time, bool)
	created clock.Instant

	mu      sync.Mutex // guards the fields below
	windows map[uint64]*summedWindow
	cells   int
	// dropped counts the counts that were left out: of windows that are too old or too far
	// ahead, or beyond maxCells.
	dropped uint64
	// entries holds when entries were heard, by name.
	entries map[string]contact
	// decided is the newest window that this replica has decided, and late the number of
	// requests reported later for such windows.
	decided, late uint64
}

// summedWindow holds the counts of one window by workspace.
type summedWindow map[string]*sum

// sum is the sum of the counts of all incarnations of entries.
type sum struct {
	total  uint64
	counts map[uint64]uint64 // by incarnation
}

// NewAggregator returns an empty aggregator of a replica that starts now. The function now
// returns the true time; ok is false while it isn't known.
func NewAggregator(c clock.Clock, window time.Duration, now func() (t time.Time, ok bool)) *Aggregator {
	return &Aggregator{clock: c, window: window, now: now, created: c.Now(), windows: make(map[uint64]*summedWindow), entries: make(map[string]contact)}
}

// Record adds the counts that an incarnation of an entry reported. Reports that are
// repeated or arrive in another order change nothing.
func (a *Aggregator) Record(incarnation uint64, counts []Count) {
	if a == nil || len(counts) == 0 {
		return
	}
	t, ok := a.now()
	current := WindowOf(t, a.window)
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok {
		a.forget(oldest(current, a.window))
	}
	for _, c := range counts {
		if ok && (c.Window < oldest(current, a.window) || c.Window > current+maxAhead) || !a.add(incarnation, c) {
			a.dropped++
		}
	}
}

// add adds one count and reports whether there was room for it. a.mu must be held.
func (a *Aggregator) add(incarnation uint64, c Count) bool {
	w := a.windows[c.Window]
	if w == nil {
		w = &summedWindow{}
		a.windows[c.Window] = w
	}
	s := (*w)[c.Workspace]
	if s == nil {
		if a.cells >= maxCells {
			return false
		}
		s = &sum{counts: make(map[uint64]uint64, 1)}
		(*w)[c.Workspace] = s
	}
	before, known := s.counts[incarnation]
	if !known {
		if a.cells >= maxCells {
			return false
		}
		a.cells++
	}
	if c.Requests > before || !known {
		s.counts[incarnation] = c.Requests
		s.total += c.Requests - before
		if c.Window <= a.decided {
			a.late += c.Requests - before
		}
	}
	return true
}

// Decided returns how many requests of each workspace began in a window, which is decided
// with that.
func (a *Aggregator) Decided(window uint64) map[string]uint64 {
	a.mu.Lock()
	a.decided = max(a.decided, window)
	a.mu.Unlock()
	return a.Counts(window)
}

// forget drops the windows before a given one. a.mu must be held.
func (a *Aggregator) forget(first uint64) {
	maps.DeleteFunc(a.windows, func(window uint64, w *summedWindow) bool {
		if window >= first {
			return false
		}
		for _, s := range *w {
			a.cells -= len(s.counts)
		}
		return true
	})
}

// Counts returns how many requests of each workspace began in a window.
func (a *Aggregator) Counts(window uint64) map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[string]uint64)
	if w := a.windows[window]; w != nil {
		for workspace, s := range *w {
			if s.total > 0 {
				out[workspace] = s.total
			}
		}
	}
	return out
}

// Oldest returns the oldest window with counts; ok is false if there is none.
func (a *Aggregator) Oldest() (window uint64, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for w := range a.windows {
		if !ok || w < window {
			window, ok = w, true
		}
	}
	return window, ok
}

// Age returns the time since the start.
func (a *Aggregator) Age() time.Duration {
	return a.clock.Now().Sub(a.created)
}

// Complete reports whether the replica runs long enough to have the counts of all entries
// that it reaches.
func (a *Aggregator) Complete() bool {
	return a.Age() >= warmUp
}

// Missed returns the number of requests that were reported after their window was decided
// here, and the number of counts that were left out.
func (a *Aggregator) Missed() (late, dropped uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.late, a.dropped
}
