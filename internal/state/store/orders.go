package store

import (
	"encoding/json"
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

// changesClosure reports whether the command may change which engines take new
// work. Such a command counts as a settings change, so that each entry's lease
// ends unless the entry has the change in force.
func (c *OrderCommand) changesClosure() bool {
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
	version := s.tree.Version
	if c.changesClosure() {
		s.tree.Version = index
	}
	var result orderbook.Result
	switch {
	case c.Place != nil:
		result = s.orders.Place(index, version, *c.Place)
	case c.Release != nil:
		result = s.orders.Release(*c.Release)
	case c.Settle != nil:
		result = s.orders.Settle(index, *c.Settle)
	case c.HandOver != nil:
		result = s.orders.HandOver(index, *c.HandOver)
	default:
		return Result{Error: fmt.Sprintf("unknown order command at index %d", index)}
	}
	return Result{Order: &result}
}

// Orders is a consistent copy of the order book.
type Orders struct {
	// Version is the version on which decisions that use this copy rest.
	Version uint64
	Book    *orderbook.Book
	// Settings are the settings at that version.
	Settings *settings.Configuration
}

// Orders returns the order book and the settings of the same instant.
func (s *Store) Orders() (Orders, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	configuration, err := s.configuration()
	if err != nil {
		return Orders{}, err
	}
	return Orders{Version: s.tree.Version, Book: s.orders.Clone(), Settings: configuration}, nil
}

// SubtreeVersion returns the version of one subtree of the settings, zero if
// there is none.
func (s *Store) SubtreeVersion(path string) uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tree.Subtrees[path].Version
}

// configuration returns the decoded settings, decoding each version once. The
// caller holds mu.
func (s *Store) configuration() (*settings.Configuration, error) {
	if cached := s.decoded.Load(); cached != nil && cached.Version == s.tree.Version {
		return cached, nil
	}
	configuration, err := s.tree.Configuration()
	if err != nil {
		return nil, fmt.Errorf("decode settings at version %d: %w", s.tree.Version, err)
	}
	s.decoded.Store(configuration)
	return configuration, nil
}

// EntryDocument returns the settings as entries put them in force: the tree,
// with every engine drained that an outstanding order closes to new work.
func (s *Store) EntryDocument() (version uint64, content []byte, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	content, err = s.tree.Document()
	if err != nil {
		return 0, nil, err
	}
	closed := s.orders.Closed()
	if len(closed) == 0 {
		return s.tree.Version, content, nil
	}
	content, err = drainEngines(content, closed)
	return s.tree.Version, content, err
}

// drainEngines sets the drain flag of the named engines in a settings document.
func drainEngines(content []byte, engines []string) ([]byte, error) {
	var top map[string]json.RawMessage
	if err := json.Unmarshal(content, &top); err != nil {
		return nil, fmt.Errorf("decode settings: %w", err)
	}
	var models map[string]map[string]json.RawMessage
	if err := json.Unmarshal(top["models"], &models); err != nil {
		return nil, fmt.Errorf("decode models: %w", err)
	}
	for name, model := range models {
		drained, err := drainModel(model["engines"], engines)
		if err != nil {
			return nil, fmt.Errorf("drain engines of model %s: %w", name, err)
		}
		model["engines"] = drained
	}
	encoded, err := json.Marshal(models)
	if err != nil {
		return nil, fmt.Errorf("encode models: %w", err)
	}
	top["models"] = encoded
	return json.Marshal(top)
}

func drainModel(content json.RawMessage, engines []string) (json.RawMessage, error) {
	var members map[string]map[string]json.RawMessage
	if err := json.Unmarshal(content, &members); err != nil {
		return nil, fmt.Errorf("decode engines: %w", err)
	}
	for _, name := range engines {
		if engine, ok := members[name]; ok {
			engine["drain"] = json.RawMessage("true")
		}
	}
	return json.Marshal(members)
}
