package store

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// commandKind decodes a Command only as far as needed to tell its kind.
type commandKind struct {
	Change    cbor.RawMessage `cbor:"1,keyasint"`
	Bootstrap cbor.RawMessage `cbor:"20,keyasint"`
	Register  cbor.RawMessage `cbor:"21,keyasint"`
	Retire    cbor.RawMessage `cbor:"22,keyasint"`
	Observe   cbor.RawMessage `cbor:"23,keyasint"`
	Order     *OrderCommand   `cbor:"10,keyasint"`
}

// IsSettingsCommand reports whether an encoded command may change the data that
// entries cache under the settings lease: settings, members, leaving VMs and
// closed engines.
func IsSettingsCommand(encoded []byte) bool {
	var k commandKind
	if cbor.Unmarshal(encoded, &k) != nil {
		return false
	}
	if k.Order != nil {
		return k.Order.mayChangeClosedEngines()
	}
	return k.Change != nil || k.Bootstrap != nil || k.Register != nil || k.Retire != nil || k.Observe != nil
}

// isSettings reports whether executeSettings executes the command. Order
// commands are not among them.
func (c *Command) isSettings() bool {
	return c.Change != nil || c.Bootstrap != nil || c.Register != nil || c.Retire != nil || c.Observe != nil
}

// executeSettings executes a settings command. The caller holds mu.
func (s *Store) executeSettings(index uint64, c *Command) Result {
	switch {
	case c.Change != nil:
		result := s.tree.Apply(index, *c.Change)
		return Result{Change: &result}
	case c.Bootstrap != nil:
		s.tree.Bootstrap(index, *c.Bootstrap)
		return Result{}
	case c.Register != nil:
		result := s.tree.Register(index, *c.Register)
		return Result{Member: &result}
	case c.Retire != nil:
		result := s.tree.Retire(index, *c.Retire)
		return Result{Member: &result}
	case c.Observe != nil:
		s.tree.ObserveVMs(index, c.Observe)
		return Result{}
	}
	return Result{Error: fmt.Sprintf("unknown settings command at index %d", index)}
}

// skipUndecodable handles a command that can't be decoded. If the log counts
// it as a settings command, the tree's version must advance to its index, or
// no entry could renew its lease again. The caller holds mu.
func (s *Store) skipUndecodable(index uint64, encoded []byte) {
	if IsSettingsCommand(encoded) {
		s.tree.AdvanceVersion(index)
	}
}
