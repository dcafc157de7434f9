// Package outlier ejects backend servers that keep failing and probes them
// before they get work again.
package outlier

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject a backend.
	ejectionThreshold = 3
	// firstEjection is the length of a first ejection; it doubles with each
	// failed probe up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 30 * time.Second
	// missingGracePeriod is how long after its ejection a backend is still said to be
	// missing: the time in which the next attempt is due.
	missingGracePeriod = time.Second
)

// Health is one backend server's record. It is immutable.
type Health struct {
	// Failures counts consecutive failures.
	Failures int
	// Ejections counts ejections without a success in between.
	Ejections int
	// EjectedUntil is the end of the current ejection.
	EjectedUntil clock.Instant
	// Missing is set if the last attempt found nobody at the backend's
	// address.
	Missing bool
	// Probing is true while one attempt tests an ejected backend.
	Probing bool
}

// Ejected reports whether the backend gets no work at the instant now.
func (h Health) Ejected(now clock.Instant) bool {
	return now.Before(h.EjectedUntil)
}

// Failed returns the record after a failure. Failures of attempts that began
// before an ejection change nothing; a failed probe ejects for longer.
func (h Health) Failed(now clock.Instant) Health {
	if h.Ejected(now) && !h.Probing {
		return h
	}
	h.Missing = false
	h.Failures++
	if h.Failures < ejectionThreshold && h.Ejections == 0 {
		return h
	}
	h.EjectedUntil = now.Add(ejectionTime(h.Ejections))
	h.Ejections++
	h.Probing = false
	return h
}

// Unanswered returns the record after an attempt that a backend left without any
// answer: one such failure ejects.
func (h Health) Unanswered(now clock.Instant) Health {
	h.Failures = max(h.Failures, ejectionThreshold-1)
	return h.Failed(now)
}

// Unreachable returns the record after an attempt that found nobody at the backend's
// address: one such failure ejects.
func (h Health) Unreachable(now clock.Instant) Health {
	h = h.Unanswered(now)
	h.Missing = true
	return h
}

// ProbeStarted returns the record after a probe started: the backend stays ejected
// for everybody else until the probe ends or its time is over.
func (h Health) ProbeStarted(now clock.Instant) Health {
	h.EjectedUntil = now.Add(ejectionTime(h.Ejections))
	h.Probing = true
	return h
}

func ejectionTime(count int) time.Duration {
	d := firstEjection
	for range count {
		d = min(2*d, maxEjection)
	}
	return d
}

// Set holds the records of all backend servers. It is safe for concurrent use;
// backends that never failed cost one atomic load.
type Set struct {
	clock clock.Clock
	// failing holds the records of backends that failed lately, replaced
	// whole.
	failing atomic.Pointer[map[string]Health]
	mu      sync.Mutex // serialises writers
}

// NewSet returns a set in which every backend is healthy.
func NewSet(c clock.Clock) *Set {
	s := &Set{clock: c}
	s.failing.Store(&map[string]Health{})
	return s
}

// Ejected returns the names of the backends that get no work now.
func (s *Set) Ejected() []string {
	ailing := *s.failing.Load()
	if len(ailing) == 0 {
		return nil
	}
	now := s.clock.Now()
	var out []string
	for name, health := range ailing {
		if health.Ejected(now) {
			out = append(out, name)
		}
	}
	return out
}

// Missing returns the names of the backends that were not found at their
// addresses, until an attempt reaches them or missingHold after their ejection
// if none is made.
func (s *Set) Missing() []string {
	now := s.clock.Now()
	var out []string
	for name, health := range *s.failing.Load() {
		if health.Missing && now.Before(health.EjectedUntil.Add(missingGracePeriod)) {
			out = append(out, name)
		}
	}
	return out
}

// Start tells that an attempt goes to a backend. If it is the first after an
// ejection, it is a probe and the others keep off.
func (s *Set) Start(name string) {
	if _, ok := (*s.failing.Load())[name]; !ok {
		return
	}
	s.update(name, func(h Health, now clock.Instant) (Health, bool) {
		if h.Ejections == 0 || h.Ejected(now) {
			return h, true
		}
		return h.ProbeStarted(now), true
	})
}

// Success tells that a backend answered well.
func (s *Set) Success(name string) {
	if _, ok := (*s.failing.Load())[name]; !ok {
		return
	}
	s.update(name, func(Health, clock.Instant) (Health, bool) { return Health{}, false })
}

// Failure tells that a backend failed an attempt.
func (s *Set) Failure(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Failed(now), true })
}

// Silent tells that a backend left an attempt without any answer.
func (s *Set) Silent(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Unanswered(now), true })
}

// Gone tells that an attempt found nobody at a backend's address.
func (s *Set) Gone(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Unreachable(now), true })
}

// update replaces one record; keep is false if the record is dropped.
func (s *Set) update(name string, edit func(Health, clock.Instant) (next Health, keep bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := *s.failing.Load()
	next := make(map[string]Health, len(current)+1)
	for other, health := range current {
		next[other] = health
	}
	health, keep := edit(current[name], s.clock.Now())
	delete(next, name)
	if keep {
		next[name] = health
	}
	s.failing.Store(&next)
}
