package routing

import "sync/atomic"

// customerKey identifies a customer of a team.
type customerKey struct {
	team     string
	customer string
}

// inFlightCounter returns the counter of a customer's requests in progress.
func (t *Tracker) inFlightCounter(team, customer string) *atomic.Int64 {
	key := customerKey{team: team, customer: customer}
	if counter, ok := t.customers.Load(key); ok {
		return counter.(*atomic.Int64)
	}
	counter, _ := t.customers.LoadOrStore(key, new(atomic.Int64))
	return counter.(*atomic.Int64)
}

// CustomerInFlight returns the number of requests of a customer that this entry
// has in progress at engines.
func (t *Tracker) CustomerInFlight(team, customer string) int {
	counter, ok := t.customers.Load(customerKey{team: team, customer: customer})
	if !ok {
		return 0
	}
	return int(counter.(*atomic.Int64).Load())
}
