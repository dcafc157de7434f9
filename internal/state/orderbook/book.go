package orderbook

import (
	"maps"
	"slices"

	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// HistoryPerEngine is the maximum number of settled orders kept for each engine.
const HistoryPerEngine = 4

// Place records an order before it is sent. Placing the ID of the
// outstanding order again is accepted and returns that order.
type Place struct {
	Order Order `cbor:"1,keyasint"`
	// Version is the version of the store on which the decision is based. An
	// order based on an older version is refused.
	Version uint64 `cbor:"2,keyasint"`
	// RateLimit is the total rate of the weight store in bytes per second.
	RateLimit int64 `cbor:"3,keyasint,omitempty"`
}

// Release allows an order to be sent. It is committed once the engine has been
// closed to new work and has become idle.
type Release struct {
	Engine string `cbor:"1,keyasint"`
	ID     string `cbor:"2,keyasint"`
}

// Settle ends an order with an outcome.
type Settle struct {
	Engine  string  `cbor:"1,keyasint"`
	ID      string  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	Detail  string  `cbor:"4,keyasint,omitempty"`
}

// HandOver transfers the authority to order an engine to the given side.
type HandOver struct {
	Engine string                  `cbor:"1,keyasint"`
	To     settings.OrderAuthority `cbor:"2,keyasint"`
	// SeenFence is the highest fencing token that the engine has reported.
	SeenFence uint64 `cbor:"3,keyasint,omitempty"`
}

// Verdict is the decision on a command.
type Verdict string

const (
	// Accepted means that the command took effect, now or when it was applied
	// before.
	Accepted Verdict = "accepted"
	// Busy means that the engine has an outstanding order that conflicts with
	// the command.
	Busy Verdict = "busy"
	// ModelBusy means that another engine of the same model has an outstanding
	// order that interrupts its work.
	ModelBusy Verdict = "model-busy"
	// NotHolder means that Lagoonshift has no authority to order the engine.
	NotHolder Verdict = "not-holder"
	// RateExhausted means that outstanding loads leave too little of the weight
	// store's rate.
	RateExhausted Verdict = "rate-spent"
	// Stale means that the command is based on an outdated state.
	Stale Verdict = "stale"
)

// Result is the result of a command of the order book.
type Result struct {
	Verdict Verdict `cbor:"1,keyasint"`
	// Order is the engine's outstanding order after the command, if any.
	Order *Order `cbor:"2,keyasint,omitempty"`
}

// Book is the state of the order book for all engines. It is not safe for
// concurrent use.
type Book struct {
	// Outstanding holds the unsettled order of each engine.
	Outstanding map[string]Order `cbor:"1,keyasint"`
	// History holds the latest settled orders of each engine, oldest first.
	History map[string][]Record `cbor:"2,keyasint"`
	// Holders holds the side that may order each engine. Until the first
	// HandOver of an engine neither side may.
	Holders map[string]Holder `cbor:"3,keyasint"`
}

// New returns an empty book.
func New() *Book {
	b := &Book{}
	b.InitMaps()
	return b
}

// InitMaps allocates the maps that are nil after a book was decoded from a
// snapshot.
func (b *Book) InitMaps() {
	if b.Outstanding == nil {
		b.Outstanding = make(map[string]Order)
	}
	if b.History == nil {
		b.History = make(map[string][]Record)
	}
	if b.Holders == nil {
		b.Holders = make(map[string]Holder)
	}
}

// Clone returns a copy that is unaffected by later commands.
func (b *Book) Clone() *Book {
	history := make(map[string][]Record, len(b.History))
	for engine, records := range b.History {
		history[engine] = slices.Clone(records)
	}
	return &Book{Outstanding: maps.Clone(b.Outstanding), History: history, Holders: maps.Clone(b.Holders)}
}

// Place applies a Place committed at the given log index. The version is the
// version of the store before the command.
func (b *Book) Place(index, version uint64, p Place) Result {
	current, busy := b.Outstanding[p.Order.Engine]
	if busy && current.ID == p.Order.ID {
		return Result{Verdict: Accepted, Order: &current}
	}
	if verdict := b.checkPlace(version, p); verdict != Accepted {
		return b.result(p.Order.Engine, verdict)
	}
	order := p.Order
	order.Fence = b.Holders[order.Engine].FenceBase + index
	order.Phase = Released
	if order.Wanted.Interrupts() {
		order.Phase = Closing
	}
	b.Outstanding[order.Engine] = order
	return Result{Verdict: Accepted, Order: &order}
}

// checkPlace returns Accepted if the order may be placed, and otherwise the reason
// for refusal.
func (b *Book) checkPlace(version uint64, p Place) Verdict {
	order := p.Order
	if _, busy := b.Outstanding[order.Engine]; busy {
		return Busy
	}
	if p.Version != version || b.recentlySettled(order.Engine, order.ID) {
		return Stale
	}
	if b.Holders[order.Engine].Side != settings.AuthorityLagoonshift {
		return NotHolder
	}
	if order.Wanted.Interrupts() && b.HasInterruptingOrder(order.Model) {
		return ModelBusy
	}
	if order.Wanted.Rate > 0 && b.ReservedRate()+order.Wanted.Rate > p.RateLimit {
		return RateExhausted
	}
	return Accepted
}

// HasInterruptingOrder reports whether an engine of the model has an
// outstanding order that interrupts its work.
func (b *Book) HasInterruptingOrder(model string) bool {
	for _, order := range b.Outstanding {
		if order.Model == model && order.Wanted.Interrupts() {
			return true
		}
	}
	return false
}

// ReservedRate returns the share of the weight store's rate that is reserved for
// outstanding loads, in bytes per second.
func (b *Book) ReservedRate() int64 {
	var reserved int64
	for _, order := range b.Outstanding {
		reserved += order.Wanted.Rate
	}
	return reserved
}

// Release applies a committed Release.
func (b *Book) Release(r Release) Result {
	order, ok := b.Outstanding[r.Engine]
	if !ok || order.ID != r.ID {
		return b.result(r.Engine, Stale)
	}
	order.Phase = Released
	b.Outstanding[r.Engine] = order
	return Result{Verdict: Accepted, Order: &order}
}

// Settle applies a Settle committed at the given log index. A released order
// can't be cancelled, because it may already have been sent.
func (b *Book) Settle(index uint64, s Settle) Result {
	order, ok := b.Outstanding[s.Engine]
	if !ok || order.ID != s.ID {
		if b.recentlySettled(s.Engine, s.ID) {
			return b.result(s.Engine, Accepted)
		}
		return b.result(s.Engine, Stale)
	}
	if s.Outcome == Cancelled && order.Phase == Released {
		return b.result(s.Engine, Busy)
	}
	delete(b.Outstanding, s.Engine)
	record := Record{Order: order, Outcome: s.Outcome, Detail: s.Detail, SettledAt: index}
	history := append(b.History[s.Engine], record)
	if len(history) > HistoryPerEngine {
		history = slices.Clone(history[len(history)-HistoryPerEngine:])
	}
	b.History[s.Engine] = history
	return Result{Verdict: Accepted}
}

// HandOver applies a HandOver committed at the given log index. It is refused
// while an order for the engine is outstanding.
func (b *Book) HandOver(index uint64, h HandOver) Result {
	current := b.Holders[h.Engine]
	if current.Side == h.To {
		return b.result(h.Engine, Accepted)
	}
	if _, busy := b.Outstanding[h.Engine]; busy {
		return b.result(h.Engine, Busy)
	}
	b.Holders[h.Engine] = Holder{Side: h.To, Since: index, FenceBase: max(current.FenceBase, h.SeenFence)}
	return Result{Verdict: Accepted}
}

// ClosedEngines returns the sorted names of the engines that accept no new work
// because an outstanding order interrupts them.
func (b *Book) ClosedEngines() []string {
	var closed []string
	for engine, order := range b.Outstanding {
		if order.Wanted.Interrupts() {
			closed = append(closed, engine)
		}
	}
	slices.Sort(closed)
	return closed
}

// recentlySettled reports whether the order is in the history of the engine.
func (b *Book) recentlySettled(engine, id string) bool {
	return slices.ContainsFunc(b.History[engine], func(r Record) bool { return r.Order.ID == id })
}

// result returns the verdict with the outstanding order of the engine, if any.
func (b *Book) result(engine string, v Verdict) Result {
	if order, ok := b.Outstanding[engine]; ok {
		return Result{Verdict: v, Order: &order}
	}
	return Result{Verdict: v}
}
