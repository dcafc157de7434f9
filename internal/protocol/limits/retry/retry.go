// Package retry bounds retries: by a budget that is a share of the successes, so
// that retries don't amplify an overload, and by exponential backoff with
// jitter from a random source that the caller passes in.
package retry

import (
	"sync/atomic"
	"time"
)

const (
	// unitsPerRetry is the cost of one retry in the fixed-point balance.
	unitsPerRetry = 1000
	// DefaultShare is the number of retries that each success adds.
	DefaultShare = 0.1
	// DefaultReserve is the initial and maximum number of retries in a budget.
	DefaultReserve = 20
)

// Budget is a retry budget. It is safe for concurrent use.
type Budget struct {
	// deposit is the amount that one success adds. All amounts are in units of
	// 1/unitsPerRetry retry.
	deposit int64
	limit   int64
	balance atomic.Int64
}

// NewBudget returns a budget with reserve retries, which is also its maximum.
// Each success adds the fraction share of one retry.
func NewBudget(share float64, reserve int) *Budget {
	b := &Budget{deposit: int64(share * unitsPerRetry), limit: int64(reserve) * unitsPerRetry}
	b.balance.Store(b.limit)
	return b
}

// Success records a success, which adds its share to the budget.
func (b *Budget) Success() {
	for {
		current := b.balance.Load()
		next := min(current+b.deposit, b.limit)
		if next == current || b.balance.CompareAndSwap(current, next) {
			return
		}
	}
}

// Spend takes one retry from the budget and reports whether there was one.
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

// Return gives a retry back that was spent and not made.
func (b *Budget) Return() {
	for {
		current := b.balance.Load()
		if b.balance.CompareAndSwap(current, min(current+unitsPerRetry, b.limit)) {
			return
		}
	}
}

// Random returns a random number in [0, 1).
type Random func() float64

// Backoff computes the pauses between attempts: exponential backoff with full
// jitter.
type Backoff struct {
	// Base is the upper bound of the first pause and Max that of any pause.
	Base time.Duration
	Max  time.Duration
}

// Pause returns the pause before the given retry, counted from zero: a random
// fraction of a bound that starts at Base and doubles with each retry up to Max.
func (b Backoff) Pause(retry int, random Random) time.Duration {
	bound := b.Base
	for range retry {
		bound = min(2*bound, b.Max)
	}
	return time.Duration(random() * float64(min(bound, b.Max)))
}
