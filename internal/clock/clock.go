// Package clock provides a monotonic clock and the wall clock behind an interface,
// so that tests can replace them.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of a monotonic clock that, unlike the Go runtime's, also
// advances while the VM is suspended. Instants of different VMs are not
// comparable.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration {
	return time.Duration(i - j)
}

// Before reports whether i is before j.
func (i Instant) Before(j Instant) bool {
	return i < j
}

// Clock reads the monotonic clock, for measuring durations, and the wall clock,
// for times that are shown to people or recorded.
type Clock interface {
	// Now returns the current instant. All leases and timeouts use it.
	Now() Instant
	// Wall returns the wall time. No decision about authority may depend on
	// it.
	Wall() time.Time
}

// Boot is the Clock of a real VM, based on CLOCK_BOOTTIME.
type Boot struct{}

// Now implements Clock.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported kernels have this clock. Without it no lease can
		// be trusted.
		panic("clock: read CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Wall implements Clock.
func (Boot) Wall() time.Time {
	return time.Now()
}

// Runtime is a Clock based on the time package. Inside a testing/synctest bubble
// it uses the bubble's fake time.
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
