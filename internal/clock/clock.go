// Package clock reads the two clocks the system relies on and lets tests
// replace them.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of a clock that never steps back and, unlike the Go
// runtime's monotonic clock, also counts time during which the machine was
// suspended. Instants of different VMs are not comparable.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from j to i.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i lies before j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// Clock gives the current instant for durations and the wall time for records
// that people read.
type Clock interface {
	// Now returns the current instant. It is used for every lease and timeout.
	Now() Instant
	// Wall returns the wall time. No decision about authority depends on it.
	Wall() time.Time
}

// Boot is the Clock of a real VM, based on CLOCK_BOOTTIME.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel; without it no lease
		// may be trusted.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Wall implements Clock.
func (Boot) Wall() time.Time {
	return time.Now()
}

// Runtime is a Clock based on the time package. Inside a testing/synctest
// bubble it follows the bubble's virtual time.
type Runtime struct {
	start time.Time
}

// NewRuntime returns a Runtime clock whose first instant is zero.
func NewRuntime() *Runtime {
	return &Runtime{start: time.Now()}
}

// Now implements Clock.
func (r *Runtime) Now() Instant {
	return Instant(time.Since(r.start))
}

// Wall implements Clock.
func (r *Runtime) Wall() time.Time {
	return time.Now()
}
