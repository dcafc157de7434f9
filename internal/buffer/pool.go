// Package buffer bounds the memory of responses that are being received, in sum.
package buffer

import (
	"errors"
	"sync/atomic"
)

// freeBytes is what each response may buffer without taking it from the pool. Most
// responses are smaller.
const freeBytes = 16 << 10

// DefaultBytes is the size of a pool for a process whose memory limit is not known.
const DefaultBytes = 24 << 20

// ErrFull means that the pool has no room for more of a response.
var ErrFull = errors.New("buffers for responses are full")

// Pool holds a number of bytes for buffers. A buffer may hold no more than is left for the
// others, so that responses without end never take all of it. It is safe for
// concurrent use.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int64) *Pool { return &Pool{limit: limit} }

// Used returns the number of bytes that are taken.
func (p *Pool) Used() int64 { return p.used.Load() }

// Claim is the part of a pool that belongs to one buffer. The zero Claim belongs to no
// pool and is never refused. It is not safe for concurrent use.
type Claim struct {
	pool *Pool
	held int64
}

// Claim returns an empty claim, which must be released. If p is nil, it is the zero Claim.
func (p *Pool) Claim() Claim { return Claim{pool: p} }

// Resize changes the size of the buffer to size bytes. It returns ErrFull, and changes
// nothing, if the pool has no room for a larger one.
func (c *Claim) Resize(size int) error {
	if c.pool == nil {
		return nil
	}
	wanted := max(0, int64(size)-freeBytes)
	for {
		used := c.pool.used.Load()
		next := used - c.held + wanted
		if wanted > c.held && wanted > c.pool.limit-next {
			return ErrFull
		}
		if c.pool.used.CompareAndSwap(used, next) {
			c.held = wanted
			return nil
		}
	}
}

// Release gives everything back.
func (c *Claim) Release() {
	if c.pool != nil {
		c.pool.used.Add(-c.held)
		c.held = 0
	}
}
