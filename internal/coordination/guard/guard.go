// Package guard ensures that a write happens before a lease expires, even if
// the process is suspended between checking the lease and writing.
//
// A kernel timer is set to the end of the lease just before the write and
// disarmed just after it. If the process is suspended in between and the lease
// expires, the timer kills the process, so that it cannot write when it would
// be resumed. The timer uses CLOCK_BOOTTIME, which also advances while the VM
// is suspended.
package guard

import (
	"errors"
	"fmt"
	"runtime"
	"unsafe"

	"golang.org/x/sys/unix"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// ErrLapsed means that the lease had expired, or was about to expire, before
// the write. Nothing was written.
var ErrLapsed = errors.New("guard: lease expired before the write")

// Guard performs writes only while a lease is valid.
type Guard interface {
	// Do calls write at most once, and only before the lease expires at
	// until. It returns ErrLapsed if the lease did not allow it to call write.
	Do(until clock.Instant, write func()) error
}

// ClockCheck is a Guard that only checks the clock before the write. It does not
// protect against a process that is suspended between the check and the write;
// it is meant for tests under virtual time.
type ClockCheck struct {
	Clock clock.Clock
}

// Do implements Guard.
func (c ClockCheck) Do(until clock.Instant, write func()) error {
	if !c.Clock.Now().Before(until) {
		return ErrLapsed
	}
	write()
	return nil
}

// KernelTimer is a Guard that uses a kernel timer for each write in progress. It is
// safe for concurrent use.
type KernelTimer struct {
	// idle holds disarmed timers for reuse.
	idle chan timerID
}

// maxIdleTimers is the maximum number of idle kernel timers kept for reuse.
const maxIdleTimers = 16

// NewKernelTimer returns a guard. It fails if the kernel cannot create a timer on
// CLOCK_BOOTTIME.
func NewKernelTimer() (*KernelTimer, error) {
	k := &KernelTimer{idle: make(chan timerID, maxIdleTimers)}
	timer, err := newTimer()
	if err != nil {
		return nil, err
	}
	k.idle <- timer
	return k, nil
}

// Do implements Guard.
func (k *KernelTimer) Do(until clock.Instant, write func()) error {
	timer, err := k.take()
	if err != nil {
		return err
	}
	defer k.put(timer)
	// A timer set to an instant in the past would fire immediately and kill
	// the process, although nothing was written after the lease.
	if !(clock.Boot{}).Now().Before(until) {
		return ErrLapsed
	}
	if err := timer.set(until); err != nil {
		return err
	}
	write()
	return timer.set(0)
}

// take returns an idle timer or, if there is none, a new one.
func (k *KernelTimer) take() (timerID, error) {
	select {
	case timer := <-k.idle:
		return timer, nil
	default:
		return newTimer()
	}
}

// put keeps a disarmed timer for reuse or, if enough are idle, deletes it.
func (k *KernelTimer) put(timer timerID) {
	select {
	case k.idle <- timer:
	default:
		timer.delete()
	}
}

// timerID identifies a POSIX timer of this process.
type timerID int32

// sigevent has the layout of the kernel's struct sigevent on 64-bit Linux.
type sigevent struct {
	value  uint64
	signo  int32
	notify int32
	_      [48]byte
}

const (
	// sigevSignal is SIGEV_SIGNAL: the timer sends a signal to the process.
	sigevSignal = 0
	// timerAbsolute is TIMER_ABSTIME: the timer is set to an absolute time.
	timerAbsolute = 1
)

// newTimer creates a disarmed timer that kills the process with SIGKILL when it
// fires.
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

// set arms the timer to fire at an absolute instant; zero disarms it.
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
