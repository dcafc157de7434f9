package origin

import (
	"sync"
	"time"

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
	// generation counts the changes of what Save returns.
	generation uint64
	// covered is the number of completely known services at the last generation.
	covered int
}

// Saved is what outlives a restart of all processes.
type Saved struct {
	// At is the wall-clock time of saving.
	At time.Time
	// Listed are the versions that were listed within Retention.
	Listed []Version
	// Covered are the services of which no version is missing in Listed.
	Covered []string
	// Streams are the streams of services of which more than one version may have been
	// seen.
	Streams []Streams
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
	m.generation += uint64(len(changes))
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
	shared = id != 0 && !m.seenOneVersion(service)
	if shared {
		m.generation++
	}
	return shared
}

// Merge records what a peer reported.
func (m *Memory) Merge(reported []Streams) {
	if len(reported) == 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.generation++
	m.addStreams(reported)
}

// addStreams adds records. m.mu must be held.
func (m *Memory) addStreams(streams []Streams) {
	for _, s := range streams {
		for _, id := range s.IDs {
			m.records.add(s.Version, id)
		}
	}
}

// Generation changes whenever there is something new to save.
func (m *Memory) Generation() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if covered := len(m.history.allCovered()); covered != m.covered {
		m.covered = covered
		m.generation++
	}
	return m.generation
}

// StartFirst notes that the whole system starts for the first time: no stream and no
// version were before the first list.
func (m *Memory) StartFirst() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.history.complete = true
}

// Save returns what is to outlive a restart of all processes.
func (m *Memory) Save() Saved {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := Saved{At: m.history.clock.Wall(), Listed: m.history.allRecent(), Covered: m.history.allCovered()}
	for next := uint64(0); next < m.records.next(); {
		var some []Streams
		some, next = m.records.since(next, func(service string) bool { return !m.seenOneVersion(service) })
		s.Streams = append(s.Streams, some...)
	}
	return s
}

// Restore adds what was saved before a restart. Records and versions count as new. What
// was saved longer than Retention ago says nothing of streams that go on. By a clock that
// went back, the time in between isn't known, and so not which services are covered.
func (m *Memory) Restore(s Saved) {
	m.mu.Lock()
	defer m.mu.Unlock()
	age := m.history.clock.Wall().Sub(s.At)
	if age > Retention {
		return
	}
	if age < 0 {
		s.Covered = nil
	}
	m.history.restore(s.Listed, s.Covered)
	m.addStreams(s.Streams)
}

// Pending returns the streams that a peer doesn't have yet, which the caller must
// send to it; first is set for the first message over a connection. Streams of a
// service of which only one version was seen for Retention are left out.
func (m *Memory) Pending(peer string, first bool) []Streams {
	m.mu.Lock()
	defer m.mu.Unlock()
	if first {
		delete(m.peers, peer)
	}
	pending, next := m.records.since(m.peers[peer], func(service string) bool { return !m.seenOneVersion(service) })
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

// seenOneVersion reports whether this process has seen one version of a service only, for
// longer than any stream lasts. Evidence of the time before it doesn't count: others may
// have seen more, and need the records. m.mu must be held.
func (m *Memory) seenOneVersion(service string) bool {
	return m.history.watched() && len(m.history.recent(service)) == 1
}
