// Package limit bounds the requests in progress of each customer: by a hard
// limit from the settings and, when the entry is short of capacity, by a
// weighted fair share.
package limit

import (
	"errors"
	"sync"
	"sync/atomic"
)

var (
	// ErrCustomerLimit means that the customer has reached its limit of requests
	// in progress.
	ErrCustomerLimit = errors.New("limit: customer has too many requests in progress")
	// ErrFairShare means that the entry is short of capacity and the customer
	// uses its fair share.
	ErrFairShare = errors.New("limit: customer is above its fair share")
	// ErrFull means that the entry has no capacity left.
	ErrFull = errors.New("limit: entry is full")
)

// Tenant identifies a customer of a team.
type Tenant struct {
	Team     string
	Customer string
}

// Bounds holds the limits of one customer from the settings.
type Bounds struct {
	// MaxConcurrent is the maximum number of requests in progress; 0 means no
	// limit.
	MaxConcurrent int
	// Share is the customer's weight when capacity is short; 0 counts as 1.
	Share float64
}

// Usage is the usage of an entry when a request arrives, without that request.
type Usage struct {
	// Customer and Total are the requests in progress of the customer and of
	// all customers of the entry.
	Customer int64
	Total    int64
	// Weights is the sum of the weights of all customers with requests in
	// progress, including the one whose request arrived.
	Weights float64
}

// Decide returns nil if a request is admitted, or else the reason for its
// refusal. capacity is the entry's maximum number of requests in progress; fair
// shares are enforced once half of it is used.
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

// shareWeight returns the customer's weight, by default 1.
func shareWeight(b Bounds) float64 {
	if b.Share <= 0 {
		return 1
	}
	return b.Share
}

// Gate admits requests and counts those in progress. It is safe for concurrent
// use.
type Gate struct {
	capacity int64
	total    atomic.Int64
	// scaledWeights is the sum of the weights of customers with requests in
	// progress, in thousandths.
	scaledWeights atomic.Int64
	tenants       sync.Map // Tenant to *atomic.Int64
}

// weightScale converts a weight to thousandths.
const weightScale = 1000

// NewGate returns a gate that admits up to capacity concurrent requests.
func NewGate(capacity int64) *Gate {
	return &Gate{capacity: capacity}
}

// Total returns the number of requests in progress.
func (g *Gate) Total() int64 {
	return g.total.Load()
}

// Enter admits a request or returns the reason for its refusal. The caller must
// call leave exactly once when an admitted request has finished.
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
