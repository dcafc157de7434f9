// Package store implements the state machine of the replicated log: it decodes
// commands, executes them on the part of the state they concern and encodes
// the results.
package store

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"

	"github.com/fxamacker/cbor/v2"

	"github.com/lagoonshift/lagoonshift/internal/state/document"
	"github.com/lagoonshift/lagoonshift/internal/state/ledger"
	"github.com/lagoonshift/lagoonshift/internal/state/member"
	"github.com/lagoonshift/lagoonshift/internal/state/orderbook"
	"github.com/lagoonshift/lagoonshift/internal/state/settings"
	"github.com/lagoonshift/lagoonshift/internal/state/usagelog"
)

// Command is a command in the replicated log. Exactly one field is set.
type Command struct {
	Change  *settings.Change `cbor:"1,keyasint,omitempty"`
	Reserve *ledger.Reserve  `cbor:"2,keyasint,omitempty"`
	Settle  *ledger.Settle   `cbor:"3,keyasint,omitempty"`
	Order   *OrderCommand    `cbor:"10,keyasint,omitempty"`
	// Document replaces the document, whose version numbers the operator
	// chooses.
	Document *document.Put `cbor:"30,keyasint,omitempty"`
	// Usage concerns the reports of usage. Builds before it answer "unknown command", so it
	// is appended only once all replicas can apply it.
	Usage *usagelog.Command `cbor:"31,keyasint,omitempty"`

	// The commands below and Change are settings commands.

	Bootstrap *settings.Bootstrap `cbor:"20,keyasint,omitempty"`
	Register  *member.Register    `cbor:"21,keyasint,omitempty"`
	Retire    *member.Retire      `cbor:"22,keyasint,omitempty"`
	// Observe holds the changes seen in the platform's list of VMs.
	Observe []member.Observation `cbor:"23,keyasint,omitempty"`
}

// Result is the result of a command. The field for the command's kind is set
// (none for Bootstrap and Observe), or Error if the command could not be
// executed.
type Result struct {
	Change *settings.ChangeResult `cbor:"1,keyasint,omitempty"`
	Ledger *ledger.Result         `cbor:"2,keyasint,omitempty"`
	Order  *orderbook.Result      `cbor:"10,keyasint,omitempty"`
	Member *member.Result         `cbor:"20,keyasint,omitempty"`
	Error  string                 `cbor:"15,keyasint,omitempty"`

	Document *document.Result `cbor:"30,keyasint,omitempty"`
	Usage    *usagelog.Result `cbor:"31,keyasint,omitempty"`
}

// Encode returns the command in the form stored in the log.
func (c *Command) Encode() ([]byte, error) {
	encoded, err := encMode.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	return encoded, nil
}

// DecodeResult decodes a result returned by Store.Apply. It returns an error
// if the command could not be executed.
func DecodeResult(encoded []byte) (Result, error) {
	var r Result
	if err := cbor.Unmarshal(encoded, &r); err != nil {
		return Result{}, fmt.Errorf("decode result: %w", err)
	}
	if r.Error != "" {
		return Result{}, fmt.Errorf("execute command: %s", r.Error)
	}
	return r, nil
}

// snapshot is the encoded form of the whole state.
type snapshot struct {
	Tree   *settings.Tree  `cbor:"1,keyasint"`
	Ledger ledger.Encoded  `cbor:"2,keyasint"`
	Orders *orderbook.Book `cbor:"10,keyasint"`

	Document document.Document `cbor:"30,keyasint"`
	// Usage is left out while it is empty: earlier builds have no such field.
	Usage *usagelog.Log `cbor:"31,keyasint,omitempty"`
}

// Store is the replicated state. The log applies commands from one goroutine.
// The methods that read the state may be called from any goroutine.
type Store struct {
	mu     sync.RWMutex // guards the fields below
	tree   *settings.Tree
	ledger *ledger.Ledger
	orders *orderbook.Book
	// ordersCopy is an immutable copy of orders for readers. Each order
	// command resets it to nil; the next reader makes a new copy.
	ordersCopy atomic.Pointer[orderbook.Book]
	// document points to an immutable value, replaced by each Put command.
	document atomic.Pointer[document.Document]
	// usage points to an immutable value, replaced by each command on it.
	usage atomic.Pointer[usagelog.Log]
}

// New returns an empty state.
func New() *Store {
	s := &Store{tree: settings.NewTree(), ledger: ledger.New(), orders: orderbook.New()}
	s.document.Store(&document.Document{})
	s.usage.Store(&usagelog.Log{})
	return s
}

// Apply implements replog.StateMachine.
func (s *Store) Apply(index uint64, encoded []byte) []byte {
	result := s.execute(index, encoded)
	out, err := encMode.Marshal(result)
	if err != nil {
		// Results consist of plain fields; failing here is a programming error.
		panic(fmt.Sprintf("store: encode result at index %d: %v", index, err))
	}
	return out
}

func (s *Store) execute(index uint64, encoded []byte) Result {
	var c Command
	err := cbor.Unmarshal(encoded, &c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.skipUndecodable(index, encoded)
		return Result{Error: fmt.Sprintf("decode command at index %d: %v", index, err)}
	}
	if c.isSettings() {
		return s.executeSettings(index, &c)
	}
	switch {
	case c.Reserve != nil:
		result := s.ledger.Reserve(*c.Reserve)
		return Result{Ledger: &result}
	case c.Settle != nil:
		result := s.ledger.Settle(*c.Settle)
		return Result{Ledger: &result}
	case c.Order != nil:
		return s.executeOrder(index, c.Order)
	case c.Document != nil:
		next, result := s.document.Load().Apply(*c.Document)
		s.document.Store(&next)
		return Result{Document: &result}
	case c.Usage != nil:
		next, result := s.usage.Load().Apply(*c.Usage)
		s.usage.Store(next)
		return Result{Usage: &result}
	}
	return Result{Error: fmt.Sprintf("unknown command at index %d", index)}
}

// Snapshot implements replog.StateMachine.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	content := snapshot{
		Tree:     s.tree,
		Ledger:   s.ledger.Encode(),
		Orders:   s.orders,
		Document: *s.document.Load(),
	}
	if usage := s.usage.Load(); !usage.Empty() {
		content.Usage = usage
	}
	encoded, err := encMode.Marshal(content)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return encoded, nil
}

// Restore implements replog.StateMachine.
func (s *Store) Restore(encoded []byte) error {
	var content snapshot
	if err := decMode.Unmarshal(encoded, &content); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if content.Tree == nil {
		return errors.New("decode snapshot: no settings tree")
	}
	if err := content.Tree.Rebuild(); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tree = content.Tree
	s.ledger = ledger.Decode(content.Ledger)
	s.orders = content.Orders
	if s.orders == nil {
		s.orders = orderbook.New()
	}
	s.orders.InitMaps()
	s.ordersCopy.Store(nil)
	s.document.Store(&content.Document)
	if content.Usage == nil {
		content.Usage = &usagelog.Log{}
	}
	s.usage.Store(content.Usage)
	return nil
}

// Document returns the current document. Its content must not be modified.
func (s *Store) Document() document.Document {
	return *s.document.Load()
}

// Usage returns the decisions on reports of usage. They must not be modified.
func (s *Store) Usage() *usagelog.Log {
	return s.usage.Load()
}

// View calls read with the settings tree and the ledger while no command runs.
// The function must not modify them or retain references to them.
func (s *Store) View(read func(tree *settings.Tree, l *ledger.Ledger)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	read(s.tree, s.ledger)
}
