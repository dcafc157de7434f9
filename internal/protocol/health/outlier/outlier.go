// Package outlier implements outlier detection: it ejects backend servers that
// fail repeatedly and lets a single probe through before they get work again.
package outlier

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

const (
	// ejectionThreshold is the number of consecutive failures that eject a backend.
	ejectionThreshold = 3
	// firstEjection is the duration of the first ejection; it doubles with each
	// failed probe up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 30 * time.Second
	// missingGracePeriod is how long after the first ejection a backend is still
	// reported as missing: the time in which the next attempt is due.
	missingGracePeriod = time.Second
	// fullPeriod is how long a backend that had no room for an attempt gets no work. A
	// random part of it, up to half, is left out, so that not all requests return at once.
	fullPeriod = 200 * time.Millisecond
	// recordRetention is the time without failures after which a record is dropped. The
	// backend may never be asked again.
	recordRetention = 5 * time.Minute
)

// Health is the failure record of one backend server. It is immutable.
type Health struct {
	// Failures counts consecutive failures.
	Failures int
	// Ejections counts ejections without a success in between.
	Ejections int
	// EjectedUntil is the end of the current ejection.
	EjectedUntil clock.Instant
	// FailedAt is the time of the last failure.
	FailedAt clock.Instant
	// Missing is set from an attempt that found no server at the backend's address
	// until a later one reaches the backend.
	Missing bool
	// FullUntil is the end of the time for which the backend counts as full.
	FullUntil clock.Instant
	// Probing is set while a single attempt tests an ejected backend.
	Probing bool
}

// Ejected reports whether the backend must get no work at the instant now.
func (h Health) Ejected(now clock.Instant) bool {
	return now.Before(h.EjectedUntil)
}

// Failed returns the record after a failure. Failures during an ejection come
// from attempts that began before it and change nothing; a failed probe ejects
// for longer.
func (h Health) Failed(now clock.Instant) Health {
	h.FailedAt = now
	if h.Ejected(now) && !h.Probing {
		return h
	}
	h.Missing = h.Missing && !h.Probing // attempts that began before show nothing
	h.Failures++
	if h.Failures < ejectionThreshold && h.Ejections == 0 {
		return h
	}
	h.EjectedUntil = now.Add(ejectionTime(h.Ejections))
	h.Ejections++
	h.Probing = false
	return h
}

// Unanswered returns the record after an attempt that got no response at all:
// one such failure ejects.
func (h Health) Unanswered(now clock.Instant) Health {
	h.Failures = max(h.Failures, ejectionThreshold-1)
	return h.Failed(now)
}

// Rejected returns the record after an attempt that the backend had no room for. random
// is in the range [0, 1). Attempts that began before it was full don't prolong that.
func (h Health) Rejected(now clock.Instant, random float64) Health {
	h = h.Failed(now)
	if !now.Before(h.FullUntil) {
		h.FullUntil = now.Add(fullPeriod - time.Duration(random*float64(fullPeriod)/2))
	}
	return h
}

// Unreachable returns the record after an attempt that found no server at the
// backend's address: one such failure ejects.
func (h Health) Unreachable(now clock.Instant) Health {
	if h.Missing && !h.Probing {
		h.FailedAt = now
		return h
	}
	h = h.Unanswered(now)
	h.Missing = true
	return h
}

// Reached returns the record of a missing backend after a connection to its address:
// the next attempt is a probe.
func (h Health) Reached(now clock.Instant) Health {
	if h.Missing && !h.Probing {
		h.Missing, h.EjectedUntil = false, now
	}
	return h
}

// ProbeStarted returns the record after the start of a probe: the backend stays
// ejected for all other attempts until the probe ends or the ejection time has
// passed.
func (h Health) ProbeStarted(now clock.Instant) Health {
	h.EjectedUntil = now.Add(ejectionTime(h.Ejections))
	h.Probing = true
	return h
}

// ejectionTime returns the duration of an ejection after count earlier ones.
func ejectionTime(count int) time.Duration {
	d := firstEjection
	for range count {
		d = min(2*d, maxEjection)
	}
	return d
}

// Set holds the failure records of all backend servers by name. It is safe for
// concurrent use; for backends without failures an attempt costs one atomic
// load.
type Set struct {
	clock clock.Clock
	// failing holds the records of backends that failed since their last
	// success. The map is copied on write.
	failing atomic.Pointer[map[string]Health]
	mu      sync.Mutex // serialises writers
	rates   rates
}

// NewSet returns a set in which every backend is healthy.
func NewSet(c clock.Clock) *Set {
	s := &Set{clock: c}
	s.failing.Store(&map[string]Health{})
	s.rates.failing.Store(&map[string]*outcomes{})
	return s
}

// Ejected returns the names of the backends that must get no work now.
func (s *Set) Ejected() []string {
	return s.names(Health.Ejected)
}

// names returns the names of the backends whose health meets a condition now.
func (s *Set) names(meets func(h Health, now clock.Instant) bool) (out []string) {
	failing := *s.failing.Load()
	if len(failing) == 0 {
		return nil
	}
	now := s.clock.Now()
	for name, health := range failing {
		if meets(health, now) {
			out = append(out, name)
		}
	}
	return out
}

// Missing returns the names of the backends that were not found at their
// addresses. A backend is listed until an attempt reaches it.
func (s *Set) Missing() []string {
	return s.missing(recordRetention)
}

// LatelyMissing is like Missing, but lists a backend only for a limited time after the
// last attempt that did not find it.
func (s *Set) LatelyMissing() []string {
	return s.missing(firstEjection + missingGracePeriod)
}

// missing returns the names of the backends that were not found at their addresses for at
// most the time age.
func (s *Set) missing(age time.Duration) []string {
	return s.names(func(h Health, now clock.Instant) bool { return h.Missing && now.Before(h.FailedAt.Add(age)) })
}

// AttemptStarted records that an attempt is sent to a backend. The first attempt after an
// ejection is a probe; the backend stays ejected for others meanwhile.
func (s *Set) AttemptStarted(name string) {
	if _, ok := (*s.failing.Load())[name]; !ok {
		return
	}
	s.update(name, func(h Health, now clock.Instant) (Health, bool) {
		if h.Ejections == 0 || h.Ejected(now) && !h.Missing {
			return h, true
		}
		return h.ProbeStarted(now), true
	})
}

// Success records that a backend answered successfully. The end of an attempt that began
// before the backend was missing doesn't show that it is back.
func (s *Set) Success(name string) {
	s.rates.success(name, s.clock.Now)
	if h, ok := (*s.failing.Load())[name]; !ok || h.Missing && !h.Probing {
		return
	}
	s.update(name, func(h Health, now clock.Instant) (Health, bool) {
		if h.Missing && !h.Probing {
			return h, true
		}
		// The answer shows no more room than the attempt had.
		return Health{FailedAt: h.FailedAt, FullUntil: h.FullUntil}, now.Before(h.FullUntil)
	})
}

// Reached records that a missing backend accepts connections again.
func (s *Set) Reached(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Reached(now), h != Health{} })
}

// Probing reports whether a single attempt tests an ejected backend.
func (s *Set) Probing(name string) bool {
	return (*s.failing.Load())[name].Probing
}

// Full returns the names of the backends that had no room for an attempt a moment ago.
func (s *Set) Full() []string {
	return s.names(func(h Health, now clock.Instant) bool { return now.Before(h.FullUntil) })
}

// Rejected records that a backend had no room for an attempt.
func (s *Set) Rejected(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Rejected(now, rand.Float64()), true })
}

// NotRun records that a backend did not run an attempt for another reason.
func (s *Set) NotRun(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Failed(now), true })
}

// Unconnected records that an attempt got no connection to a backend.
func (s *Set) Unconnected(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Unanswered(now), true })
}

// Failure records that a backend failed an attempt.
func (s *Set) Failure(name string) {
	s.rates.failure(name, s.clock.Now())
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Failed(now), true })
}

// Unanswered records that a backend gave no response to an attempt.
func (s *Set) Unanswered(name string) {
	s.rates.failure(name, s.clock.Now())
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Unanswered(now), true })
}

// Unreachable records that an attempt found no server at a backend's address.
func (s *Set) Unreachable(name string) {
	s.update(name, func(h Health, now clock.Instant) (Health, bool) { return h.Unreachable(now), true })
}

// update replaces one record by the result of edit, or drops it if keep is
// false.
func (s *Set) update(name string, edit func(Health, clock.Instant) (next Health, keep bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, now := *s.failing.Load(), s.clock.Now()
	next := make(map[string]Health, len(current)+1)
	for other, health := range current {
		if now.Before(health.FailedAt.Add(recordRetention)) {
			next[other] = health
		}
	}
	health, keep := edit(current[name], now)
	delete(next, name)
	if keep {
		next[name] = health
	}
	s.failing.Store(&next)
}

// Snapshot is a copy of the records of all backends. The zero value holds none.
type Snapshot struct {
	failing map[string]Health
	rates   map[string]counts
}

// Missing reports whether a backend was not found at its address.
func (s Snapshot) Missing(name string) bool { return s.failing[name].Missing }

// Snapshot returns a copy of the records.
func (s *Set) Snapshot() Snapshot {
	return Snapshot{failing: *s.failing.Load(), rates: s.rates.snapshot()}
}

// Restore replaces all records by those of a snapshot.
func (s *Set) Restore(from Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failing := from.failing
	if failing == nil {
		failing = map[string]Health{}
	}
	s.failing.Store(&failing)
	s.rates.restore(from.rates)
}
