package guard

import (
	"fmt"
	"net"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/clock"
)

// Conn is a network connection that writes only while a lease is valid.
type Conn struct {
	net.Conn

	guard Guard
	until clock.Instant
	// writeAttempted reports whether a write was attempted within the lease.
	writeAttempted atomic.Bool
}

// NewConn returns a connection that writes to inner until the lease expires at
// until.
func NewConn(inner net.Conn, g Guard, until clock.Instant) *Conn {
	return &Conn{Conn: inner, guard: g, until: until}
}

// Write implements net.Conn. If the lease has expired, it writes nothing and
// fails with an error that wraps ErrLapsed.
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

// WriteAttempted reports whether any write was attempted within the lease. If not,
// nothing can have reached the peer.
func (c *Conn) WriteAttempted() bool {
	return c.writeAttempted.Load()
}
