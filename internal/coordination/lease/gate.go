package lease

import (
	"errors"
	"sync/atomic"
)

var (
	// ErrLapsed means that the entry has no settings lease now.
	ErrLapsed = errors.New("lease: no settings lease")
	// ErrSuperseded means that a decision was made on settings that are no
	// longer in force; it must be made again.
	ErrSuperseded = errors.New("lease: settings changed since the decision")
)

// Gate is what new work passes right before it is sent to a backend server.
// It is safe for concurrent use.
type Gate struct {
	holder  *Holder
	inForce atomic.Uint64
}

// NewGate returns a gate that is shut until settings are in force and holder
// has a lease.
func NewGate(h *Holder) *Gate {
	return &Gate{holder: h}
}

// Publish tells the gate which settings are in force. Readers must be able to
// load them already. An older version than before is passed over.
func (g *Gate) Publish(version uint64) {
	for {
		current := g.inForce.Load()
		if current >= version || g.inForce.CompareAndSwap(current, version) {
			return
		}
	}
}

// Check returns nil if work that was decided on the given settings version may
// be sent now. After ErrSuperseded the caller decides again on the current
// settings; after ErrLapsed it refuses the work, which was not run.
func (g *Gate) Check(version uint64) error {
	if version < g.inForce.Load() {
		return ErrSuperseded
	}
	if !g.holder.Valid() {
		return ErrLapsed
	}
	return nil
}
