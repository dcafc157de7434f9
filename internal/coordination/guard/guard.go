// Package guard bounds a write by the end of a time lease, even if the process
// is stopped between checking the lease and writing.
//
// A kernel timer is armed to the lease's end just before the write and
// disarmed just after. If the process is stopped in between until the lease
// has ended, the kernel has already killed it, so that it can't write when it
// is continued. The timer runs on CLOCK_BOOTTIME, which also counts time in
// suspend.
package guard

import (
	"errors"
	"fmt"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// ErrLapsed means that the lease had ended, or was about to, before the write.
// Nothing was written.
var ErrLapsed = errors.New("guard: authority lapsed before the write")

// Guard performs writes before the end of a lease.
type Guard interface {
	// Do calls write at most once, within a lease that ends at until. It
	// returns ErrLapsed if it did not call write.
	Do(until clock.Instant, write func()) error
}

// Check is a Guard that only looks at the clock. It can't bound a write of a
// process that is stopped; it serves tests under virtual time.
type Check struct {
	Clock clock.Clock
}

// Do implements Guard.
func (c Check) Do(until clock.Instant, write func()) error {
	if !c.Clock.Now().Before(until) {
		return ErrLapsed
	}
	write()
	return nil
}

// Kernel is a Guard with a kernel timer for each write in progress. It is safe
// for concurrent use.
type Kernel struct {
	// free holds idle timers for later writes.
	idle chan timerID
}

// maxIdleTimers is the number of idle kernel timers kept.
const maxIdleTimers = 16

// NewKernel returns a guard. It fails if the kernel has no suitable timer.
func NewKernel() (*Kernel, error) {
	k := &Kernel{idle: make(chan timerID, maxIdleTimers)}
	timer, err := newTimer()
	if err != nil {
		return nil, err
	}
	k.idle <- timer
	return k, nil
}

// Do implements Guard.
func (k *Kernel) Do(until clock.Instant, write func()) error {
	timer, err := k.take()
	if err != nil {
		return err
	}
	defer k.put(timer)
	// An instant in the past would fire at once and kill a process that did
	// nothing wrong.
	if !(clock.Boot{}).Now().Before(until) {
		return ErrLapsed
	}
	if err := timer.set(until); err != nil {
		return err
	}
	write()
	return timer.set(0)
}

func (k *Kernel) take() (timerID, error) {
	select {
	case timer := <-k.idle:
		return timer, nil
	default:
		return newTimer()
	}
}

func (k *Kernel) put(timer timerID) {
	select {
	case k.idle <- timer:
	default:
		timer.delete()
	}
}

// timerID is a POSIX timer of this process.
type timerID int32

// sigevent is the kernel's struct sigevent on 64-bit Linux.
type sigevent struct {
	value  uint64
	signo  int32
	notify int32
	_      [48]byte
}

const (
	// sigevSignal asks for a signal to the whole process.
	sigevSignal = 0
	// timerAbsolute is TIMER_ABSTIME.
	timerAbsolute = 1
)

// newTimer creates a disarmed timer that kills the process.
func newTimer() (timerID, error) {
	event := sigevent{signo: int32(unix.SIGKILL), notify: sigevSignal}
	var id timerID
	_, _, errno := unix.Syscall(unix.SYS_TIMER_CREATE, unix.CLOCK_BOOTTIME,
		uintptr(unsafe.Pointer(&event)), uintptr(unsafe.Pointer(&id)))
	runtime.KeepAlive(&event)
	if errno != 0 {
		return 0, fmt.Errorf("create kernel timer: %w", errno)
	}
	return id, nil
}

// set arms the timer to an absolute instant; zero disarms it.
func (t timerID) set(until clock.Instant) error {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(until))}
	_, _, errno := unix.RawSyscall6(unix.SYS_TIMER_SETTIME, uintptr(t), timerAbsolute,
		uintptr(unsafe.Pointer(&spec)), 0, 0, 0)
	runtime.KeepAlive(&spec)
	if errno != 0 {
		return fmt.Errorf("set kernel timer: %w", errno)
	}
	return nil
}

func (t timerID) delete() {
	_, _, _ = unix.Syscall(unix.SYS_TIMER_DELETE, uintptr(t), 0, 0)
}
