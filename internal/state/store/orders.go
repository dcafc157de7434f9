package store

import (
	"fmt"

	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
)

// OrderCommand is a command of the order book. Exactly one field is set.
type OrderCommand struct {
	Place    *orderbook.Place    `cbor:"1,keyasint,omitempty"`
	Release  *orderbook.Release  `cbor:"2,keyasint,omitempty"`
	Settle   *orderbook.Settle   `cbor:"3,keyasint,omitempty"`
	HandOver *orderbook.HandOver `cbor:"4,keyasint,omitempty"`
}

// mayChangeClosedEngines reports whether the command may change which engines take new
// work. Such a command counts as a settings change, so that each entry's lease
// ends unless the entry has the change in force.
func (c *OrderCommand) mayChangeClosedEngines() bool {
	switch {
	case c.Place != nil:
		return c.Place.Order.Wanted.Interrupts()
	case c.Settle != nil:
		return true
	}
	return false
}

// executeOrder executes a command of the order book. The caller holds mu.
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

// Orders is a consistent view of the order book and the settings. Its parts
// are shared and must not be changed.
type Orders struct {
	// Version is the version on which decisions that use this view rest.
	Version  uint64
	Book     *orderbook.Book
	Settings *settings.Configuration
}

// Orders returns the order book and the settings of the same instant.
func (s *Store) Orders() Orders {
	s.mu.RLock()
	defer s.mu.RUnlock()
	book := s.ordersCopy.Load()
	if book == nil {
		book = s.orders.Clone()
		s.ordersCopy.Store(book)
	}
	return Orders{Version: s.tree.Version, Book: book, Settings: s.tree.Configuration()}
}
