package lease

import (
	"errors"
	"sync/atomic"
)

var (
	// ErrLapsed means that the entry holds no settings lease: it has expired
	// or none was granted yet.
	ErrLapsed = errors.New("lease: no settings lease")
	// ErrSuperseded means that a decision was based on settings that are no
	// longer in force and must be made again.
	ErrSuperseded = errors.New("lease: settings changed since the decision")
)

// Gate is the last check of new work before it is sent to a backend server. It
// is safe for concurrent use.
type Gate struct {
	holder  *Holder
	inForce atomic.Uint64
}

// NewGate returns a gate that rejects all work until h has a lease.
func NewGate(h *Holder) *Gate {
	return &Gate{holder: h}
}

// Publish sets the settings version in force. Readers must already be able to
// load that version. A version older than the current one is ignored.
func (g *Gate) Publish(version uint64) {
	for {
		current := g.inForce.Load()
		if current >= version || g.inForce.CompareAndSwap(current, version) {
			return
		}
	}
}

// Check returns nil if work that was decided on with the given settings
// version may be sent now. After ErrSuperseded the caller must decide again
// with the current settings; after ErrLapsed it must refuse the work, which
// was not executed.
func (g *Gate) Check(version uint64) error {
	if version < g.inForce.Load() {
		return ErrSuperseded
	}
	if !g.holder.Valid() {
		return ErrLapsed
	}
	return nil
}
