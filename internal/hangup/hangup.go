// Package hangup receives SIGHUP from the initialization of packages on, so that a
// reload request doesn't end a service that is still starting. A hangup before
// that, while the kernel loads the program and the Go runtime starts, still ends
// the process.
package hangup

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// signals holds at most one pending hangup: several reloads of the same file
// are as good as one.
var signals = func() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

// Signals returns the channel of hangups. It has one reader.
func Signals() <-chan os.Signal {
	return signals
}

// RestoreDefault makes SIGHUP end the process again, as is usual for commands
// at a terminal. A hangup that is already pending ends it now.
func RestoreDefault() error {
	signal.Reset(syscall.SIGHUP)
	select {
	case <-signals:
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			return fmt.Errorf("deliver pending hangup: %w", err)
		}
	default:
	}
	return nil
}
