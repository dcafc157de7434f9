// Package limit bounds requests in progress by customer: a hard limit from
// the settings and, when the entry itself is short of room, a fair share.
package limit

import (
	"errors"
	"sync"
	"sync/atomic"
)

var (
	// ErrCustomerLimit means that the customer has its limit in progress.
	ErrCustomerLimit = errors.New("limit: customer has too many requests in progress")
	// ErrFairShare means that the entry is short of room and the customer has
	// more than its share in progress.
	ErrFairShare = errors.New("limit: customer is above its fair share")
	// ErrFull means that the entry has no room left.
	ErrFull = errors.New("limit: entry is full")
)

// Tenant names a customer of a team.
type Tenant struct {
	Team     string
	Customer string
}

// Bounds holds what the settings say about one customer.
type Bounds struct {
	// MaxConcurrent bounds requests in progress; 0 is no bound.
	MaxConcurrent int
	// Share is the customer's weight when room is short; 0 counts as 1.
	Share float64
}

// Usage is what is in progress when a request arrives, without it.
type Usage struct {
	// Customer and Total count requests in progress.
	Customer int64
	Total    int64
	// Weights is the sum of the shares of the customers with requests in
	// progress, including the one that asks.
	Weights float64
}

// Decide returns why a request is refused, or nil. Capacity is the entry's
// room in requests; shares matter once half of it is taken.
func Decide(b Bounds, u Usage, capacity int64) error {
	switch {
	case b.MaxConcurrent > 0 && u.Customer >= int64(b.MaxConcurrent):
		return ErrCustomerLimit
	case u.Total >= capacity:
		return ErrFull
	case 2*u.Total < capacity:
		return nil
	case float64(u.Customer) >= shareWeight(b)/u.Weights*float64(capacity):
		return ErrFairShare
	}
	return nil
}

func shareWeight(b Bounds) float64 {
	if b.Share <= 0 {
		return 1
	}
	return b.Share
}

// Gate counts requests in progress. It is safe for concurrent use.
type Gate struct {
	capacity int64
	total    atomic.Int64
	// scaledWeights is the sum of active customers' shares in thousandths.
	scaledWeights atomic.Int64
	tenants       sync.Map // Tenant to *atomic.Int64
}

// weightScale turns a share into thousandths.
const weightScale = 1000

// NewGate returns an empty gate for the given number of requests.
func NewGate(capacity int64) *Gate {
	return &Gate{capacity: capacity}
}

// Total returns the number of requests in progress.
func (g *Gate) Total() int64 {
	return g.total.Load()
}

// Enter counts a request in, or returns why it is refused. The caller calls
// leave once when the request is finished.
func (g *Gate) Enter(t Tenant, b Bounds) (leave func(), err error) {
	count := g.counter(t)
	share := int64(shareWeight(b) * weightScale)
	customerCount := count.Add(1)
	if customerCount == 1 {
		g.scaledWeights.Add(share)
	}
	total := g.total.Add(1)
	leave = func() {
		g.total.Add(-1)
		if count.Add(-1) == 0 {
			g.scaledWeights.Add(-share)
		}
	}
	use := Usage{Customer: customerCount - 1, Total: total - 1, Weights: max(float64(g.scaledWeights.Load())/weightScale, shareWeight(b))}
	if err := Decide(b, use, g.capacity); err != nil {
		leave()
		return nil, err
	}
	return leave, nil
}

func (g *Gate) counter(t Tenant) *atomic.Int64 {
	if found, ok := g.tenants.Load(t); ok {
		return found.(*atomic.Int64)
	}
	found, _ := g.tenants.LoadOrStore(t, new(atomic.Int64))
	return found.(*atomic.Int64)
}
