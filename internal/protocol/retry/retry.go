// Package retry bounds repeated attempts: a budget that is a share of the
// successes, so that retries never multiply an overload, and a backoff with
// jitter from a source that the caller passes in.
package retry

import (
	"sync/atomic"
	"time"
)

const (
	// unitsPerRetry is one retry in the budget's fixed-point account.
	unitsPerRetry = 1000
	// DefaultShare is the part of successes that may be retried.
	DefaultShare = 0.1
	// DefaultReserve is the number of retries that a budget starts with and
	// may save up.
	DefaultReserve = 20
)

// Budget holds the retries that may be spent. It is safe for concurrent use.
type Budget struct {
	// deposit is what one success adds, in units.
	deposit int64
	limit   int64
	balance atomic.Int64
}

// NewBudget returns a full budget. Each success adds share of one retry, up to
// reserve retries.
func NewBudget(share float64, reserve int) *Budget {
	b := &Budget{deposit: int64(share * unitsPerRetry), limit: int64(reserve) * unitsPerRetry}
	b.balance.Store(b.limit)
	return b
}

// Success adds a success's share to the budget.
func (b *Budget) Success() {
	for {
		current := b.balance.Load()
		next := min(current+b.deposit, b.limit)
		if next == current || b.balance.CompareAndSwap(current, next) {
			return
		}
	}
}

// Spend takes one retry and reports whether there was one.
func (b *Budget) Spend() bool {
	for {
		current := b.balance.Load()
		if current < unitsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(current, current-unitsPerRetry) {
			return true
		}
	}
}

// Random returns a number from 0 up to, but not including, 1.
type Random func() float64

// Backoff computes the pauses between attempts.
type Backoff struct {
	// Base is the bound of the first pause and Max that of any pause.
	Base time.Duration
	Max  time.Duration
}

// Pause returns the pause before the given retry, counted from zero: a random
// part of a bound that doubles with each retry.
func (b Backoff) Pause(retry int, random Random) time.Duration {
	bound := b.Base
	for range retry {
		bound = min(2*bound, b.Max)
	}
	return time.Duration(random() * float64(min(bound, b.Max)))
}
