package origin

import (
	"sync"

	"github.com/lagoonshift/lagoonshift/internal/clock"
	"github.com/lagoonshift/lagoonshift/internal/protocol/fleet"
)

// Memory is what one process knows of versions and of the streams that they began.
// It is safe for concurrent use.
type Memory struct {
	mu      sync.Mutex // guards the fields below
	records *records
	history *history
	// peers holds the next sequence number to report, by peer.
	peers map[string]uint64
}

// NewMemory returns an empty memory.
func NewMemory(c clock.Clock) *Memory {
	return &Memory{records: newRecords(c), history: newHistory(c), peers: make(map[string]uint64)}
}

// SetEngines applies a list of engines and returns the versions that appeared or
// disappeared. Once a service has a second version, all that is remembered is
// reported again: peers were told nothing while it had one.
func (m *Memory) SetEngines(engines []fleet.Engine) []Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	changes := m.history.setEngines(engines)
	for _, c := range changes {
		if c.Listed && c.Others > 0 {
			clear(m.peers)
		}
	}
	return changes
}

// Record records that a version began the stream of a caller's request, and reports
// whether peers need to know.
func (m *Memory) Record(service, request, version string) (shared bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id := StreamID(service, request)
	m.records.add(Version{Service: service, Version: version}, id)
	return id != 0 && !m.settled(service)
}

// Merge records what a peer reported.
func (m *Memory) Merge(reported []Streams) {
	if len(reported) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range reported {
		for _, id := range s.IDs {
			m.records.add(s.Version, id)
		}
	}
}

// Pending returns the streams that a peer doesn't have yet, which the caller must
// send to it; first is set for the first message over a connection. Streams of a
// service with one version are left out.
func (m *Memory) Pending(peer string, first bool) []Streams {
	m.mu.Lock()
	defer m.mu.Unlock()
	if first {
		delete(m.peers, peer)
	}
	pending, next := m.records.since(m.peers[peer], func(service string) bool { return !m.settled(service) })
	m.peers[peer] = next
	return pending
}

// Answer returns what is known of the origin of a stream.
func (m *Memory) Answer(service string, id ID) Answer {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, conflicting, recorded := m.records.find(id)
	a := Answer{Listed: m.history.recent(service), Covered: m.history.covered(service)}
	switch {
	case conflicting:
		a.Conflicting = true
	case recorded && v.Service == service:
		a.Version, a.Recorded = v.Version, true
	}
	return a
}

// settled reports whether a service has had one version for longer than any stream
// lasts. m.mu must be held.
func (m *Memory) settled(service string) bool {
	return m.history.covered(service) && len(m.history.recent(service)) == 1
}
