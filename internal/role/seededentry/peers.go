package seededentry

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/lagoonshift/lagoonshift/internal/protocol/forward"
	"github.com/lagoonshift/lagoonshift/internal/protocol/route"
)

// peers holds the entries that take requests from this one. It is safe for concurrent use.
type peers struct {
	current atomic.Pointer[[]forward.Peer]

	mu sync.Mutex // guards the fields below
	// lists holds the newest list of each control replica, sorted, and source is the replica
	// whose list is the current one.
	lists  map[string][]forward.Peer
	source string
}

// apply applies a change that a control replica sent. trusted is set if the replica leads, or
// none does: only then does its list become the current one, since a replica that has just
// started has few entries.
func (p *peers) apply(source string, change forward.Change, trusted bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !change.Empty() {
		if p.lists == nil {
			p.lists = make(map[string][]forward.Peer)
		}
		p.lists[source] = change.Apply(p.lists[source])
	}
	list, known := p.lists[source]
	if !known || !trusted || change.Empty() && p.source == source {
		return
	}
	p.source = source
	p.current.Store(&list)
}

// Peers returns the entries that take requests from others. The slice must not be changed.
// Without a control replica it is the last one known.
func (a *Agent) Peers() []forward.Peer {
	if list := a.peers.current.Load(); list != nil {
		return *list
	}
	return nil
}

// unreachableServices returns the services of a table of which the entry reaches no server,
// in the order of their names.
func (a *Agent) unreachableServices(table *route.Table) (out []string) {
	for name := range table.Services {
		if a.isolated(name) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
