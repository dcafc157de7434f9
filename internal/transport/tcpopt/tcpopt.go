// Package tcpopt sets TCP socket options that package net has no function for.
package tcpopt

import (
	"fmt"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SetUserTimeout bounds how long written data may stay unacknowledged before
// the kernel closes the connection (TCP_USER_TIMEOUT, RFC 5482).
func SetUserTimeout(raw syscall.RawConn, d time.Duration) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if setErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", setErr)
	}
	return nil
}

// UnackedBytes returns how much written data the other side has not acknowledged
// (SIOCOUTQ).
func UnackedBytes(raw syscall.RawConn) (int, error) {
	var (
		bytes    int
		ioctlErr error
	)
	err := raw.Control(func(fd uintptr) { bytes, ioctlErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	if err != nil {
		return 0, fmt.Errorf("access socket: %w", err)
	}
	if ioctlErr != nil {
		return 0, fmt.Errorf("read the send queue of a socket: %w", ioctlErr)
	}
	return bytes, nil
}
