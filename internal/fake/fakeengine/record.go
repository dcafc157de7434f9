package fakeengine

import (
	"fmt"
	"slices"
	"time"

	"github.com/lagoonshift/lagoonshift/internal/protocol/backend"
)

// Arrival is one order as an engine received it.
type Arrival struct {
	Order       backend.OrderRequest `json:"order"`
	At          time.Time            `json:"at"`
	Incarnation string               `json:"incarnation"`
	Status      backend.OrderStatus  `json:"status"`
	// Effect tells whether the order started a change.
	Effect bool `json:"effect"`
	// Interrupted is the order in progress when this one arrived.
	Interrupted string `json:"interrupted,omitempty"`
	// InFlight counts the requests at the engine.
	InFlight int `json:"in_flight"`
	// Unrecorded tells that the order book did not hold the order.
	Unrecorded bool `json:"unrecorded,omitempty"`
}

// Record is the history of orders at one engine.
type Record struct {
	Arrivals []Arrival `json:"arrivals"`
	// Restarts counts starts after the first.
	Restarts int `json:"restarts"`
	started  bool
}

func (r *Record) restarted() {
	if r.started {
		r.Restarts++
	}
	r.started = true
}

func (r *Record) add(a Arrival) {
	r.Arrivals = append(r.Arrivals, a)
}

func (r *Record) clone() Record {
	return Record{Arrivals: slices.Clone(r.Arrivals), Restarts: r.Restarts, started: r.started}
}

// Violations judges the history: no order meets another one in progress, none
// takes effect after a newer one or after one of a later term arrived, none
// cuts a request, and none is unknown to the order book.
func (r *Record) Violations() []string {
	var found []string
	var fence, term uint64
	for i, a := range r.Arrivals {
		report := func(format string, args ...any) {
			found = append(found, fmt.Sprintf("arrival %d, order %s of %s: %s", i, a.Order.ID, a.Order.Sender, fmt.Sprintf(format, args...)))
		}
		harmless := a.Status == backend.OrderFenced
		if a.Interrupted != "" && a.Interrupted != a.Order.ID && !harmless {
			report("conflicts with %s in progress", a.Interrupted)
		}
		if a.Effect && a.Order.Fence < fence {
			report("old fencing token %d took effect after %d", a.Order.Fence, fence)
		}
		if a.Effect && a.Order.Term < term {
			report("sender of term %d took effect after term %d", a.Order.Term, term)
		}
		if a.Effect && a.Order.Kind != kindAdapter && a.InFlight > 0 {
			report("cut %d requests", a.InFlight)
		}
		if a.Effect && a.Unrecorded {
			report("is not in the order book")
		}
		fence = max(fence, a.Order.Fence)
		term = max(term, a.Order.Term)
	}
	return found
}

// kindAdapter is the kind of an order that does not interrupt the engine.
const kindAdapter = "adapter"
