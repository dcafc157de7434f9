package store

import (
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// OrderCommand is a command to the order book. Exactly one field is set.
type OrderCommand struct {
	Place    *orderbook.Place    `cbor:"1,keyasint,omitempty"`
	Release  *orderbook.Release  `cbor:"2,keyasint,omitempty"`
	Settle   *orderbook.Settle   `cbor:"3,keyasint,omitempty"`
	HandOver *orderbook.HandOver `cbor:"4,keyasint,omitempty"`
}

// mayChangeClosedEngines reports whether the command may change which engines
// are closed to new work. Such a command counts as a settings command, so that
// the lease of an entry ends unless the entry has applied the change.
func (c *OrderCommand) mayChangeClosedEngines() bool {
	switch {
	case c.Place != nil:
		return c.Place.Order.Wanted.Interrupts()
	case c.Settle != nil:
		return true
	}
	return false
}

// executeOrder executes a command to the order book. The caller holds mu.
func (s *Store) executeOrder(index uint64, c *OrderCommand) Result {
	s.ordersCopy.Store(nil)
	version := s.tree.Version
	if c.mayChangeClosedEngines() {
		s.tree.AdvanceVersion(index)
	}
	var result orderbook.Result
	switch {
	case c.Place != nil:
		result = s.orders.Place(index, version, *c.Place)
		if result.Verdict == orderbook.Accepted && result.Order.Wanted.Interrupts() {
			s.tree.CloseEngine(index, result.Order.Engine, result.Order.ID)
		}
	case c.Release != nil:
		result = s.orders.Release(*c.Release)
	case c.Settle != nil:
		result = s.orders.Settle(index, *c.Settle)
		if _, outstanding := s.orders.Outstanding[c.Settle.Engine]; !outstanding {
			s.tree.OpenEngine(index, c.Settle.Engine)
		}
	case c.HandOver != nil:
		result = s.orders.HandOver(index, *c.HandOver)
	default:
		return Result{Error: fmt.Sprintf("unknown order command at index %d", index)}
	}
	return Result{Order: &result}
}

// OrdersView is a consistent read-only view of the order book and the settings.
// Its parts are shared and must not be modified.
type OrdersView struct {
	// Version is the settings version that decisions made from this view are
	// based on.
	Version  uint64
	Book     *orderbook.Book
	Settings *settings.Configuration
}

// Orders returns the order book and the settings at the same log index.
func (s *Store) Orders() OrdersView {
	s.mu.RLock()
	defer s.mu.RUnlock()
	book := s.ordersCopy.Load()
	if book == nil {
		book = s.orders.Clone()
		s.ordersCopy.Store(book)
	}
	return OrdersView{Version: s.tree.Version, Book: book, Settings: s.tree.Configuration()}
}
