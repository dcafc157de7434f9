package outlier

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// rateDecay is the time in which what is known of a backend's failures loses all but
	// 1/e of its weight, and rateAttempts the number of attempts that have weight.
	rateDecay    = 7 * time.Second
	rateAttempts = 12
	// earlierSuccesses is the number of successes that are assumed before the first known
	// failure, as none are counted until then, and priorSuccesses is assumed at any time.
	earlierSuccesses = 6
	priorSuccesses   = 1
	// soundSuccesses is the number of successes in a row after which earlier failures are
	// forgotten.
	soundSuccesses = 5
	// minFailures is the weight of failures below which a backend has no failure rate.
	minFailures = 0.05
	// failingRate is the failure rate, and failingFailures the weight of failures, from
	// which a backend is reported as failing.
	failingRate     = 0.25
	failingFailures = 2
)

// outcomes counts the successes and failures of one backend. Older ones have less
// weight. It is safe for concurrent use.
type outcomes struct {
	mu sync.Mutex // guards the field below
	counts
}

type counts struct {
	successes, failures float64
	// inRow counts the successes since the last failure.
	inRow     int
	countedAt clock.Instant
}

// count adds an outcome.
func (o *outcomes) count(now clock.Instant, failed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	keep := min(o.decay(now), (rateAttempts-1)/max(1, o.successes+o.failures))
	o.successes, o.failures = o.successes*keep, o.failures*keep
	if failed {
		o.failures++
		o.inRow = 0
	} else {
		o.successes++
		o.inRow++
	}
	if o.inRow >= soundSuccesses {
		o.failures = 0
	}
	o.countedAt = now
}

// decay returns the factor by which the counts have lost weight. o.mu must be held.
func (o *outcomes) decay(now clock.Instant) float64 {
	return math.Exp(-now.Sub(o.countedAt).Seconds() / rateDecay.Seconds())
}

// rate returns the part of the attempts that fail, from zero to one; zero if hardly any is
// known.
func (o *outcomes) rate(now clock.Instant) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	decay := o.decay(now)
	failures := o.failures * decay
	if failures < minFailures {
		return 0
	}
	return failures / (failures + o.successes*decay + priorSuccesses)
}

// failing reports whether the backend counts as failing.
func (o *outcomes) failing(now clock.Instant) bool {
	o.mu.Lock()
	failures := o.failures * o.decay(now)
	o.mu.Unlock()
	return failures >= failingFailures && o.rate(now) >= failingRate
}

// rates holds the outcomes of the backends that failed lately. For others it costs one
// atomic load.
type rates struct {
	// failing is copied on write.
	failing atomic.Pointer[map[string]*outcomes]
	mu      sync.Mutex // serialises writers
}

func (r *rates) success(name string, now func() clock.Instant) {
	if o, ok := (*r.failing.Load())[name]; ok {
		o.count(now(), false)
	}
}

func (r *rates) failure(name string, now clock.Instant) {
	o, ok := (*r.failing.Load())[name]
	if !ok {
		o = r.add(name, now)
	}
	o.count(now, true)
}

// add returns the outcomes of a backend that is new, and drops those of backends without
// recent failures.
func (r *rates) add(name string, now clock.Instant) *outcomes {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := *r.failing.Load()
	if o, ok := current[name]; ok {
		return o
	}
	next := make(map[string]*outcomes, len(current)+1)
	for other, o := range current {
		if o.rate(now) > 0 {
			next[other] = o
		}
	}
	o := &outcomes{counts: counts{successes: earlierSuccesses, countedAt: now}}
	next[name] = o
	r.failing.Store(&next)
	return o
}

// snapshot returns a copy of all counts.
func (r *rates) snapshot() map[string]counts {
	current := *r.failing.Load()
	out := make(map[string]counts, len(current))
	for name, o := range current {
		o.mu.Lock()
		out[name] = o.counts
		o.mu.Unlock()
	}
	return out
}

// restore replaces all counts.
func (r *rates) restore(all map[string]counts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := make(map[string]*outcomes, len(all))
	for name, c := range all {
		next[name] = &outcomes{counts: c}
	}
	r.failing.Store(&next)
}

// Failing returns the names of the backends that are ejected or fail a large part of their
// attempts.
func (s *Set) Failing() []string {
	out := s.Ejected()
	failing := *s.rates.failing.Load()
	if len(failing) == 0 {
		return out
	}
	now := s.clock.Now()
	for name, o := range failing {
		if o.failing(now) && !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

// FailureRate returns the part of a backend's recent attempts that failed, from zero to
// one.
func (s *Set) FailureRate(name string) float64 {
	if o, ok := (*s.rates.failing.Load())[name]; ok {
		return o.rate(s.clock.Now())
	}
	return 0
}
