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
	// Effect reports whether the order started a change.
	Effect bool `json:"effect"`
	// Interrupted is the ID of the order in progress when this one arrived.
	Interrupted string `json:"interrupted,omitempty"`
	// InFlight is the number of queued and running requests at the engine.
	InFlight int `json:"in_flight"`
	// Unrecorded reports that the order was not in the order book.
	Unrecorded bool `json:"unrecorded,omitempty"`
}

// Record is the history of orders at one engine.
type Record struct {
	Arrivals []Arrival `json:"arrivals"`
	// Restarts is the number of starts after the first.
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

// Violations checks the history and describes each violation of these rules: no
// order arrives while another one is in progress, unless it is refused for its
// fencing token; no order takes effect after one with a newer fencing token or a
// later term has arrived; no order that interrupts the engine takes effect while
// requests are in flight; and each order that takes effect is in the order book.
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

// kindAdapter is the kind of an order that loads an adapter, which does not
// interrupt running requests.
const kindAdapter = "adapter"
