package guard

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Conn is a connection each of whose writes is made within a lease.
type Conn struct {
	net.Conn

	guard Guard
	until clock.Instant
	// written tells whether a write was tried.
	writeAttempted atomic.Bool
}

// NewConn returns a connection that writes to inner until the lease ends.
func NewConn(inner net.Conn, g Guard, until clock.Instant) *Conn {
	return &Conn{Conn: inner, guard: g, until: until}
}

// Write implements net.Conn. It fails with an error that matches ErrLapsed,
// having written nothing, if the lease has ended.
func (c *Conn) Write(p []byte) (n int, err error) {
	lapsed := c.guard.Do(c.until, func() {
		c.writeAttempted.Store(true)
		n, err = c.Conn.Write(p)
	})
	if lapsed != nil {
		return n, fmt.Errorf("write to %s: %w", c.RemoteAddr(), lapsed)
	}
	return n, err
}

// Written reports whether any write was tried.
func (c *Conn) Written() bool {
	return c.writeAttempted.Load()
}
